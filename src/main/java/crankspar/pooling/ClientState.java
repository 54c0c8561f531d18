package crankspar.pooling;

/** The states of a client; SHOW clients prints these names. */
enum ClientState {
  /** The login is incomplete, or no server has reported the parameters sent at login yet. */
  LOGIN,
  /** Between transactions, without a server connection. */
  IDLE,
  /** Waiting for a place. */
  WAITING,
  /** The core or a server has its transaction. */
  ACTIVE,
  /** Disconnecting; nothing more is sent to it. */
  LEAVING
}
