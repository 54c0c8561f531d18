package crankspar.pooling;

import crankspar.pooling.Sql.Calls;
import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.Set;

/** Classifies queries (SELECT, VALUES, TABLE, SHOW, WITH) by the functions that they call. */
final class SqlQueries {
  private static final Set<String> SESSION_LOCK_FUNCTIONS =
      Set.of(
          "pg_advisory_lock",
          "pg_advisory_lock_shared",
          "pg_try_advisory_lock",
          "pg_try_advisory_lock_shared");

  /** Stands for the arguments where it is not known which locks are taken, or how often. */
  private static final String MANY_LOCKS = "*";

  private static final Set<String> SESSION_UNLOCK_FUNCTIONS =
      Set.of("pg_advisory_unlock", "pg_advisory_unlock_shared");

  private static final Set<String> UNLOCK_ALL_FUNCTIONS = Set.of("pg_advisory_unlock_all");
  private static final Set<String> SETTING_FUNCTIONS = Set.of("set_config");

  /** Stands for a token that there is not. */
  private static final int NONE = -1;

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

  /** The length of the longest name and keyword in these sets. */
  private static final int LONGEST_KNOWN_WORD = 32;

  private static final Set<String> ROW_LOCK_KEYWORDS = Set.of("update", "share", "no", "key");
  private static final Set<String> MODIFYING_KEYWORDS =
      Set.of("into", "insert", "update", "delete", "merge");

  private SqlQueries() {}

  /** Classifies the query that begins at a token and ends with the last one. */
  static Statement classify(SqlTokens t, int first) {
    int lock = callOf(SESSION_LOCK_FUNCTIONS, t, first);
    int unlock = callOf(SESSION_UNLOCK_FUNCTIONS, t, first);
    int into = intoTemporary(t, first);
    boolean sets = callOf(SETTING_FUNCTIONS, t, first) != NONE;
    if (lock != NONE && (sets || into != NONE) || sets && into != NONE) {
      return Sql.of(Kind.LOAD); // no statement is known to release all of it
    }
    if (sets) {
      return SqlSettings.setConfig(t, first).calling(callsBesides(t, first));
    }
    if (lock != NONE) {
      boolean once = lockedOnce(t, lock, first);
      return Sql.of(Kind.LOCK_SESSION, once ? callArguments(t, lock + 1) : MANY_LOCKS);
    }
    if (into != NONE) {
      return Sql.of(Kind.CREATE_TEMP, into + 2 < t.size() ? t.text(into + 2) : "");
    }
    if (unlock != NONE) {
      return Sql.of(Kind.UNLOCK_SESSION, callArguments(t, unlock + 1));
    }
    if (callOf(UNLOCK_ALL_FUNCTIONS, t, first) != NONE) {
      return Sql.of(Kind.UNLOCK_ALL);
    }
    return switch (calls(t, first)) {
      case WRITING -> Sql.of(Kind.WRITE);
      case UNKNOWN -> Sql.of(Kind.READ);
      case NONE -> Sql.READ_WITHOUT_CALL;
    };
  }

  /** Returns where the first call of one of these functions is, or {@link #NONE}. */
  private static int callOf(Set<String> functions, SqlTokens t, int first) {
    for (int i = first; i + 1 < t.size(); i++) {
      if (t.isKind(i + 1, '(') && t.isKind(i, 'w') && t.isAnyOf(i, functions, LONGEST_KNOWN_WORD)) {
        return i;
      }
    }
    return NONE;
  }

  /** Returns where INTO TEMP is, or {@link #NONE}. */
  private static int intoTemporary(SqlTokens t, int first) {
    for (int i = first; i + 1 < t.size(); i++) {
      if (t.is(i, "into") && (t.is(i + 1, "temp") || t.is(i + 1, "temporary"))) {
        return i;
      }
    }
    return NONE;
  }

  /**
   * What a query does besides changing settings; what it selects from may be a view that writes.
   */
  private static Calls callsBesides(SqlTokens t, int first) {
    Calls calls = calls(t, first);
    return calls == Calls.NONE && t.containsSequence("from") ? Calls.UNKNOWN : calls;
  }

  private static Calls calls(SqlTokens t, int first) {
    for (int i = first; i < t.size(); i++) {
      if (t.isKind(i, 'w') && modifies(t, i, first, t.isKind(i + 1, '('))) {
        return Calls.WRITING;
      }
    }
    return SqlFunctions.mayWrite(t, first) ? Calls.UNKNOWN : Calls.NONE;
  }

  /** Whether a word makes its SELECT a write. */
  private static boolean modifies(SqlTokens t, int i, int first, boolean call) {
    boolean locksRows = t.is(i, "for") && t.isAnyOf(i + 1, ROW_LOCK_KEYWORDS, LONGEST_KNOWN_WORD);
    return locksRows
        || call && t.isAnyOf(i, WRITING_FUNCTIONS, LONGEST_KNOWN_WORD)
        || t.isAnyOf(i, MODIFYING_KEYWORDS, LONGEST_KNOWN_WORD)
            && (i == first || !t.is(i - 1, "for"));
  }

  /**
   * Whether the statement is nothing but one call, so that it takes its lock once; any other may
   * take several, or one several times, and only the release of all locks is known to end that.
   */
  private static boolean lockedOnce(SqlTokens t, int call, int first) {
    if (call != first + 1 || !t.is(first, "select")) {
      return false;
    }
    int depth = 0;
    for (int i = call + 1; i < t.size(); i++) {
      depth += t.isKind(i, '(') ? 1 : t.isKind(i, ')') ? -1 : 0;
      if (depth == 0) {
        return i == t.size() - 1 && !SqlFunctions.mayWrite(t, call + 1);
      }
    }
    return false;
  }

  private static String callArguments(SqlTokens t, int open) {
    int depth = 0;
    for (int i = open; i < t.size(); i++) {
      depth += t.isKind(i, '(') ? 1 : t.isKind(i, ')') ? -1 : 0;
      if (depth == 0) {
        return t.textBetween(open, i).replaceAll("\\s+", "");
      }
    }
    return "";
  }
}
