package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * A client's options as they will be at the server once all that has been sent there has been done.
 * A statement that fails has the rest of its batch passed over, so that what is sent behind it
 * never meets other options than these.
 */
final class ProjectedOptions {
  private final SessionOptions confirmed;
  private SessionOptions projected;

  /** Statements that change options and have not been answered. */
  private int pending;

  /** Whether a COMMIT would be a rollback. */
  private boolean blockFailed;

  ProjectedOptions(SessionOptions confirmed) {
    this.confirmed = confirmed;
  }

  SessionOptions current() {
    return pending == 0 ? confirmed : projected;
  }

  /** These are to be executed; {@code status} is what the server said last of the transaction. */
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

  /** These have been done, and count in the session's own options. */
  void answered(List<Statement> statements) {
    for (Statement s : statements) {
      if (SessionOptions.changedBy(s)) {
        pending--;
      }
    }
  }

  /** What was sent and not answered will not be done, or has been. */
  void reset() {
    pending = 0;
    projected = null;
  }
}
