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

  /** The length of the longest name in these sets (characters). */
  private static final int LONGEST_FUNCTION = 32;

  /** The length of the longest keyword in these sets (characters). */
  private static final int LONGEST_KEYWORD = 6;

  private static final Set<String> ROW_LOCK_KEYWORDS = Set.of("update", "share", "no", "key");
  private static final Set<String> MODIFYING_KEYWORDS =
      Set.of("into", "insert", "update", "delete", "merge");

  private SqlQueries() {}

  /** Where a query has what leaves state behind; {@link #NONE} where it has not. */
  private static final class SessionEffects {
    int lock = NONE;
    int unlock = NONE;
    int unlockAll = NONE;
    int setting = NONE;
    int temporary = NONE;

    SessionEffects(SqlTokens t, int first) {
      for (int i = first; i + 1 < t.size(); i++) {
        if (t.isKind(i + 1, '(') && t.isKind(i, 'w')) {
          noteCall(t, i);
        } else if (t.is(i, "into") && (t.is(i + 1, "temp") || t.is(i + 1, "temporary"))) {
          temporary = firstOf(temporary, i);
        }
      }
    }

    private void noteCall(SqlTokens t, int i) {
      if (t.is(i, "set_config")) {
        setting = firstOf(setting, i);
      } else if (t.isAnyOf(i, SESSION_LOCK_FUNCTIONS, LONGEST_FUNCTION)) {
        lock = firstOf(lock, i);
      } else if (t.isAnyOf(i, SESSION_UNLOCK_FUNCTIONS, LONGEST_FUNCTION)) {
        unlock = firstOf(unlock, i);
      } else if (t.is(i, "pg_advisory_unlock_all")) {
        unlockAll = firstOf(unlockAll, i);
      }
    }

    private static int firstOf(int before, int at) {
      return before == NONE ? at : before;
    }

    /** Whether it leaves state of more than one kind. */
    boolean ofSeveralKinds() {
      int kinds = (lock == NONE ? 0 : 1) + (setting == NONE ? 0 : 1) + (temporary == NONE ? 0 : 1);
      return kinds > 1;
    }
  }

  /** Classifies the query that begins at a token and ends with the last one. */
  static Statement classify(SqlTokens t, int first) {
    var effects = new SessionEffects(t, first);
    if (effects.ofSeveralKinds()) {
      return Sql.of(Kind.LOAD); // no statement is known to release all of it
    }
    if (effects.setting != NONE) {
      return SqlSettings.setConfig(t, first).calling(callsBesides(t, first));
    }
    if (effects.lock != NONE) {
      boolean once = lockedOnce(t, effects.lock, first);
      return Sql.of(Kind.LOCK_SESSION, once ? callArguments(t, effects.lock + 1) : MANY_LOCKS);
    }
    if (effects.temporary != NONE) {
      int name = effects.temporary + 2;
      return Sql.of(Kind.CREATE_TEMP, name < t.size() ? t.text(name) : "");
    }
    if (effects.unlock != NONE) {
      return Sql.of(Kind.UNLOCK_SESSION, callArguments(t, effects.unlock + 1));
    }
    if (effects.unlockAll != NONE) {
      return Sql.of(Kind.UNLOCK_ALL);
    }
    return switch (calls(t, first)) {
      case WRITING -> Sql.of(Kind.WRITE);
      case UNKNOWN -> Sql.of(Kind.READ);
      case NONE -> Sql.READ_WITHOUT_CALL;
    };
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
    boolean locksRows = t.is(i, "for") && t.isAnyOf(i + 1, ROW_LOCK_KEYWORDS, LONGEST_KEYWORD);
    return locksRows
        || call && t.isAnyOf(i, WRITING_FUNCTIONS, LONGEST_FUNCTION)
        || t.isAnyOf(i, MODIFYING_KEYWORDS, LONGEST_KEYWORD) && (i == first || !t.is(i - 1, "for"));
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
