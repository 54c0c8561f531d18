package crankspar.pooling;

import static crankspar.pooling.SqlToken.containsSequence;
import static crankspar.pooling.SqlToken.wordAt;

import java.util.ArrayList;
import java.util.List;
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
     * behind as far as their text shows.
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
    LOAD,
    /**
     * A setting changed to a value that the text does not show: {@code set_config} with anything
     * but two literals.
     */
    SET_UNKNOWN,
    /** As {@link #SET_UNKNOWN}, until the end of the transaction. */
    SET_LOCAL_UNKNOWN
  }

  /**
   * One statement.
   *
   * @param text the statement as received, without the semicolon
   * @param name the name that it refers to: an option, savepoint, prepared statement, channel,
   *     cursor or table, or the arguments of an advisory lock
   * @param value the value of an option as SQL text, or null
   * @param readOnly for BEGIN: whether READ ONLY was specified; for others: whether nothing is left
   *     behind
   */
  record Statement(Kind kind, String text, String name, String value, boolean readOnly) {
    boolean transactionControl() {
      return switch (kind) {
        case BEGIN, COMMIT, ROLLBACK, SAVEPOINT, RELEASE, ROLLBACK_TO -> true;
        default -> false;
      };
    }

    /** Whether executing it twice has the same effect as once, as far as its text shows. */
    boolean idempotent() {
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
  }

  private static final Set<String> SESSION_LOCK_FUNCTIONS =
      Set.of(
          "pg_advisory_lock",
          "pg_advisory_lock_shared",
          "pg_try_advisory_lock",
          "pg_try_advisory_lock_shared");
  private static final Set<String> SESSION_UNLOCK_FUNCTIONS =
      Set.of("pg_advisory_unlock", "pg_advisory_unlock_shared");

  /** Functions that make a SELECT a write. */
  private static final Set<String> WRITING_FUNCTIONS =
      Set.of(
          "nextval",
          "setval",
          "pg_advisory_xact_lock",
          "pg_advisory_xact_lock_shared",
          "pg_try_advisory_xact_lock",
          "lo_create",
          "lo_unlink",
          "lo_import",
          "lo_put",
          "txid_current",
          "pg_current_xact_id",
          "pg_notify",
          "dblink_exec",
          "pg_terminate_backend",
          "pg_cancel_backend");

  private static final Set<String> ROW_LOCK_KEYWORDS = Set.of("update", "share", "no", "key");
  private static final Set<String> MODIFYING_KEYWORDS =
      Set.of("into", "insert", "update", "delete", "merge");

  private Sql() {}

  /** Splits a text into its statements; the result is empty if there are none. */
  static List<Statement> split(String sql) {
    var all = new ArrayList<Statement>(1);
    List<SqlToken> tokens = SqlToken.tokenize(sql);
    int first = 0;
    for (int i = 0; i <= tokens.size(); i++) {
      if (i == tokens.size() || tokens.get(i).kind() == ';') {
        if (i > first) {
          List<SqlToken> one = tokens.subList(first, i);
          all.add(classify(one, sql.substring(one.get(0).from(), one.get(one.size() - 1).to())));
        }
        first = i + 1;
      }
    }
    return all;
  }

  /**
   * Returns the statement after {@code PREPARE name (types) AS}, or a {@link Kind#WRITE} if there
   * is none.
   */
  static Statement preparedBody(String prepare) {
    List<SqlToken> tokens = SqlToken.tokenize(prepare);
    for (int i = 0; i + 1 < tokens.size(); i++) {
      if (tokens.get(i).is("as")) {
        List<SqlToken> body = tokens.subList(i + 1, tokens.size());
        return classify(body, prepare.substring(body.get(0).from()));
      }
    }
    return of(Kind.WRITE, prepare);
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
  static Statement of(Kind kind, String text) {
    return new Statement(kind, text, null, null, false);
  }

  static Statement of(Kind kind, String text, String name) {
    return new Statement(kind, text, name, null, false);
  }

  private static Statement classify(List<SqlToken> t, String text) {
    String second = wordAt(t, 1);
    return switch (wordAt(t, 0)) {
      case "begin" ->
          new Statement(Kind.BEGIN, text, null, null, containsSequence(t, "read", "only"));
      case "start" ->
          new Statement(Kind.BEGIN, text, null, null, containsSequence(t, "read", "only"));
      case "commit" -> of(second.equals("prepared") ? Kind.WRITE : Kind.COMMIT, text);
      case "end" -> of(Kind.COMMIT, text);
      case "abort" -> of(Kind.ROLLBACK, text);
      case "rollback" ->
          second.equals("prepared")
              ? of(Kind.WRITE, text)
              : containsSequence(t, "to")
                  ? of(Kind.ROLLBACK_TO, text, t.get(t.size() - 1).text())
                  : of(Kind.ROLLBACK, text);
      case "savepoint" -> of(Kind.SAVEPOINT, text, second);
      case "release" -> of(Kind.RELEASE, text, t.get(t.size() - 1).text());
      case "set" -> SqlSettings.set(t, text);
      case "reset" -> SqlSettings.reset(t, text);
      case "discard" ->
          of(
              second.equals("all")
                  ? Kind.DISCARD_ALL
                  : second.equals("plans")
                      ? Kind.DISCARD_PLANS
                      : second.startsWith("temp") ? Kind.DISCARD_TEMP : Kind.WRITE,
              text);
      case "prepare" ->
          second.equals("transaction")
              ? of(Kind.PREPARE_TRANSACTION, text)
              : of(Kind.PREPARE, text, second);
      case "execute" -> of(Kind.EXECUTE, text, second);
      case "deallocate" -> {
        int at = second.equals("prepare") && t.size() > 2 ? 2 : 1;
        yield wordAt(t, at).equals("all") && text.charAt(t.get(at).from() - t.get(0).from()) != '"'
            ? of(Kind.DEALLOCATE_ALL, text)
            : of(Kind.DEALLOCATE, text, wordAt(t, at));
      }
      case "listen" -> of(Kind.LISTEN, text, second);
      case "unlisten" ->
          second.isEmpty() ? of(Kind.UNLISTEN_ALL, text) : of(Kind.UNLISTEN, text, second);
      case "declare" ->
          of(containsSequence(t, "with", "hold") ? Kind.DECLARE_HOLD : Kind.READ, text, second);
      case "close" ->
          second.equals("all") ? of(Kind.CLOSE_ALL, text) : of(Kind.CLOSE, text, second);
      case "create" -> classifyCreate(t, text);
      case "drop" ->
          second.equals("table")
              ? of(Kind.DROP_TABLE, text, t.get(t.size() - 1).text())
              : of(Kind.WRITE, text);
      case "load" -> of(Kind.LOAD, text);
      case "fetch", "move" -> of(Kind.READ, text);
      case "select", "values", "table", "show", "with" -> classifySelect(t, text);
      case "explain" -> containsSequence(t, "analyze") ? of(Kind.WRITE, text) : of(Kind.READ, text);
      default -> t.get(0).kind() == '(' ? classifySelect(t, text) : of(Kind.WRITE, text);
    };
  }

  private static Statement classifySelect(List<SqlToken> t, String text) {
    boolean reads = true;
    for (int i = 0; i < t.size(); i++) {
      SqlToken token = t.get(i);
      if (token.kind() != 'w') {
        continue;
      }
      boolean call = i + 1 < t.size() && t.get(i + 1).kind() == '(';
      if (call && token.is("set_config")) {
        return SqlSettings.setConfig(t, text);
      }
      if (call && SESSION_LOCK_FUNCTIONS.contains(token.text())) {
        return of(Kind.LOCK_SESSION, text, callArguments(t, i + 1, text));
      }
      if (call && SESSION_UNLOCK_FUNCTIONS.contains(token.text())) {
        return of(Kind.UNLOCK_SESSION, text, callArguments(t, i + 1, text));
      }
      if (call && token.is("pg_advisory_unlock_all")) {
        return of(Kind.UNLOCK_ALL, text);
      }
      boolean temp =
          token.is("into")
              && i + 1 < t.size()
              && (t.get(i + 1).is("temp") || t.get(i + 1).is("temporary"));
      if (temp) {
        return of(Kind.CREATE_TEMP, text, i + 2 < t.size() ? t.get(i + 2).text() : "");
      }
      boolean locks =
          token.is("for") && i + 1 < t.size() && ROW_LOCK_KEYWORDS.contains(t.get(i + 1).text());
      reads &=
          !(locks
              || call && WRITING_FUNCTIONS.contains(token.text())
              || MODIFYING_KEYWORDS.contains(token.text()) && (i == 0 || !t.get(i - 1).is("for")));
    }
    return of(reads ? Kind.READ : Kind.WRITE, text);
  }

  private static String callArguments(List<SqlToken> t, int open, String text) {
    int depth = 0;
    int base = t.get(0).from();
    for (int i = open; i < t.size(); i++) {
      depth += t.get(i).kind() == '(' ? 1 : t.get(i).kind() == ')' ? -1 : 0;
      if (depth == 0) {
        return text.substring(t.get(open).to() - base, t.get(i).from() - base)
            .replaceAll("\\s+", "");
      }
    }
    return "";
  }

  private static Statement classifyCreate(List<SqlToken> t, String text) {
    int i = 1;
    boolean temp = false;
    while (i < t.size()
        && Set.of("local", "global", "or", "replace", "temp", "temporary")
            .contains(t.get(i).text())) {
      temp |= t.get(i).text().startsWith("temp");
      i++;
    }
    if (!temp) {
      return of(Kind.WRITE, text);
    }
    int name = i + 1 + (wordAt(t, i + 1).equals("if") ? 3 : 0);
    return containsSequence(t, "on", "commit", "drop")
        ? of(Kind.WRITE, text)
        : of(Kind.CREATE_TEMP, text, wordAt(t, name));
  }
}
