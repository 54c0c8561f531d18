package crankspar.net;

/**
 * The order in which one poll's ready sockets are served. All of them come before any timer or work
 * of the same turn.
 */
enum ReadinessPhase {
  /** Tells what has changed: the watch on discovery, peers' datagrams, operators' calls. */
  NEWS,
  /** Clients' bytes and ends; handlers only decode here and leave the work for later. */
  CLIENTS,
  /**
   * New connections, each read at once: behind the clients' reads, as a cancel names a request that
   * was sent before it.
   */
  ACCEPTS,
  /** Servers' answers and ends, and connects that are done; these may send further attempts. */
  SERVERS
}
