package crankspar.pooling;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

/** Configuration of the pooling front. Times are in ms, sizes in bytes. */
public record Setup(
    InetSocketAddress listen,
    Limits limits,
    Set<Pins.Kind> refusedPins,
    Map<String, Database> databases) {
  /**
   * When a client releases its server connection: at the end of its session or of each transaction.
   */
  public enum Mode {
    SESSION,
    TRANSACTION
  }

  /**
   * Limits that hold across all databases.
   *
   * @param maxClients client connections at a time
   * @param maxWaiting clients waiting for a slot; the queue of each database checks it on its own
   * @param loginTimeout from connecting to a complete startup message
   * @param maxStatements prepared statements of one client
   * @param maxStatementBytes total size of their texts
   * @param maxServerStatements prepared statements on one server connection
   * @param maxBufferedBytes bytes of queued client messages, over all clients
   * @param idleInTransactionTimeout between two messages in an open transaction
   * @param transactionTimeout of a whole transaction
   * @param drainTimeout how long an open transaction may go on at a server that drains
   * @param cancelTimeout how long a server may take to close the connection of a cancel request
   */
  public record Limits(
      int maxClients,
      int maxWaiting,
      double loginTimeout,
      int maxStatements,
      int maxStatementBytes,
      int maxServerStatements,
      int maxBufferedBytes,
      double idleInTransactionTimeout,
      double transactionTimeout,
      double drainTimeout,
      double cancelTimeout) {
    public static final Limits DEFAULT =
        new Limits(2000, 2000, 5000, 1000, 1 << 20, 200, 16 << 20, 60_000, 600_000, 10_000, 2000);
  }

  /**
   * Limits on the connections for one database.
   *
   * @param maxSize transactions at a time, and so connections in use
   * @param minIdle connections that are kept open when idle
   * @param reserve additional connections, used once a request has waited for {@code reserveAfter}
   * @param maxLifetime age at which a connection is closed between transactions, plus or minus 10%
   * @param idleTimeout after which an idle connection is closed
   */
  public record PoolLimits(
      int maxSize,
      int minIdle,
      int reserve,
      double reserveAfter,
      double maxLifetime,
      double idleTimeout) {
    public static final PoolLimits DEFAULT = new PoolLimits(20, 0, 0, 1000, 3_600_000, 300_000);
  }

  /** Settings of one user; null or 0 means that the setting of the database applies. */
  public record UserSettings(Mode mode, int maxSize) {}

  /**
   * One database, by the name that clients use.
   *
   * @param serverName its name on the servers
   * @param requestClass class of requests that no comment and no mapping assigns to another one
   * @param readOnlyClass class of blocks begun with READ ONLY, or null
   * @param selectClass class of single SELECT statements, or null
   */
  public record Database(
      String name,
      String serverName,
      Mode mode,
      int group,
      String requestClass,
      String readOnlyClass,
      String selectClass,
      PoolLimits poolLimits,
      Map<String, UserSettings> users,
      boolean anyUser) {
    Mode mode(String user) {
      UserSettings own = users.get(user);
      return own == null || own.mode() == null ? mode : own.mode();
    }

    /** A copy with this user's mode as the mode of the database. */
    Database forUser(String user) {
      return new Database(
          name,
          serverName,
          mode(user),
          group,
          requestClass,
          readOnlyClass,
          selectClass,
          poolLimits,
          users,
          anyUser);
    }

    boolean allows(String user) {
      return anyUser || users.containsKey(user);
    }
  }
}
