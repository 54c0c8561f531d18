package crankspar.pooling;

/**
 * Identifies server connections that are interchangeable between clients.
 *
 * @param pool the database name that clients use
 * @param database the database name on the server
 */
record ServerKey(String pool, String database, String user) {}
