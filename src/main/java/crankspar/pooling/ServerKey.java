package crankspar.pooling;

/**
 * Whose server connections are alike.
 *
 * @param pool the database as clients name it
 * @param database the database as servers name it
 */
record ServerKey(String pool, String database, String user) {}
