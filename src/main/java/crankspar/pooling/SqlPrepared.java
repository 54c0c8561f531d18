package crankspar.pooling;

/**
 * A statement of SQL's PREPARE.
 *
 * @param text the whole PREPARE
 * @param options those under which it was prepared
 */
record SqlPrepared(String text, StatementOptions options) {
  /** What it counts against a client's bound. */
  int bytes() {
    return text.length() + options.bytes();
  }
}
