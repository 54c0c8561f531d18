package crankspar.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the text of statements for the stand-in: where they end, their first words, what those
 * tell. Its own reading, apart from the pooler's: an error in one must not hide in the other.
 */
final class SqlText {
  private static final Pattern DOLLAR_QUOTE = Pattern.compile("\\$[A-Za-z_]*\\$");

  private SqlText() {}

  /** The statements between semicolons that stand outside quotes and comments. */
  static List<String> split(String sql) {
    var all = new ArrayList<String>();
    var one = new StringBuilder();
    int i = 0;
    while (i < sql.length()) {
      int end = opaque(sql, i);
      if (end > i) {
        one.append(sql, i, end);
        i = end;
      } else if (sql.charAt(i) == ';') {
        all.add(one.toString());
        one.setLength(0);
        i++;
      } else {
        one.append(sql.charAt(i++));
      }
    }
    all.add(one.toString());
    all.removeIf(s -> bare(s).isEmpty());
    return all;
  }

  /** Where a quote or comment that begins here ends, or here. */
  private static int opaque(String s, int i) {
    char c = s.charAt(i);
    if (c == '\'' || c == '"') {
      boolean escapes = c == '\'' && i > 0 && (s.charAt(i - 1) == 'E' || s.charAt(i - 1) == 'e');
      int j = i + 1;
      while (j < s.length() && s.charAt(j) != c) {
        j += escapes && s.charAt(j) == '\\' ? 2 : 1;
      }
      return Math.min(s.length(), j + 1);
    }
    if (s.startsWith("--", i)) {
      int end = s.indexOf('\n', i);
      return end < 0 ? s.length() : end;
    }
    if (s.startsWith("/*", i)) {
      int end = s.indexOf("*/", i + 2);
      return end < 0 ? s.length() : end + 2;
    }
    if (c != '$') {
      return i;
    }
    Matcher m = DOLLAR_QUOTE.matcher(s).region(i, s.length());
    if (m.lookingAt()) {
      int end = s.indexOf(m.group(), m.end());
      return end < 0 ? s.length() : end + m.group().length();
    }
    return i;
  }

  /** Without comments, each of which stands for a space, and without spaces around it. */
  static String bare(String sql) {
    if (!sql.contains("--") && !sql.contains("/*")) {
      return sql.strip();
    }
    var bare = new StringBuilder();
    for (int i = 0; i < sql.length(); ) {
      int end = opaque(sql, i);
      if (end == i) {
        bare.append(sql.charAt(i++));
      } else {
        bare.append(isComment(sql, i) ? " " : sql.substring(i, end));
        i = end;
      }
    }
    return bare.toString().strip();
  }

  private static boolean isComment(String sql, int at) {
    return sql.startsWith("--", at) || sql.startsWith("/*", at);
  }

  static String first(String bare) {
    int end = 0;
    while (end < bare.length() && !endsWord(bare.charAt(end))) {
      end++;
    }
    return bare.substring(0, end).toUpperCase(Locale.ROOT);
  }

  private static boolean endsWord(char c) {
    return Character.isWhitespace(c) || c == '(' || c == ';';
  }

  /** Without the semicolon that ends it. */
  static String withoutEnd(String bare) {
    return bare.endsWith(";") ? bare.substring(0, bare.length() - 1) : bare;
  }

  static boolean ends(String sql) {
    return first(bare(sql)).matches("COMMIT|END|ROLLBACK|ABORT");
  }

  static boolean writes(String bare) {
    return first(bare).matches("INSERT|UPDATE|DELETE|CREATE|DROP|ALTER|TRUNCATE|LISTEN")
        || first(bare).equals("COPY") && bare.toUpperCase(Locale.ROOT).contains("FROM STDIN");
  }

  /** Whether it costs what the stand-in's work is set to. */
  static boolean works(String bare) {
    return first(bare).matches("SELECT|INSERT|UPDATE|DELETE|EXECUTE");
  }

  static double sleep(String bare) {
    if (!bare.toLowerCase(Locale.ROOT).contains("pg_sleep")) {
      return 0;
    }
    Matcher m = Pattern.compile("(?i)pg_sleep\\(([0-9.]+)\\)").matcher(bare);
    return m.find() && !first(bare).equals("PREPARE") ? 1000 * Double.parseDouble(m.group(1)) : 0;
  }

  static int parameters(String sql) {
    int most = 0;
    Matcher m = Pattern.compile("\\$([0-9]+)").matcher(sql);
    while (m.find()) {
      most = Math.max(most, Integer.parseInt(m.group(1)));
    }
    return most;
  }

  /** With its parameters in their places, as it is recorded. */
  static String filled(String sql, List<String> parameters) {
    if (parameters.isEmpty()) {
      return sql;
    }
    Matcher m = Pattern.compile("\\$([0-9]+)").matcher(sql);
    return m.replaceAll(
        r -> {
          int n = Integer.parseInt(r.group(1));
          String value = n <= parameters.size() ? parameters.get(n - 1) : null;
          return Matcher.quoteReplacement(value == null ? "NULL" : value);
        });
  }

  /** The parts between commas that stand outside quotes and parentheses. */
  static List<String> items(String list) {
    var all = new ArrayList<String>();
    int depth = 0;
    int from = 0;
    for (int i = 0; i < list.length(); i++) {
      int end = opaque(list, i);
      if (end > i) {
        i = end - 1;
        continue;
      }
      char c = list.charAt(i);
      depth += c == '(' ? 1 : c == ')' ? -1 : 0;
      if (c == ',' && depth == 0) {
        all.add(list.substring(from, i).strip());
        from = i + 1;
      }
    }
    all.add(list.substring(from).strip());
    return all;
  }
}
