package crankspar.pg;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * A statement with the comment that says what it asks for. It goes on as it came, but for {@code
 * d}: the server should know how long it is still waited for.
 *
 * @param commentEnd offset after the comment
 * @param timeFrom offset of the value of {@code d}
 * @param timeTo offset after that value; equals {@code timeFrom} if the comment has none
 * @param key the first quoted text, or null
 */
public record Statement(
    String sql, Map<String, String> names, int commentEnd, int timeFrom, int timeTo, String key) {
  /** What is wrong with a statement, in words for its client. */
  public static final class Malformed extends Exception {
    Malformed(String message) {
      super(message, null, false, false); // no stack: a client's word costs no more than its answer
    }
  }

  /** The longest key that is kept whole (characters). */
  private static final int KEY_MOST = 256;

  static final String LOAD = "SHOW load";

  /** A probe: a statement of the pooler's own, without a comment. */
  static Statement probe() {
    return new Statement(LOAD, Map.of(), 0, 0, 0, null);
  }

  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,6})?");

  /**
   * Reads the comment, and looks at the statement as far as sending it on needs: one statement, of
   * text that can be read, whose quotes end. Guards against servers, which close on what they
   * cannot read.
   */
  public static Statement parse(String sql) throws Malformed {
    int start = sql.indexOf("/*");
    int end = sql.indexOf("*/", start + 2);
    if (start < 0 || end < 0 || !isBlank(sql, 0, start)) {
      throw new Malformed("the statement does not begin with a comment");
    }
    StatementComment comment = StatementComment.read(sql, start + 2, end);
    int quotes = 0;
    for (int i = end + 2; i < sql.length(); i++) {
      char c = sql.charAt(i);
      quotes += c == '\'' ? 1 : 0;
      if (c < ' ' && c != '\n' && c != '\t' && c != '\r'
          || c == '\uFFFD'
          || c == ';' && quotes % 2 == 0 && !isBlank(sql, i + 1, sql.length())) {
        throw new Malformed("no single statement of readable text");
      }
    }
    if (quotes % 2 != 0 || isBlank(sql, end + 2, sql.length())) {
      throw new Malformed("the statement does not end");
    }
    int quote = sql.indexOf('\'', end);
    int close = sql.indexOf('\'', quote + 1);
    return new Statement(
        sql,
        comment.names(),
        comment.end(),
        comment.timeFrom(),
        comment.timeTo(),
        quote < 0 || close < 0 ? null : boundedKey(sql.substring(quote + 1, close)));
  }

  /**
   * A key names a session, and is remembered with its last commit. Of one that is longer than any
   * real one its beginning, length and hash are kept: where two keys then are the same, a read
   * waits for more than it has to.
   */
  private static String boundedKey(String key) {
    return key.length() <= KEY_MOST
        ? key
        : key.substring(0, KEY_MOST) + '/' + key.length() + '/' + key.hashCode();
  }

  private static boolean isBlank(String sql, int from, int to) {
    return firstInk(sql, from, to) == to;
  }

  /** The index of the first character that is no white space, or {@code to}. */
  private static int firstInk(String sql, int from, int to) {
    int at = from;
    while (at < to && Character.isWhitespace(sql.charAt(at))) {
      at++;
    }
    return at;
  }

  String id() throws Malformed {
    return text("id");
  }

  /** Whether it only reads, as far as its first word tells. */
  boolean reads() {
    return sql.regionMatches(
        true, firstInk(sql, commentEnd, sql.length()), "SELECT", 0, "SELECT".length());
  }

  public String text(String name) throws Malformed {
    String value = names.get(name);
    if (value == null || value.isEmpty()) {
      throw new Malformed("no " + name + " in the comment");
    }
    return value;
  }

  /**
   * A plain number that is not negative: nothing else that Java would read as one, such as 10f or
   * 0x1p3.
   */
  public double number(String name) throws Malformed {
    String value = text(name);
    if (!NUMBER.matcher(value).matches()) {
      throw new Malformed(
          name + " is no number: " + StatementComment.brief(value, 0, value.length()));
    }
    return Double.parseDouble(value);
  }

  /** The text to send on, with what is left of the time. */
  String withTimeLeft(double ms) {
    if (timeFrom == timeTo) {
      return sql;
    }
    String left = Long.toString(Math.max(1, Math.round(ms)));
    return new StringBuilder(sql.length() + left.length())
        .append(sql, 0, timeFrom)
        .append(left)
        .append(sql, timeTo, sql.length())
        .toString();
  }
}
