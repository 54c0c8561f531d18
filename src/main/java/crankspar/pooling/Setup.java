package crankspar.pooling;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

/** How the pooling front is set up. Times are ms, sizes bytes. */
public record Setup(
    InetSocketAddress listen,
    Limits limits,
    Set<Pins.Kind> refusedPins,
    Map<String, Database> databases) {
  /** When a connection is given back: with the client's end, or with the transaction's. */
  public enum Mode {
    SESSION,
    TRANSACTION
  }

  /**
   * Bounds for all clients.
   *
   * @param clients connections of clients at once
   * @param waiting clients that wait for a turn, all together
   * @param login from connecting to a whole start
   * @param statements that one client may have prepared, and {@code statementBytes} of them
   * @param serverStatements prepared on one server connection
   * @param buffers bytes of clients' messages that wait, all clients together
   * @param idleInTransaction between two messages of an open transaction
   * @param transaction a whole one
   * @param drain how long an open transaction goes on at a server that drains
   * @param cancel how long a server may take to end a cancel's connection
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
   * Connections for one database.
   *
   * @param most transactions at once, and so connections
   * @param least idle connections that are kept when nothing is asked
   * @param reserve further ones, when somebody has waited for {@code reserveAfter}
   * @param lifetime after which a connection is closed between transactions, give or take a tenth
   * @param idle after which an idle one is closed
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

  /** What one user has of its own; null or 0 where it has what the database has. */
  public record UserSettings(Mode mode, int maxSize) {}

  /**
   * One database as clients name it.
   *
   * @param serverName as servers name it
   * @param requestClass of what no comment and no mapping tells otherwise
   * @param readOnlyClass of blocks that say READ ONLY, or null
   * @param selectClass of single SELECTs, or null
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

    /** The same, in a user's own mode. */
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
