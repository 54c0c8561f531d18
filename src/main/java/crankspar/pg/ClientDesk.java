package crankspar.pg;

import crankspar.core.Counters;
import crankspar.core.Ports.Audit;
import crankspar.net.MemoryBudget;

/** What a client's session needs of its front. */
interface ClientDesk {
  /**
   * Takes a statement that came whole at {@code since} (ms) at the earliest; its id names it until
   * its answer comes. An error is for this client.
   */
  void take(Statement statement, double since, ClientSession session) throws Statement.Malformed;

  /** A statement that has been read is not taken: what became of it, for the audit. */
  void notTaken(String sql, Audit.Answer how);

  /** The time (ms) by the loop's clock. */
  double now();

  /** Runs work behind whatever the sockets hold now: ends and cancels come before it. */
  void later(Runnable work);

  /** Like {@link #later}, behind all such work of others: for what has waited in its own line. */
  void laterBehind(Runnable work);

  /** The client of this request has left. */
  void gone(String id);

  /** Its client wants it no longer, and waits for the answer that says so. */
  void cancel(String id);

  /** What names this session in a cancel; none other knows the secret. */
  PgMessage.BackendKeyData key(ClientSession session);

  /** A cancel has come, on a connection of its own; one that names nobody does nothing. */
  void cancel(int process, int secret);

  /** Whether {@link #notTaken} records anything. */
  boolean audited();

  /** What all connections of this process hold. */
  MemoryBudget memory();

  void closed(ClientSession session);

  boolean draining();

  /** Whether who asks is told to go elsewhere. */
  boolean leaving();

  Counters counters();

  /** A connection is closed from this side with this request owed (null where none is), and why. */
  void closing(String id, String why);
}
