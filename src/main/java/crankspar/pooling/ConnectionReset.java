package crankspar.pooling;

import java.util.EnumSet;
import java.util.Set;

/**
 * The reset of a server connection between two clients. The connection is clean once each of its
 * queries is known to have been done, and no cancel request that was sent for the last client can
 * hit a statement of the next one. One query is under way at a time, so that each answer belongs to
 * one; a query that a cancel has stopped is sent again. A decision class without I/O.
 */
final class ConnectionReset {
  /** Progress of the reset after a message. */
  enum Outcome {
    /** A reply or the end of a cancel request is outstanding. */
    IN_PROGRESS,
    /** {@link #next} has the next query. */
    CONTINUE,
    /** Nothing of the last client is left on the connection. */
    CLEAN,
    /** The reset failed; the connection must be closed. */
    FAILED
  }

  /** What a reset runs, in this order. */
  enum Query {
    ROLLBACK("ROLLBACK", Sql.Kind.ROLLBACK),
    /** Absorbs a cancel that the server has not acted on yet. */
    EMPTY("", null),
    DISCARD_ALL("DISCARD ALL", Sql.Kind.DISCARD_ALL);

    final String sql;

    /** The kind of its effect on the state of the connection, or null. */
    private final Sql.Kind kind;

    Query(String sql, Sql.Kind kind) {
      this.sql = sql;
      this.kind = kind;
    }

    /** Its effect on the state of the connection, or null. */
    Sql.Statement effect() {
      return kind == null ? null : Sql.of(kind);
    }
  }

  /** SQLSTATE of a statement that was stopped by a cancel request. */
  private static final String QUERY_CANCELED = "57014";

  /** So many queries of one reset may be stopped by cancels before the connection is closed. */
  private static final int MAX_STOPPED = 5;

  private final Set<Query> needed = EnumSet.noneOf(Query.class);
  private Query current;
  private Query completed;
  private boolean stopped;
  private int timesStopped;
  private int pendingCancels;

  /** Whether a cancel request may still arrive, at an unknown time. */
  private boolean cancelInDoubt;

  /**
   * The number of cancel requests that may still hit a statement: not finished, or finished and not
   * yet absorbed.
   */
  int unsettledCancels() {
    return pendingCancels + (needed.contains(Query.EMPTY) ? 1 : 0);
  }

  boolean cancelInDoubt() {
    return cancelInDoubt;
  }

  /**
   * Starts a reset that ends an open transaction; {@code resetSession} discards the session too.
   */
  void begin(boolean resetSession) {
    awaitCancels();
    needed.add(Query.ROLLBACK);
    if (resetSession) {
      needed.add(Query.DISCARD_ALL);
    }
  }

  /** Starts a wait for cancel requests alone. */
  void awaitCancels() {
    timesStopped = 0;
  }

  /**
   * Returns the query to send now, or null. The transaction is rolled back at once, since it may
   * hold locks; anything else waits until no cancel request is under way.
   */
  Query next() {
    if (current != null || needed.isEmpty()) {
      return null;
    }
    Query first = needed.iterator().next();
    if (first != Query.ROLLBACK && pendingCancels > 0) {
      return null;
    }
    current = first;
    return first;
  }

  /** The query that the last message has completed, or null. */
  Query completed() {
    return completed;
  }

  /** Handles a server message that arrives during the reset or the wait for a cancel request. */
  Outcome onMessage(Frame f) throws Frame.Malformed {
    completed = null;
    if (f.type() == 'E') {
      stopped = QUERY_CANCELED.equals(f.fields().get('C'));
      return stopped ? Outcome.IN_PROGRESS : Outcome.FAILED;
    }
    if (f.type() != 'Z' || current == null) {
      return Outcome.IN_PROGRESS;
    }
    return queryEnded(f.read().code());
  }

  private Outcome queryEnded(char status) {
    Query ended = current;
    boolean done = !stopped || ended == Query.EMPTY; // an empty query has nothing to repeat
    current = null;
    stopped = false;
    if (done) {
      needed.remove(ended);
      completed = ended;
    } else if (++timesStopped > MAX_STOPPED) {
      return Outcome.FAILED;
    }
    if (done && status != 'I') {
      return Outcome.FAILED;
    }
    if (!needed.isEmpty()) {
      return Outcome.CONTINUE;
    }
    return pendingCancels == 0 ? Outcome.CLEAN : Outcome.IN_PROGRESS;
  }

  /** A cancel request for the connection's current client was sent. */
  void cancelSent() {
    pendingCancels++;
    needed.add(Query.EMPTY);
  }

  /**
   * A cancel request is finished; {@code confirmed} if the server closed its connection, after
   * which it sends no further signal.
   */
  void cancelFinished(boolean confirmed) {
    pendingCancels--;
    cancelInDoubt |= !confirmed;
  }
}
