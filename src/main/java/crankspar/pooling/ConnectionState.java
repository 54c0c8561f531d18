package crankspar.pooling;

/** The states of a server connection, as printed by {@code SHOW servers}. */
enum ConnectionState {
  /** Connecting, or logging in. */
  LOGIN,
  /** Not in use; can serve any client of its key. */
  IDLE,
  /** The client's options and statements are being applied, before its transaction starts. */
  CARRYING,
  /** In use by a client. */
  ACTIVE,
  /** Being reset after use, or waiting until a cancel request is finished. */
  TESTED,
  CLOSED
}
