package crankspar.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * What a stand-in has seen: every prepare, every statement with its connection, the settings in
 * force there and its transaction, every end and how much of a message had come by then. Bounded;
 * what finds no room is counted.
 */
public final class Recording {
  public enum Fate {
    OPEN,
    COMMITTED,
    ROLLED_BACK
  }

  /** A statement that began to run. Its fate is its transaction's. */
  public static final class Executed {
    public final String server;
    public final int connection;
    public final String user;
    public final long transaction;
    public final String sql;
    public final Map<String, String> settings;

    /** When it began (Unix ms). */
    public final long at;

    public volatile Fate fate = Fate.OPEN;

    Executed(
        String server,
        int connection,
        String user,
        long transaction,
        String sql,
        Map<String, String> settings) {
      this(server, connection, user, transaction, sql, settings, System.currentTimeMillis());
    }

    Executed(
        String server,
        int connection,
        String user,
        long transaction,
        String sql,
        Map<String, String> settings,
        long at) {
      this.at = at;
      this.server = server;
      this.connection = connection;
      this.user = user;
      this.transaction = transaction;
      this.sql = sql;
      this.settings = settings;
    }

    @Override
    public String toString() {
      return server
          + "/"
          + connection
          + " t"
          + transaction
          + " "
          + fate
          + " "
          + settings
          + " "
          + sql;
    }
  }

  /** A connection's end, with the bytes of an unfinished message that had come. */
  public record Ended(String server, int connection, String why, int bytes) {}

  /** A cancel: which connection it named, and what that ran then, or null where it ran nothing. */
  public record Cancel(String server, int connection, String running) {}

  private static final int MOST = 2_000_000;

  private final List<Executed> executed = new ArrayList<>();
  private final List<Ended> ended = new ArrayList<>();
  private final List<Cancel> cancels = new ArrayList<>();
  public final AtomicLong prepares = new AtomicLong();
  public final AtomicLong executions = new AtomicLong();
  public final AtomicLong connections = new AtomicLong();
  public final AtomicLong left = new AtomicLong();

  /** Settings and texts are kept only while this is on. */
  public volatile boolean whole = true;

  synchronized void add(Executed e) {
    executions.incrementAndGet();
    if (whole && executed.size() < MOST) {
      executed.add(e);
    } else {
      left.incrementAndGet();
    }
  }

  synchronized void add(Ended e) {
    if (ended.size() < MOST) {
      ended.add(e);
    }
  }

  synchronized void add(Cancel c) {
    if (cancels.size() < MOST) {
      cancels.add(c);
    }
  }

  public synchronized List<Executed> executed() {
    return List.copyOf(executed);
  }

  public synchronized List<Ended> ended() {
    return List.copyOf(ended);
  }

  public synchronized List<Cancel> cancels() {
    return List.copyOf(cancels);
  }

  /** How many statements of this text have taken effect. */
  public synchronized long committed(Predicate<String> sql) {
    return executed.stream().filter(e -> e.fate == Fate.COMMITTED && sql.test(e.sql)).count();
  }

  public synchronized long begun(Predicate<String> sql) {
    return executed.stream().filter(e -> sql.test(e.sql)).count();
  }

  public synchronized void clear() {
    executed.clear();
    ended.clear();
    cancels.clear();
  }
}
