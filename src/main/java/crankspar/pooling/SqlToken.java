package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A token as PostgreSQL's lexer separates them: a word (kind {@code w}, in lower case), a quoted
 * identifier ({@code i}), a string ({@code s}), a number ({@code n}) or a single character, which
 * is its own kind. Comments yield no tokens.
 *
 * @param from offset of its first character in the text
 * @param to offset after its last character
 */
record SqlToken(char kind, String text, int from, int to) {
  boolean is(String word) {
    return kind == 'w' && text.equals(word);
  }

  /** Splits a text into tokens. */
  static List<SqlToken> tokenize(String s) {
    var all = new ArrayList<SqlToken>(16);
    int i = 0;
    while (i < s.length()) {
      char c = s.charAt(i);
      int start = i;
      if (Character.isWhitespace(c)) {
        i++;
      } else if (c == '-' && s.startsWith("--", i)) {
        int end = s.indexOf('\n', i);
        i = end < 0 ? s.length() : end;
      } else if (c == '/' && s.startsWith("/*", i)) {
        i = endOfComment(s, i);
      } else if (c == '\'') {
        i = endOfQuoted(s, i, '\'', false);
        all.add(new SqlToken('s', s.substring(start, i), start, i));
      } else if (c == '"') {
        i = endOfQuoted(s, i, '"', false);
        all.add(new SqlToken('i', unquote(s.substring(start, i)), start, i));
      } else if ((c == 'e' || c == 'E') && s.startsWith("'", i + 1)) {
        i = endOfQuoted(s, i + 1, '\'', true);
        all.add(new SqlToken('s', s.substring(start, i), start, i));
      } else if (c == '$' && endOfDollarTag(s, i) > 0) {
        String tag = s.substring(i, endOfDollarTag(s, i));
        int end = s.indexOf(tag, i + tag.length());
        i = end < 0 ? s.length() : end + tag.length();
        all.add(new SqlToken('s', s.substring(start, i), start, i));
      } else if (Character.isLetter(c) || c == '_') {
        while (i < s.length()
            && (Character.isLetterOrDigit(s.charAt(i))
                || s.charAt(i) == '_'
                || s.charAt(i) == '$')) {
          i++;
        }
        all.add(new SqlToken('w', s.substring(start, i).toLowerCase(Locale.ROOT), start, i));
      } else if (Character.isDigit(c)) {
        while (i < s.length() && (Character.isLetterOrDigit(s.charAt(i)) || s.charAt(i) == '.')) {
          i++;
        }
        all.add(new SqlToken('n', s.substring(start, i), start, i));
      } else {
        i++;
        all.add(new SqlToken(c, s.substring(start, i), start, i));
      }
    }
    return all;
  }

  private static int endOfComment(String s, int i) {
    int depth = 0;
    while (i < s.length()) {
      if (s.startsWith("/*", i)) {
        depth++;
        i += 2;
      } else if (s.startsWith("*/", i)) {
        i += 2;
        if (--depth == 0) {
          return i;
        }
      } else {
        i++;
      }
    }
    return i;
  }

  private static int endOfQuoted(String s, int i, char quote, boolean escapes) {
    for (i++; i < s.length(); i++) {
      if (escapes && s.charAt(i) == '\\') {
        i++;
      } else if (s.charAt(i) == quote) {
        if (i + 1 < s.length() && s.charAt(i + 1) == quote) {
          i++;
        } else {
          return i + 1;
        }
      }
    }
    return Math.min(i, s.length());
  }

  /**
   * Returns the offset after the opening tag of a dollar quote, or 0 if there is none at {@code i}.
   */
  private static int endOfDollarTag(String s, int i) {
    int end = i + 1;
    while (end < s.length()
        && (Character.isLetterOrDigit(s.charAt(end))
                && !(end == i + 1 && Character.isDigit(s.charAt(end)))
            || s.charAt(end) == '_')) {
      end++;
    }
    return end < s.length() && s.charAt(end) == '$' ? end + 1 : 0;
  }

  private static String unquote(String name) {
    return name.length() < 2 ? name : name.substring(1, name.length() - 1).replace("\"\"", "\"");
  }

  /** Returns the word or quoted identifier at an index, or an empty string if there is none. */
  static String wordAt(List<SqlToken> t, int i) {
    return i < t.size() && (t.get(i).kind() == 'w' || t.get(i).kind() == 'i')
        ? t.get(i).text()
        : "";
  }

  /** Whether the tokens contain these words in immediate succession. */
  static boolean containsSequence(List<SqlToken> t, String... words) {
    for (int i = 0; i + words.length <= t.size(); i++) {
      int k = 0;
      while (k < words.length && t.get(i + k).is(words[k])) {
        k++;
      }
      if (k == words.length) {
        return true;
      }
    }
    return false;
  }
}
