package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * A bound statement. Its first Execute runs it, up to a row or to its end; further ones only fetch
 * what is left, and do nothing more to the session.
 */
final class Portal {
  private final List<Statement> statements;
  private boolean executed;

  Portal(List<Statement> statements) {
    this.statements = statements;
  }

  List<Statement> statements() {
    return statements;
  }

  /** It is to be executed: returns what that does to the session. */
  List<Statement> execute() {
    List<Statement> effects = executed ? List.of() : statements;
    executed = true;
    return effects;
  }

  /** The server has passed over its first Execute; {@code run} is what that was to do. */
  void executeSkipped(List<Statement> effects) {
    executed &= effects.isEmpty();
  }
}
