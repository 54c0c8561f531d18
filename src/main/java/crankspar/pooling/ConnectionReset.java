package crankspar.pooling;

import java.util.List;

/**
 * What a server connection goes through between two clients: queries of the pooler's own, and the
 * time until no cancel that was sent for the last client can reach the next one.
 */
final class ConnectionReset {
  /** Where it stands after a step. */
  enum Outcome {
    /** Something is still to come. */
    IN_PROGRESS,
    /** Nothing of the last client is left. */
    CLEAN,
    /** The connection is of no more use. */
    FAILED
  }

  /** SQLSTATE of a statement that a cancel stopped. */
  private static final String QUERY_CANCELED = "57014";

  private int pendingQueries;
  private int pendingCancels;

  /** A cancel may still come, at a time that nobody knows. */
  private boolean cancelInDoubt;

  int pendingCancels() {
    return pendingCancels;
  }

  boolean cancelInDoubt() {
    return cancelInDoubt;
  }

  /** The queries that roll back what is open and, with {@code session}, all of its session. */
  List<Sql.Statement> begin(boolean resetSession) {
    List<Sql.Statement> queries = Sql.split(resetSession ? "ROLLBACK; DISCARD ALL" : "ROLLBACK");
    pendingQueries = queries.size();
    return queries;
  }

  /** A message of the server's while it is cleaned, or kept apart. */
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

  /** A cancel for the connection's present client is on its way. */
  void cancelSent() {
    pendingCancels++;
  }

  /** That cancel has passed; {@code sure} where the server itself ended its connection. */
  void cancelFinished(boolean confirmed) {
    pendingCancels--;
    cancelInDoubt |= !confirmed;
  }

  /** Whether nothing more is awaited but what an empty query takes of a cancel that has passed. */
  boolean tryBeginEmptyQuery() {
    boolean due = pendingCancels == 0 && pendingQueries == 0;
    pendingQueries += due ? 1 : 0;
    return due;
  }
}
