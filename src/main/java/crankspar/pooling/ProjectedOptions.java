package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * A client's options as they will be on the server once everything sent to it has completed. After
 * a statement fails, the server skips the rest of its batch, so statements sent later never run
 * under options other than these.
 */
final class ProjectedOptions {
  private final SessionOptions confirmed;
  private SessionOptions projected;

  /** Number of statements sent that change options and are not answered yet. */
  private int pending;

  /** Whether a COMMIT would roll back, as the transaction block has failed. */
  private boolean blockFailed;

  ProjectedOptions(SessionOptions confirmed) {
    this.confirmed = confirmed;
  }

  /** Returns the options after all statements sent so far. */
  SessionOptions current() {
    return pending == 0 ? confirmed : projected;
  }

  /**
   * Records statements sent for execution.
   *
   * @param status the transaction status that the server reported last
   */
  void sent(List<Statement> statements, char status) {
    for (Statement s : statements) {
      if (SessionOptions.changedBy(s)) {
        if (pending++ == 0) {
          projected = confirmed.copy();
          blockFailed = status == 'E';
        }
        projected.apply(s, s.kind() == Kind.COMMIT && !blockFailed ? "COMMIT" : "ROLLBACK");
        blockFailed &= !s.transactionControl();
      }
    }
  }

  /** Records statements that have completed; the session's own options already include them. */
  void answered(List<Statement> statements) {
    for (Statement s : statements) {
      if (SessionOptions.changedBy(s)) {
        pending--;
      }
    }
  }

  /** Discards the pending statements: they either have completed or will not be executed. */
  void reset() {
    pending = 0;
    projected = null;
  }
}
