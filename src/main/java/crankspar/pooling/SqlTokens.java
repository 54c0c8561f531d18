package crankspar.pooling;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;

/**
 * The tokens of one statement, as PostgreSQL's lexer separates them: a word (kind {@code w}), a
 * quoted identifier ({@code i}), a string ({@code s}), a number ({@code n}) or a single character,
 * which is its own kind. Comments yield no tokens.
 *
 * <p>Tokens are offsets into the text, nine bytes each, in arrays that are used again for the next
 * statement, and their text is copied on demand only: a text of a megabyte may have a million
 * tokens. Reading takes time proportional to the length of the text.
 */
final class SqlTokens {
  private static final int INITIAL_CAPACITY = 16;
  private static final int ASCII = 128;

  /** Kinds of ASCII characters, looked up for each character of a text. */
  private static final byte BLANK = 1;

  private static final byte LETTER = 2;
  private static final byte DIGIT = 4;
  private static final byte DOLLAR = 8;
  private static final byte[] CHARACTERS = new byte[ASCII];

  static {
    for (char c = 0; c < ASCII; c++) {
      CHARACTERS[c] =
          Character.isWhitespace(c)
              ? BLANK
              : Character.isLetter(c) || c == '_'
                  ? LETTER
                  : Character.isDigit(c) ? DIGIT : c == '$' ? DOLLAR : 0;
    }
  }

  private final String sql;
  private char[] kinds = new char[INITIAL_CAPACITY];
  private int[] starts = new int[INITIAL_CAPACITY];
  private int[] ends = new int[INITIAL_CAPACITY];
  private int size;

  /** Where the next token is looked for. */
  private int position;

  SqlTokens(String sql) {
    this.sql = sql;
  }

  /**
   * Reads the tokens up to the next semicolon, or to the end of the text, in place of those before.
   *
   * @return false if the text has ended
   */
  boolean nextStatement() {
    if (position >= sql.length()) {
      return false;
    }
    size = 0;
    while (position < sql.length()) {
      if (!readToken()) {
        break;
      }
    }
    return true;
  }

  /** Reads one token, blank or comment; false if it was a semicolon. */
  private boolean readToken() {
    char c = sql.charAt(position);
    int start = position;
    if (isKindOf(c, BLANK)) {
      position++;
    } else if (c == ';') {
      position++;
      return false;
    } else if (c == '-' && sql.startsWith("--", position)) {
      int end = sql.indexOf('\n', position);
      position = end < 0 ? sql.length() : end;
    } else if (c == '/' && sql.startsWith("/*", position)) {
      position = endOfComment(sql, position);
    } else if (c == '\'') {
      add('s', start, endOfQuoted(sql, start, '\'', false));
    } else if (c == '"') {
      add('i', start, endOfQuoted(sql, start, '"', false));
    } else if ((c == 'e' || c == 'E') && sql.startsWith("'", start + 1)) {
      add('s', start, endOfQuoted(sql, start + 1, '\'', true));
    } else if (c == '$' && endOfDollarTag(sql, start) > 0) {
      add('s', start, endOfDollarQuoted(start));
    } else if (isKindOf(c, LETTER)) {
      add('w', start, endOfWord(start));
    } else if (isKindOf(c, DIGIT)) {
      add('n', start, endOfNumber(start));
    } else {
      add(c, start, start + 1);
    }
    return true;
  }

  private static boolean isKindOf(char c, int kinds) {
    if (c < ASCII) {
      return (CHARACTERS[c] & kinds) != 0;
    }
    return (kinds & BLANK) != 0 && Character.isWhitespace(c)
        || (kinds & LETTER) != 0 && Character.isLetter(c)
        || (kinds & DIGIT) != 0 && Character.isDigit(c);
  }

  private void add(char kind, int start, int end) {
    if (size == kinds.length) {
      int capacity = size + (size >> 1);
      kinds = Arrays.copyOf(kinds, capacity);
      starts = Arrays.copyOf(starts, capacity);
      ends = Arrays.copyOf(ends, capacity);
    }
    kinds[size] = kind;
    starts[size] = start;
    ends[size] = end;
    size++;
    position = end;
  }

  private int endOfWord(int start) {
    int i = start;
    while (i < sql.length() && isKindOf(sql.charAt(i), LETTER | DIGIT | DOLLAR)) {
      i++;
    }
    return i;
  }

  private int endOfNumber(int start) {
    int i = start;
    while (i < sql.length() && (Character.isLetterOrDigit(sql.charAt(i)) || sql.charAt(i) == '.')) {
      i++;
    }
    return i;
  }

  private int endOfDollarQuoted(int start) {
    String tag = sql.substring(start, endOfDollarTag(sql, start));
    int end = sql.indexOf(tag, start + tag.length());
    return end < 0 ? sql.length() : end + tag.length();
  }

  private static int endOfComment(String s, int start) {
    int depth = 0;
    int i = start;
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

  private static int endOfQuoted(String s, int start, char quote, boolean escapes) {
    int i = start + 1;
    while (i < s.length()) {
      char c = s.charAt(i);
      boolean doubled = c == quote && i + 1 < s.length() && s.charAt(i + 1) == quote;
      if (c == quote && !doubled) {
        return i + 1;
      }
      i += doubled || escapes && c == '\\' ? 2 : 1;
    }
    return s.length();
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

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** The kind of the token at an index. */
  char kind(int i) {
    return kinds[i];
  }

  /** Whether the token at an index exists and is of this kind. */
  boolean isKind(int i, char kind) {
    return i < size && kinds[i] == kind;
  }

  /** Whether the token at an index exists and is this word, given in lower case ASCII letters. */
  boolean is(int i, String word) {
    if (!isKind(i, 'w') || ends[i] - starts[i] != word.length()) {
      return false;
    }
    for (int k = 0; k < word.length(); k++) {
      char c = sql.charAt(starts[i] + k);
      char lower = c >= 'A' && c <= 'Z' ? (char) (c + ('a' - 'A')) : c;
      if (lower != word.charAt(k)) {
        return false;
      }
    }
    return true;
  }

  /** Whether the token at an index exists and is a word among these, which all have few letters. */
  boolean isAnyOf(int i, Set<String> words, int longest) {
    return isKind(i, 'w') && ends[i] - starts[i] <= longest && words.contains(text(i));
  }

  /** The text of a token: a word in lower case, a quoted identifier without its quotes. */
  String text(int i) {
    String text = sql.substring(starts[i], ends[i]);
    return switch (kinds[i]) {
      case 'w' -> text.toLowerCase(Locale.ROOT);
      case 'i' -> unquote(text);
      default -> text;
    };
  }

  private static String unquote(String name) {
    return name.length() < 2 ? name : name.substring(1, name.length() - 1).replace("\"\"", "\"");
  }

  /** Returns the word or quoted identifier at an index, or an empty string if there is none. */
  String wordAt(int i) {
    return isKind(i, 'w') || isKind(i, 'i') ? text(i) : "";
  }

  /** Returns the text of the last token. */
  String lastText() {
    return text(size - 1);
  }

  /** Returns the statement's text from one token on, or an empty string if there is none. */
  String textFrom(int i) {
    return i < size ? sql.substring(starts[i], ends[size - 1]) : "";
  }

  /** Returns the text between the ends of two tokens, without both. */
  String textBetween(int before, int after) {
    return sql.substring(ends[before], starts[after]);
  }

  /** Returns the text of the whole statement. */
  String text() {
    return textFrom(0);
  }

  /** Whether the tokens contain these words in immediate succession. */
  boolean containsSequence(String... words) {
    for (int i = 0; i + words.length <= size; i++) {
      int k = 0;
      while (k < words.length && is(i + k, words[k])) {
        k++;
      }
      if (k == words.length) {
        return true;
      }
    }
    return false;
  }
}
