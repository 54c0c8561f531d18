package crankspar.pooling;

import java.util.List;

/**
 * What a server connection goes through between two clients: queries of the pooler's own, and the
 * time until no cancel that was sent for the last client can reach the next one.
 */
final class Cleaning {
  /** Where it stands after a step. */
  enum Outcome {
    /** Something is still to come. */
    WAITS,
    /** Nothing of the last client is left. */
    CLEAN,
    /** The connection is of no more use. */
    FAILED
  }

  /** SQLSTATE of a statement that a cancel stopped. */
  private static final String CANCELED = "57014";

  private int unanswered;
  private int cancelsPending;

  /** A cancel may still come, at a time that nobody knows. */
  private boolean doubted;

  int cancelsPending() {
    return cancelsPending;
  }

  boolean doubted() {
    return doubted;
  }

  /** The queries that roll back what is open and, with {@code session}, all of its session. */
  List<Sql.Statement> begin(boolean session) {
    List<Sql.Statement> queries = Sql.split(session ? "ROLLBACK; DISCARD ALL" : "ROLLBACK");
    unanswered = queries.size();
    return queries;
  }

  /** A message of the server's while it is cleaned, or kept apart. */
  Outcome take(Frame f) throws Frame.Malformed {
    if (f.type() == 'E' && !CANCELED.equals(f.fields().get('C'))) {
      return Outcome.FAILED;
    }
    if (f.type() != 'Z') {
      return Outcome.WAITS;
    }
    char status = f.read().code();
    if (unanswered == 0 || --unanswered > 0) {
      return Outcome.WAITS;
    }
    return status == 'I' ? Outcome.CLEAN : Outcome.FAILED;
  }

  /** A cancel for the connection's present client is on its way. */
  void cancelSent() {
    cancelsPending++;
  }

  /** That cancel has passed; {@code sure} where the server itself ended its connection. */
  void cancelPassed(boolean sure) {
    cancelsPending--;
    doubted |= !sure;
  }

  /** Whether nothing more is awaited but what an empty query takes of a cancel that has passed. */
  boolean needsEmptyQuery() {
    boolean last = cancelsPending == 0 && unanswered == 0;
    unanswered += last ? 1 : 0;
    return last;
  }
}
