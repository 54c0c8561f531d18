package crankspar.lab;

import crankspar.net.EventLoop;
import crankspar.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;

/**
 * A stand-in for a PostgreSQL server: it speaks protocol 3.0 and enough SQL for drivers and
 * poolers, and records all that it is asked. It does what a test's {@link Fault} says, can drain,
 * change its role, lag, take its time and turn connections away. It keeps no tables: a write has no
 * effect but its record.
 */
public final class PgServer implements AutoCloseable {
  final EventLoop loop;
  final String name;
  final Recording recording;
  final Map<Integer, PgBackend> backends = new LinkedHashMap<>();

  /** Channel to the connections that listen. */
  private final Map<String, java.util.Set<PgBackend>> channels = new HashMap<>();

  private final boolean ownLoop;
  private Listener listener;
  private int nextConnection;
  private long nextTransaction;

  // Read and written on the loop, or before it is used.
  volatile boolean primary = true;
  volatile boolean draining;
  volatile double lag;
  public volatile double work;
  private volatile double coldFactor = 1, coldFor, coldSince;
  volatile int cores = 64;
  volatile int connectionsMost = 10_000;
  volatile boolean tellsPosition = true;
  volatile Fault fault = Fault.NONE;

  private final Set<String> dropped = new CopyOnWriteArraySet<>(Set.of("no_such_table"));

  /** On the loop. */
  final ProbeLog probes = new ProbeLog();

  int running;
  final java.util.ArrayDeque<Runnable> queue = new java.util.ArrayDeque<>();

  public PgServer(String name) throws IOException {
    this(new EventLoop("pg-" + name), name, new Recording(), true);
  }

  public PgServer(EventLoop loop, String name, Recording recording) {
    this(loop, name, recording, false);
  }

  private PgServer(EventLoop loop, String name, Recording recording, boolean ownLoop) {
    this.loop = loop;
    this.name = name;
    this.recording = recording;
    this.ownLoop = ownLoop;
  }

  public PgServer listen(InetSocketAddress at) throws IOException {
    listener =
        loop.listen(
            at,
            () -> {
              recording.connections.incrementAndGet();
              if (crashed) {
                return null;
              }
              return new PgBackend(this, ++nextConnection);
            });
    return this;
  }

  public InetSocketAddress address() {
    try {
      return listener.address();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public Recording recording() {
    return recording;
  }

  public PgServer role(boolean primary) {
    this.primary = primary;
    return this;
  }

  /** A replica's distance from the clock (ms). */
  public PgServer lag(double ms) {
    lag = ms;
    return this;
  }

  /**
   * It is cold from now on: work takes {@code factor} times as long, and its capacity rises evenly
   * to the full until {@code ms} have gone.
   */
  public PgServer cold(double factor, double ms) {
    coldFactor = factor;
    coldFor = ms;
    coldSince = loop.now();
    return this;
  }

  private double warmth() {
    double gone = (loop.now() - coldSince) / Math.max(1, coldFor);
    double least = 1 / coldFactor;
    return gone >= 1 ? 1 : 1 / (least + (1 - least) * gone);
  }

  /** How long a statement takes (ms), on how many cores at once; more wait in line. */
  public PgServer work(double ms, int cores) {
    work = ms;
    this.cores = cores;
    return this;
  }

  public PgServer connectionsMost(int most) {
    connectionsMost = most;
    return this;
  }

  public PgServer tellsPosition(boolean on) {
    tellsPosition = on;
    return this;
  }

  public void fault(Fault fault) {
    this.fault = fault;
  }

  /** While it drains, batches outside a transaction are turned away. */
  public void draining(boolean on) {
    draining = on;
  }

  /** Forgets every prepared statement, as a restart behind the same connections would. */
  public void dropStatements() throws InterruptedException {
    loop.runAndWait(() -> backends.values().forEach(b -> b.statements.drop()));
  }

  /**
   * From now on a statement that was prepared before fails once, as one whose plan no longer fits.
   */
  public void stalePlans() throws InterruptedException {
    loop.runAndWait(() -> backends.values().forEach(b -> b.statements.makeStale()));
  }

  /** From now on no statement that names this table can be prepared. */
  public void dropTable(String table) {
    dropped.add(table);
  }

  /** Fails where a text names a table that is not there. */
  void checkTables(String sql) throws PgFailed {
    for (String table : dropped) {
      if (sql.contains(table)) {
        throw new PgFailed("42P01", "relation \"" + table + "\" does not exist");
      }
    }
  }

  /** Does nothing at all for a while, and then goes on: its loop stands still. */
  public void freeze(double ms) {
    loop.run(() -> java.util.concurrent.locks.LockSupport.parkNanos((long) (ms * 1e6)));
  }

  /** Ends all connections at once. */
  public void cutAll() throws InterruptedException {
    loop.runAndWait(() -> new java.util.ArrayList<>(backends.values()).forEach(b -> b.cut("cut")));
  }

  /** On the loop: ends one connection by chance; false where there is none. */
  boolean cutOne(java.util.random.RandomGenerator random) {
    var all = new java.util.ArrayList<>(backends.values());
    if (!all.isEmpty()) {
      all.get(random.nextInt(all.size())).cut("cut");
    }
    return !all.isEmpty();
  }

  /** Ends the connections and refuses new ones, as a process that died. */
  public void die() throws InterruptedException {
    listener.close();
    cutAll();
  }

  // ---- Notifications, on the loop.
  void listen(PgBackend who, String channel) {
    channels.computeIfAbsent(channel, k -> new java.util.HashSet<>()).add(who);
  }

  /** From all channels where {@code channel} is null. */
  void unlisten(PgBackend who, String channel) {
    channels.forEach(
        (name, all) -> {
          if (channel == null || channel.equals(name)) {
            all.remove(who);
          }
        });
  }

  void notify(int process, String channel, String payload) {
    channels
        .getOrDefault(channel, java.util.Set.of())
        .forEach(b -> b.notified(process, channel, payload));
  }

  private java.util.List<PgServer> group = java.util.List.of(this);
  private Replay replay = new Replay(0);
  private double applyCost;
  private boolean grouped, crashed;
  private double stalledUntil;

  /** One of a group: a primary's commits go to the others' logs. */
  public void group(java.util.List<PgServer> all, double delay, double cost) {
    group = java.util.List.copyOf(all);
    replay = new Replay(delay);
    applyCost = cost;
    grouped = true;
  }

  public Replay replay() {
    return replay;
  }

  /** A write has been committed here. */
  void committed() {
    for (PgServer s : group) {
      if (s != this) {
        s.replay.commit(loop.now(), applyCost);
      }
    }
  }

  /** A read that took long has held the log of this replica. */
  void held(double ms) {
    if (!primary && ms > 100) {
      replay.block(loop.now() + ms);
    }
  }

  /** On the loop: dead, with its connections cut and new ones ended at once, or back. */
  public void crashed(boolean on) {
    crashed = on;
    if (on) {
      new java.util.ArrayList<>(backends.values()).forEach(b -> b.cut("crashed"));
    }
  }

  boolean crashed() {
    return crashed;
  }

  public boolean isPrimary() {
    return primary;
  }

  /** On the loop: nothing is done until then. */
  public void stalled(double until) {
    stalledUntil = until;
  }

  boolean isStalled() {
    return stalledUntil > loop.now();
  }

  /** On the loop: the first living other member of its group is primary in its place. */
  public void swapPrimary() {
    for (PgServer s : group) {
      if (primary && s != this && !s.crashed) {
        primary = false;
        s.primary = true;
      }
    }
  }

  /** The position that it would tell now (Unix ms). */
  public double position() {
    return primary ? loop.now() : grouped ? replay.position(loop.now()) : loop.now() - lag;
  }

  long nextTransaction() {
    return ++nextTransaction;
  }

  /** Has a core, now or when one is free, for as long as a statement takes. */
  void work(double base, Runnable then) {
    double ms = base * warmth() + Math.max(0, stalledUntil - loop.now());
    if (ms <= 0) {
      then.run();
      return;
    }
    Runnable begin =
        () ->
            loop.after(
                ms,
                () -> {
                  running--;
                  Runnable next = queue.poll();
                  if (next != null) {
                    running++;
                    next.run();
                  }
                  then.run();
                });
    if (running < cores) {
      running++;
      begin.run();
    } else {
      queue.add(begin);
    }
  }

  @Override
  public void close() {
    listener.close();
    if (ownLoop) {
      loop.close();
    }
  }
}
