package crankspar.pooling;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses statements as far as pooling requires: where each begins and ends, and how it affects the
 * state of its session. Words, quotes, dollar quotes and nested comments are tokenized as in
 * PostgreSQL; beyond the first words of a statement no grammar is known. An unknown statement
 * counts as a write, which is the safe choice for routing and for retries.
 */
final class Sql {
  /** Kinds of statements, by their effect on the session. */
  enum Kind {
    /**
     * SELECT, VALUES, TABLE, SHOW, EXPLAIN without ANALYZE, FETCH and others that leave nothing
     * behind as far as their text shows: a function that they call may write all the same.
     */
    READ,
    /** Any statement of no other kind. */
    WRITE,
    BEGIN,
    COMMIT,
    ROLLBACK,
    SAVEPOINT,
    RELEASE,
    ROLLBACK_TO,
    PREPARE_TRANSACTION,
    /** SET for the session, with its name and value. */
    SET,
    /** SET LOCAL, with its name and value, and SET TRANSACTION: both end with the transaction. */
    SET_LOCAL,
    RESET,
    RESET_ALL,
    DISCARD_ALL,
    DISCARD_PLANS,
    DISCARD_TEMP,
    PREPARE,
    EXECUTE,
    DEALLOCATE,
    DEALLOCATE_ALL,
    LISTEN,
    UNLISTEN,
    UNLISTEN_ALL,
    DECLARE_HOLD,
    CLOSE,
    CLOSE_ALL,
    CREATE_TEMP,
    DROP_TABLE,
    LOCK_SESSION,
    UNLOCK_SESSION,
    UNLOCK_ALL,
    /** LOAD, and whatever leaves state that no statement is known to release. */
    LOAD,
    /**
     * A setting changed to a value that the text does not show: {@code set_config} with anything
     * but two literals.
     */
    SET_UNKNOWN,
    /** As {@link #SET_UNKNOWN}, until the end of the transaction. */
    SET_LOCAL_UNKNOWN
  }

  /** What may be changed by the functions that a query calls, and by its other parts. */
  enum Calls {
    /** Nothing. */
    NONE,
    /** A function is called whose effects its text does not show. */
    UNKNOWN,
    /** Something is written. */
    WRITING
  }

  /**
   * One statement.
   *
   * @param text for PREPARE the statement as received, without the semicolon; else empty
   * @param name the name that it refers to: an option, savepoint, prepared statement, channel,
   *     cursor or table, or the arguments of an advisory lock
   * @param value the value of an option as SQL text, or null; for BEGIN {@code write} if READ WRITE
   *     was specified
   * @param readOnly for BEGIN: whether READ ONLY was specified
   * @param calls what a query does besides what its kind says
   */
  record Statement(
      Kind kind, String text, String name, String value, boolean readOnly, Calls calls) {
    Statement(Kind kind, String text, String name, String value, boolean readOnly) {
      this(kind, text, name, value, readOnly, kind == Kind.READ ? Calls.UNKNOWN : Calls.NONE);
    }

    /** The same with other calls. */
    Statement calling(Calls other) {
      return other == calls ? this : new Statement(kind, text, name, value, readOnly, other);
    }

    boolean transactionControl() {
      return switch (kind) {
        case BEGIN, COMMIT, ROLLBACK, SAVEPOINT, RELEASE, ROLLBACK_TO -> true;
        default -> false;
      };
    }

    /** Whether executing it twice has the same effect as once, as far as its text shows. */
    boolean idempotent() {
      return calls != Calls.WRITING && repeatable(kind);
    }

    private static boolean repeatable(Kind kind) {
      return switch (kind) {
        case READ,
                BEGIN,
                SAVEPOINT,
                ROLLBACK,
                SET_LOCAL,
                SET_LOCAL_UNKNOWN,
                SET,
                RESET,
                RESET_ALL ->
            true;
        default -> false;
      };
    }

    /** Estimated bytes of memory, besides a reference to it. */
    int memoryBytes() {
      return shared()
          ? 0
          : OBJECT_BYTES + memoryBytes(text) + memoryBytes(name) + memoryBytes(value);
    }

    /** Whether all statements of its kind without details are one object. */
    private boolean shared() {
      return this == PLAIN.get(kind) || this == READ_WITHOUT_CALL;
    }

    private static int memoryBytes(String s) {
      return s == null || s.isEmpty() ? 0 : STRING_BYTES + s.length();
    }
  }

  private static final int OBJECT_BYTES = 40;
  private static final int STRING_BYTES = 48;
  private static final int REFERENCE_BYTES = 8;

  /** A read that calls no function of unknown effects. */
  static final Statement READ_WITHOUT_CALL =
      new Statement(Kind.READ, "", null, null, false, Calls.NONE);

  /** For each kind the statement without text, name or value. */
  private static final Map<Kind, Statement> PLAIN = new EnumMap<>(Kind.class);

  static {
    for (Kind kind : Kind.values()) {
      PLAIN.put(kind, new Statement(kind, "", null, null, false));
    }
  }

  /** PostgreSQL cuts a name off after so many bytes. */
  private static final int MAX_NAME_LENGTH = 63;

  /** The length of the longest name and keyword in these sets. */
  private static final int LONGEST_KNOWN_WORD = 32;

  private static final Set<String> CREATE_MODIFIERS =
      Set.of("local", "global", "or", "replace", "temp", "temporary");

  private Sql() {}

  /** Splits a text into its statements; the result is empty if there are none. */
  static List<Statement> split(String sql) {
    var all = new ArrayList<Statement>(1);
    var tokens = new SqlTokens(sql);
    while (tokens.nextStatement()) {
      if (!tokens.isEmpty()) {
        all.add(classify(tokens, 0));
      }
    }
    return all;
  }

  /** Estimated bytes of memory that a list of statements takes. */
  static long memoryBytes(List<Statement> statements) {
    long bytes = (long) REFERENCE_BYTES * statements.size();
    for (Statement s : statements) {
      bytes += s.memoryBytes();
    }
    return bytes;
  }

  /**
   * Returns the statement after {@code PREPARE name (types) AS}, or a {@link Kind#WRITE} if there
   * is none.
   */
  static Statement preparedBody(String prepare) {
    var tokens = new SqlTokens(prepare);
    tokens.nextStatement();
    for (int i = 0; i + 1 < tokens.size(); i++) {
      if (tokens.is(i, "as")) {
        return classify(tokens, i + 1);
      }
    }
    return of(Kind.WRITE);
  }

  /** Returns a value as a string literal. */
  static String literal(String value) {
    String quoted = value.replace("'", "''");
    return value.indexOf('\\') < 0
        ? "'" + quoted + "'"
        : " E'" + quoted.replace("\\", "\\\\") + "'";
  }

  /** Returns a name as a quoted identifier. */
  static String identifier(String name) {
    return "\"" + name.replace("\"", "\"\"") + "\"";
  }

  // ---- Classification of statements.
  static Statement of(Kind kind) {
    return PLAIN.get(kind);
  }

  static Statement of(Kind kind, String name) {
    return new Statement(kind, "", name, null, false);
  }

  /** Classifies the statement that begins at a token and ends with the last one. */
  private static Statement classify(SqlTokens t, int first) {
    String second = t.wordAt(first + 1);
    return switch (t.wordAt(first)) {
      case "begin", "start" ->
          new Statement(
              Kind.BEGIN,
              "",
              null,
              t.containsSequence("read", "write") ? "write" : null,
              t.containsSequence("read", "only"));
      case "commit" -> of(second.equals("prepared") ? Kind.WRITE : Kind.COMMIT);
      case "end" -> of(Kind.COMMIT);
      case "abort" -> of(Kind.ROLLBACK);
      case "rollback" ->
          second.equals("prepared")
              ? of(Kind.WRITE)
              : t.containsSequence("to")
                  ? of(Kind.ROLLBACK_TO, truncated(t.lastText()))
                  : of(Kind.ROLLBACK);
      case "savepoint" -> of(Kind.SAVEPOINT, truncated(second));
      case "release" -> of(Kind.RELEASE, truncated(t.lastText()));
      case "set" -> SqlSettings.set(t, first);
      case "reset" -> SqlSettings.reset(t, first);
      case "discard" ->
          of(
              second.equals("all")
                  ? Kind.DISCARD_ALL
                  : second.equals("plans")
                      ? Kind.DISCARD_PLANS
                      : second.startsWith("temp") ? Kind.DISCARD_TEMP : Kind.WRITE);
      case "prepare" ->
          second.equals("transaction")
              ? of(Kind.PREPARE_TRANSACTION)
              : new Statement(Kind.PREPARE, t.textFrom(first), second, null, false);
      case "execute" -> of(Kind.EXECUTE, second);
      case "deallocate" -> {
        int at = second.equals("prepare") && t.size() > first + 2 ? first + 2 : first + 1;
        yield t.is(at, "all") ? of(Kind.DEALLOCATE_ALL) : of(Kind.DEALLOCATE, t.wordAt(at));
      }
      case "listen" -> of(Kind.LISTEN, second);
      case "unlisten" -> second.isEmpty() ? of(Kind.UNLISTEN_ALL) : of(Kind.UNLISTEN, second);
      case "declare" ->
          t.containsSequence("with", "hold") ? of(Kind.DECLARE_HOLD, second) : of(Kind.READ);
      case "close" -> second.equals("all") ? of(Kind.CLOSE_ALL) : of(Kind.CLOSE, second);
      case "create" -> classifyCreate(t, first);
      case "drop" -> second.equals("table") ? of(Kind.DROP_TABLE, t.lastText()) : of(Kind.WRITE);
      case "load" -> of(Kind.LOAD);
      case "fetch", "move" -> of(Kind.READ);
      case "select", "values", "table", "show", "with" -> SqlQueries.classify(t, first);
      case "explain" ->
          t.containsSequence("analyze") || t.containsSequence("analyse")
              ? of(Kind.WRITE)
              : READ_WITHOUT_CALL;
      default -> t.isKind(first, '(') ? SqlQueries.classify(t, first) : of(Kind.WRITE);
    };
  }

  /** Returns a savepoint's name as far as the server tells names apart. */
  private static String truncated(String name) {
    return name.length() > MAX_NAME_LENGTH ? name.substring(0, MAX_NAME_LENGTH) : name;
  }

  private static Statement classifyCreate(SqlTokens t, int first) {
    int i = first + 1;
    boolean temp = false;
    while (t.isAnyOf(i, CREATE_MODIFIERS, LONGEST_KNOWN_WORD)) {
      temp |= t.text(i).startsWith("temp");
      i++;
    }
    if (!temp || t.containsSequence("on", "commit", "drop")) {
      return of(Kind.WRITE);
    }
    int name = i + 1 + (t.is(i + 1, "if") ? 3 : 0);
    return of(Kind.CREATE_TEMP, t.wordAt(name));
  }
}
