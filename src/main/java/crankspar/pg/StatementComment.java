package crankspar.pg;

import crankspar.pg.Statement.Malformed;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads the comment at the head of a statement: names and values, {@code name=value,name=value}. It
 * reads each character once, and holds at most {@link #NAMES_MOST} names, so that neither its time
 * nor its memory grows with what a client writes there.
 */
public final class StatementComment {
  /** Names in one comment; the protocol has less than ten. */
  public static final int NAMES_MOST = 64;

  private static final int NAME_LENGTH_MOST = 16;
  private static final int VALUE_LENGTH_MOST = 64;

  /** How much of a part that cannot be read an error quotes (characters). */
  private static final int QUOTE_LENGTH = 40;

  /** The name of the time that is left; its value changes with each attempt. */
  static final String TIME_LEFT = "d";

  private final String sql;
  private final int end;
  private final Map<String, String> names = new LinkedHashMap<>();
  private int timeFrom;
  private int timeTo;

  private StatementComment(String sql, int end) {
    this.sql = sql;
    this.end = end;
  }

  /**
   * Reads the names and values between {@code start} and {@code end}.
   *
   * @throws Malformed if a part is no name and value, or one too many
   */
  public static StatementComment read(String sql, int start, int end) throws Malformed {
    var comment = new StatementComment(sql, end);
    int from = start;
    while (from <= end) {
      int comma = sql.indexOf(',', from);
      int to = comma < 0 || comma > end ? end : comma;
      comment.add(from, to);
      from = to + 1;
    }
    return comment;
  }

  private void add(int from, int to) throws Malformed {
    if (names.size() == NAMES_MOST) {
      throw new Malformed("more than " + NAMES_MOST + " names in the comment");
    }
    int equals = from;
    while (equals < to && sql.charAt(equals) != '=') {
      equals++;
    }
    int valueFrom = skipBlanks(Math.min(equals + 1, to), to);
    int valueTo = trimBlanks(valueFrom, to);
    int nameFrom = skipBlanks(from, equals);
    int nameTo = trimBlanks(nameFrom, equals);
    if (equals == to || !isName(nameFrom, nameTo) || !isValue(valueFrom, valueTo)) {
      throw new Malformed("no name and value: " + brief(sql, from, to));
    }
    String name = sql.substring(nameFrom, nameTo);
    if (names.put(name, sql.substring(valueFrom, valueTo)) != null) {
      throw new Malformed("told twice: " + name);
    }
    if (name.equals(TIME_LEFT)) {
      timeFrom = valueFrom;
      timeTo = valueTo;
    }
  }

  private int skipBlanks(int from, int to) {
    int at = from;
    while (at < to && Character.isWhitespace(sql.charAt(at))) {
      at++;
    }
    return at;
  }

  private int trimBlanks(int from, int to) {
    int at = to;
    while (at > from && Character.isWhitespace(sql.charAt(at - 1))) {
      at--;
    }
    return at;
  }

  private boolean isName(int from, int to) {
    if (to == from || to - from > NAME_LENGTH_MOST) {
      return false;
    }
    for (int i = from; i < to; i++) {
      char c = sql.charAt(i);
      if (c != '_' && (c < 'a' || c > 'z')) {
        return false;
      }
    }
    return true;
  }

  private boolean isValue(int from, int to) {
    if (to == from || to - from > VALUE_LENGTH_MOST) {
      return false;
    }
    for (int i = from; i < to; i++) {
      char c = sql.charAt(i);
      if (c < '!' || c > '~' || "*/'\"".indexOf(c) >= 0) {
        return false;
      }
    }
    return true;
  }

  static String brief(String text, int from, int to) {
    return to - from > QUOTE_LENGTH
        ? text.substring(from, from + QUOTE_LENGTH) + "..."
        : text.substring(from, to);
  }

  /** The values by name, in their order. */
  public Map<String, String> names() {
    return names;
  }

  /** Offset after the comment's last character. */
  int end() {
    return end + 2;
  }

  /** Offset of the value of {@link #TIME_LEFT}; equals {@link #timeTo} if there is none. */
  int timeFrom() {
    return timeFrom;
  }

  /** Offset after the value of {@link #TIME_LEFT}. */
  int timeTo() {
    return timeTo;
  }
}
