package crankspar.pooling;

import crankspar.pooling.Sql.Statement;

/**
 * A statement of SQL's PREPARE.
 *
 * @param text the whole PREPARE
 * @param options those under which it was prepared
 * @param effect the statement that an EXECUTE runs where that changes its session, or null
 */
record SqlPrepared(String text, StatementOptions options, Statement effect) {
  static SqlPrepared of(Statement prepare, StatementOptions options) {
    return new SqlPrepared(prepare.text(), options, effect(prepare));
  }

  /** What an EXECUTE of this PREPARE's statement does to its session, or null. */
  static Statement effect(Statement prepare) {
    Statement body = Sql.preparedBody(prepare.text());
    return switch (body.kind()) {
      case READ, WRITE -> null;
      default -> body;
    };
  }

  /** What it counts against a client's bound. */
  int memoryBytes() {
    return text.length() + options.memoryBytes();
  }
}
