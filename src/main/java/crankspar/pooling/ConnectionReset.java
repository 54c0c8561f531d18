package crankspar.pooling;

import java.util.List;

/**
 * The reset of a server connection between two clients: the pooler's reset queries, and the wait
 * until no cancel request that was sent for the last client can hit a statement of the next one.
 */
final class ConnectionReset {
  /** Progress of the reset after a message. */
  enum Outcome {
    /** Replies or cancel requests are still outstanding. */
    IN_PROGRESS,
    /** Nothing of the last client is left on the connection. */
    CLEAN,
    /** The reset failed; the connection must be closed. */
    FAILED
  }

  /** SQLSTATE of a statement that was stopped by a cancel request. */
  private static final String QUERY_CANCELED = "57014";

  /** What a reset runs, in this order. */
  enum Query {
    ROLLBACK("ROLLBACK", Sql.Kind.ROLLBACK),
    DISCARD_ALL("DISCARD ALL", Sql.Kind.DISCARD_ALL);

    final String sql;
    final Sql.Statement effect;

    Query(String sql, Sql.Kind effect) {
      this.sql = sql;
      this.effect = Sql.of(effect);
    }
  }

  private int pendingQueries;
  private int pendingCancels;

  /** Whether a cancel request may still arrive, at an unknown time. */
  private boolean cancelInDoubt;

  int pendingCancels() {
    return pendingCancels;
  }

  boolean cancelInDoubt() {
    return cancelInDoubt;
  }

  /** Starts a reset and returns its queries; {@code resetSession} adds DISCARD ALL to ROLLBACK. */
  List<Query> begin(boolean resetSession) {
    List<Query> queries =
        resetSession ? List.of(Query.ROLLBACK, Query.DISCARD_ALL) : List.of(Query.ROLLBACK);
    pendingQueries = queries.size();
    return queries;
  }

  /** Handles a server message that arrives during the reset or the wait for a cancel request. */
  Outcome onMessage(Frame f) throws Frame.Malformed {
    if (f.type() == 'E' && !QUERY_CANCELED.equals(f.fields().get('C'))) {
      return Outcome.FAILED;
    }
    if (f.type() != 'Z') {
      return Outcome.IN_PROGRESS;
    }
    char status = f.read().code();
    if (pendingQueries == 0 || --pendingQueries > 0) {
      return Outcome.IN_PROGRESS;
    }
    return status == 'I' ? Outcome.CLEAN : Outcome.FAILED;
  }

  /** A cancel request for the connection's current client was sent. */
  void cancelSent() {
    pendingCancels++;
  }

  /**
   * A cancel request is finished; {@code confirmed} if the server closed its connection, after
   * which it sends no further signal.
   */
  void cancelFinished(boolean confirmed) {
    pendingCancels--;
    cancelInDoubt |= !confirmed;
  }

  /**
   * Returns whether an empty query must be sent now, and counts it as pending. That is so once all
   * cancel requests and reset queries are finished: the empty query absorbs a cancel signal that
   * the server has not yet acted on, which would otherwise hit the next client's statement.
   */
  boolean tryBeginEmptyQuery() {
    boolean due = pendingCancels == 0 && pendingQueries == 0;
    pendingQueries += due ? 1 : 0;
    return due;
  }
}
