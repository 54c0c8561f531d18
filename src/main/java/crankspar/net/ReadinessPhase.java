package crankspar.net;

/**
 * The order in which the ready sockets of one poll are served, all before any timer or work of the
 * same turn.
 */
enum ReadinessPhase {
  /** Change notifications: the watch on discovery, datagrams of peers, operators' calls. */
  NEWS(64 * 1024),
  /** Clients' bytes and closes; handlers only decode here and leave the work for later. */
  CLIENTS(16 * 1024), // there may be hundreds with much to read
  /**
   * New connections, each read at once. They come after the clients' reads, because a cancel refers
   * to a request that was sent before it.
   */
  ACCEPTS(16 * 1024),
  /** Servers' answers and closes, and completed connects; these may send further attempts. */
  SERVERS(64 * 1024);

  private final int readBudget;

  ReadinessPhase(int readBudget) {
    this.readBudget = readBudget;
  }

  /** Bytes that one poll reads from one connection. */
  int readBudget() {
    return readBudget;
  }
}
