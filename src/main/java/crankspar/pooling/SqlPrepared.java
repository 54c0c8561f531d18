package crankspar.pooling;

/**
 * A statement of SQL's PREPARE.
 *
 * @param text the whole PREPARE
 * @param options those under which it was prepared
 */
record SqlPrepared(String text, StatementOptions options) {}
