package crankspar.pooling;

import crankspar.pooling.Sql.Statement;

/**
 * A statement created by SQL PREPARE.
 *
 * @param text the entire PREPARE statement
 * @param options the options in effect when it was prepared
 * @param effect the statement that an EXECUTE runs if it changes the session, otherwise null
 */
record SqlPrepared(String text, StatementOptions options, Statement effect) {
  static SqlPrepared of(Statement prepare, StatementOptions options) {
    return new SqlPrepared(prepare.text(), options, effect(prepare));
  }

  /**
   * Returns the effect on the session of executing the statement that this PREPARE creates, or
   * null.
   */
  static Statement effect(Statement prepare) {
    Statement body = Sql.preparedBody(prepare.text());
    return switch (body.kind()) {
      case READ, WRITE -> null;
      default -> body;
    };
  }

  /** Returns the bytes that count towards the memory limit of its client. */
  int memoryBytes() {
    return text.length() + options.memoryBytes();
  }
}
