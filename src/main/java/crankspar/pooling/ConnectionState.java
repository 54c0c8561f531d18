package crankspar.pooling;

/** Where a connection to a server can be, by the names of SHOW servers. */
enum ConnectionState {
  /** Dialled, and not welcomed yet. */
  LOGIN,
  /** Free for anybody. */
  IDLE,
  /** Brought to a client's state, before its transaction. */
  CARRYING,
  /** A client has it. */
  ACTIVE,
  /** Cleaned, or kept apart until a cancel has passed. */
  TESTED,
  CLOSED
}
