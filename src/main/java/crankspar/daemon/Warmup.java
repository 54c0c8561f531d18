package crankspar.daemon;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.gossip.GossipReceiver;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.MemoryBudget;
import crankspar.net.ServerConnectionHandler;
import crankspar.pg.PgAnswer;
import crankspar.pg.PgEncoder;
import crankspar.pg.PgFront;
import crankspar.pg.PgMessage;
import crankspar.pg.Statement;
import crankspar.policy.RequestRouter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Runs the whole path in memory before the first client is let in. On one core a cold JVM takes
 * tens of milliseconds for its first requests, which is lateness to a client; here nobody waits for
 * it. It has a core, a module and a clock of its own, no sockets, and leaves nothing behind but
 * loaded, compiled code.
 */
final class Warmup implements Ports.Time, Ports.Backends<Statement, PgAnswer>, Ports.Discovery {
  /**
   * Each class's path runs 60 times. The first compiler takes a method at 200, most of them are
   * called oftener than that by then. A start is a gap, for a whole fleet at once in a mass
   * restart: 1,000 requests took 0.12 s more of a core, and the herd day of a large fleet lost 0.05
   * by it.
   */
  private static final int REQUESTS = 300;

  private static final double STEP = 7;

  /**
   * A server's work as a share of the shortest aim: more would have the module give the servers up.
   */
  private static final double WORK = 0.2;

  /** A slow machine is let in unready rather than late (ms), ... */
  static final double MOST = 2500;

  /** ... and a successor sooner still: it shares its core, and has 6 s in all. */
  static final double SUCCESSOR_MOST = 1200;

  private static final double START = 1_700_000_000_000.0;

  private record Timer(double at, long order, Runnable what) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          java.util.Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::order));
  private final Counters counters = new Counters();
  private double work;
  private double now = START;
  private long order;

  /** Sinks what a machine writes, and says that it has left. */
  private static final class Sink implements Connection {
    private final Consumer<byte[]> to;

    Sink(Consumer<byte[]> to) {
      this.to = to;
    }

    @Override
    public void write(byte[] bytes, int length, Runnable written) {
      if (written != null) {
        written.run();
      }
      to.accept(bytes);
    }

    @Override
    public void finish() {}

    @Override
    public void close() {}
  }

  /** Requests served, for the log and the test. */
  int run(Router.Settings settings, List<Member> known, double most) {
    return run(settings, known, most, REQUESTS, null);
  }

  /** So many requests, kept by an audit where one is given. */
  int run(
      Router.Settings settings, List<Member> known, double most, int requests, Ports.Audit audit) {
    long began = System.nanoTime();
    work =
        WORK
            * settings.classes().stream()
                .mapToDouble(Router.RequestClass::targetLatency)
                .min()
                .orElse(200);
    int group = known.isEmpty() ? 1 : known.get(0).group();
    List<Member> members = members(settings.zones(), group);
    var pooler =
        new Pooler<Statement, PgAnswer>(
            settings, this, this, this, counters, GossipReceiver.before(RequestRouter::new));
    pooler.setPeers(pooler::peerMessageReceived);
    if (audit != null) {
      pooler.setRequestNaming(statement -> statement.names().get("id"));
      pooler.setAudit(audit);
    }
    var front = new PgFront(null, settings, counters, pooler, Integer.MAX_VALUE);
    pooler.start(members);
    ConnectionHandler client = null;
    for (int i = 0; i < requests && (System.nanoTime() - began) / 1e6 < most; i++) {
      if (i % 50 == 0) {
        client = front.session();
        client.opened(new Sink(bytes -> {}));
        client.received(
            ByteBuffer.wrap(
                new PgEncoder()
                    .add(new PgMessage.Startup(Map.of("user", "client", "database", "core")))
                    .bytes()));
      }
      Router.RequestClass kind = settings.classes().get(i % settings.classes().size());
      String sql =
          kind.freshness() == Freshness.WRITE
              ? "INSERT INTO state (uid, val) VALUES ('w', '\\x00') RETURNING val"
              : "SELECT val FROM state WHERE uid = 'w'";
      client.received(
          ByteBuffer.wrap(
              new PgEncoder()
                  .add(
                      new PgMessage.Query(
                          "/* id=w"
                              + i
                              + ",c="
                              + kind.name()
                              + ",d="
                              + (int) kind.timeout()
                              + ",cluster="
                              + group
                              + (kind.freshness() == Freshness.SESSION
                                  ? ",after=" + (long) (now - 50)
                                  : "")
                              + " */ "
                              + sql))
                  .bytes()));
      pass(STEP);
    }
    pass(10_000);
    return (int) counters.get("answered_served");
  }

  /** A primary and five replicas. */
  static List<Member> members(List<String> zones, int group) {
    var members = new ArrayList<Member>();
    for (int i = 0; i < 6; i++) {
      members.add(
          new Member(
              "w" + i, zones.get(i % zones.size()), i == 0, 1, Health.RUNNING, group, "", 0));
    }
    return members;
  }

  private void pass(double ms) {
    double to = now + ms;
    while (!timers.isEmpty() && timers.peek().at() <= to) {
      Timer t = timers.poll();
      now = Math.max(now, t.at());
      t.what().run();
    }
    now = to;
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public void after(double ms, Runnable what) {
    timers.add(new Timer(now + ms, order++, what));
  }

  @Override
  public void watch(boolean on) {}

  @Override
  public Ports.Call send(
      String member,
      Statement query,
      double deadline,
      double connectBy,
      Ports.AttemptListener<PgAnswer> listener) {
    boolean load = query.equals(PgFront.probe());
    ServerConnectionHandler<Statement, PgAnswer> carrier =
        PgFront.dial(counters, new MemoryBudget());
    carrier.owner(
        new ServerConnectionHandler.Owner() {
          @Override
          public void ready() {}

          @Override
          public void gone(String why) {}
        });
    carrier.opened(new Sink(bytes -> {}));
    carrier.received(
        ByteBuffer.wrap(
            new PgEncoder()
                .add(new PgMessage.AuthenticationOk())
                .add(new PgMessage.ReadyForQuery())
                .bytes()));
    carrier.carry(query, carrier.encode(query, deadline - now), () -> true, listener);
    boolean primary = member.equals("w0");
    double position = Math.floor(now);
    byte[] value =
        load
            ? ("x0=" + position / 1000 + ",x1=" + (primary ? 1 : 0))
                .getBytes(StandardCharsets.UTF_8)
            : new byte[64];
    byte[] bytes =
        new PgEncoder()
            .add(PgEncoder.textColumns("val"))
            .add(new PgMessage.DataRow(List.of(value)))
            .add(new PgMessage.CommandComplete("SELECT 1"))
            .add(new PgMessage.ParameterStatus("role", primary ? "primary" : "replica"))
            .add(new PgMessage.ParameterStatus("applied_ms", Long.toString((long) position)))
            .add(new PgMessage.ReadyForQuery())
            .bytes();
    boolean[] off = new boolean[1];
    after(
        load ? 1 : work,
        () -> {
          if (!off[0]) {
            carrier.received(ByteBuffer.wrap(bytes));
          }
        });
    return () -> {
      off[0] = true;
      return AttemptProgress.WHOLLY_WRITTEN;
    };
  }

  @Override
  public Ports.Call probe(String member, Consumer<AttemptEnd<PgAnswer>> end) {
    return send(member, PgFront.probe(), 250, 250, end::accept);
  }
}
