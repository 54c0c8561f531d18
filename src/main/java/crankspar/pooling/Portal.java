package crankspar.pooling;

import crankspar.pooling.Sql.Statement;
import java.util.List;

/**
 * A portal. Its first Execute runs the statements, up to its row limit or to completion; further
 * ones only fetch the remaining rows and have no further effect on the session.
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

  /** Records an Execute and returns the statements whose effects on the session it has. */
  List<Statement> execute() {
    List<Statement> effects = executed ? List.of() : statements;
    executed = true;
    return effects;
  }

  /**
   * Records that the server skipped an Execute.
   *
   * @param effects what {@link #execute} returned for it
   */
  void executeSkipped(List<Statement> effects) {
    executed &= effects.isEmpty();
  }
}
