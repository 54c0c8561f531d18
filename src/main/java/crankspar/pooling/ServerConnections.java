package crankspar.pooling;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Ports;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import crankspar.net.MemberAddresses;
import crankspar.net.Pool;
import crankspar.net.SocketConnection;
import crankspar.pg.PgAnswer;
import crankspar.pg.Statement;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.pcollections.PMap;

/**
 * All connections to servers, by database, user and member. Sends each attempt once, to the member
 * that the core names. {@link IdleList} selects the idle connections to use and to close. Probes
 * use separate connections.
 */
final class ServerConnections
    implements Ports.Backends<OpeningBatch, Answer>, MemberAddresses, ServerPool {
  /** How often expired idle connections and overdue resets are looked for. */
  private static final double SWEEP_INTERVAL_MS = 250;

  /** The longest time that the reset of a connection between two clients may take. */
  private static final double RESET_TIMEOUT_MS = 5_000;

  /** How long a removed member is remembered; by then no attempt at it is in flight. */
  private static final double MEMBER_RETENTION_MS = 60_000;

  private static final class Member {
    InetSocketAddress address;
    double removedAt = Double.POSITIVE_INFINITY;
    final Set<Server> connections = new LinkedHashSet<>();
  }

  private final EventLoop loop;
  private final Counters counters;
  private final Pool<Statement, PgAnswer> probes;
  private final double dialTimeout;
  private final int maxConnections;
  private final RandomGenerator random;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<ServerKey, Integer> open = new HashMap<>();

  /** Parameters that a server reported at the last login, by key, for clients that log in next. */
  private final Map<ServerKey, PMap<String, String>> reportedParameters = new LinkedHashMap<>();

  private final ServerMemory memory;
  private Setup setup;
  private int total;

  ServerConnections(
      EventLoop loop,
      Counters counters,
      Pool<Statement, PgAnswer> probes,
      Setup setup,
      double dialTimeout,
      int maxConnections,
      RandomGenerator random) {
    this.loop = loop;
    this.counters = counters;
    this.probes = probes;
    this.setup = setup;
    this.dialTimeout = dialTimeout;
    this.maxConnections = maxConnections;
    this.random = random;
    memory = new ServerMemory(loop.memory(), this::closeForMemory);
    loop.after(SWEEP_INTERVAL_MS, this::sweep);
  }

  void configure(Setup setup) {
    this.setup = setup;
  }

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Setup.Limits limits() {
    return setup.limits();
  }

  @Override
  public Set<Pins.Kind> refusedPins() {
    return setup.refusedPins();
  }

  @Override
  public void count(String name, long n) {
    counters.add(name, n);
  }

  /** The parameters reported to clients of this key at login, or null before any server login. */
  PMap<String, String> reportedParameters(ServerKey key) {
    return reportedParameters.get(key);
  }

  Collection<Server> connections() {
    var list = new ArrayList<Server>(total);
    members.values().forEach(m -> list.addAll(m.connections));
    return list;
  }

  int open(ServerKey key) {
    return open.getOrDefault(key, 0);
  }

  // ---- Members.
  /** Adds a member or changes its address, in which case its old connections are retired. */
  @Override
  public void locate(String id, InetSocketAddress address) {
    probes.locate(id, address);
    Member m = members.computeIfAbsent(id, k -> new Member());
    if (m.address != null && !address.equals(m.address)) {
      new ArrayList<>(m.connections).forEach(Server::retire);
    }
    m.address = address;
    m.removedAt = Double.POSITIVE_INFINITY;
  }

  /**
   * The member drains or was removed: nothing new is sent to it and its idle connections are
   * closed. Transactions that are open there may go on until the drain timeout.
   */
  @Override
  public void forget(String id) {
    probes.forget(id);
    Member removed = members.get(id);
    if (removed == null || removed.removedAt < loop.now()) {
      return;
    }
    removed.removedAt = loop.now();
    var connections = new ArrayList<>(removed.connections);
    connections.forEach(Server::retire);
    loop.after(
        setup.limits().drainTimeout(),
        () -> {
          if (removed.removedAt < loop.now()) {
            for (Server s : connections) {
              if (s.state() == ConnectionState.ACTIVE && s.opening() != null) {
                counters.add("pooling_drain_ended", 1);
                s.opening()
                    .client
                    .fatal(
                        "57P01", "the server drains, and this transaction took longer than it may");
              }
              s.close("drain timeout of its member exceeded");
            }
          }
        });
  }

  // ---- Attempts.
  @Override
  public Ports.Call send(
      String member,
      OpeningBatch opening,
      double deadline,
      double connectBy,
      Ports.AttemptListener<Answer> listener) {
    double timeout = connectBy - loop.now();
    Member m = members.get(member);
    if (m == null) {
      return refuse(listener, "no address is known for the member");
    }
    ServerKey key = opening.client.key();
    Server server =
        IdleList.choose(
            idle(m, key), s -> StateDiff.distance(s.sessionState(), opening.client.session()));
    if (server != null) {
      server.assign(opening, timeout, listener);
      return server;
    }
    Setup.PoolLimits limits = opening.client.database().poolLimits();
    if (open(key) >= limits.maxSize() + limits.reserve() && !closeLongestIdle(key)
        || total >= maxConnections && !closeLongestIdle(null)) {
      return refuse(listener, "connection limit reached, and no idle connection can be closed");
    }
    Server dialed = dial(member, m, key);
    dialed.assign(opening, timeout, listener);
    loop.after(
        Math.min(dialTimeout, timeout),
        () -> {
          if (dialed.state() == ConnectionState.LOGIN) {
            dialed.close("connection or login timed out");
          }
        });
    return dialed;
  }

  private Server dial(String member, Member m, ServerKey key) {
    var server = new Server(this, key, member, random.nextDouble());
    m.connections.add(server);
    open.merge(key, 1, Integer::sum);
    total++;
    counters.add("pooling_server_connections", 1);
    server.setSocket(loop.connect(m.address, server));
    return server;
  }

  private Ports.Call refuse(Ports.AttemptListener<Answer> listener, String reason) {
    listener.ended(new AttemptEnd.Broken<>(AttemptProgress.NOT_CONNECTED, reason));
    return () -> AttemptProgress.NOT_CONNECTED;
  }

  private static List<Server> idle(Member m, ServerKey key) {
    var list = new ArrayList<Server>();
    for (Server s : m.connections) {
      if (s.state() == ConnectionState.IDLE
          && s.opening() == null
          && (key == null || s.key().equals(key))) {
        list.add(s);
      }
    }
    return list;
  }

  /**
   * Closes the connection that has been idle longest, to make room for one to another member; only
   * connections of this key, or of any key if null. Returns false if none is idle.
   */
  private boolean closeLongestIdle(ServerKey key) {
    Server oldest = null;
    for (Member m : members.values()) {
      for (Server s : idle(m, key)) {
        oldest = oldest == null || s.idleSince() < oldest.idleSince() ? s : oldest;
      }
    }
    if (oldest != null) {
      oldest.close("closed to make room for another connection");
    }
    return oldest != null;
  }

  @Override
  public Ports.Call probe(String member, Consumer<AttemptEnd<Answer>> end) {
    return probes.probe(
        member,
        how ->
            end.accept(
                how instanceof AttemptEnd.Served<PgAnswer> s
                    ? new AttemptEnd.Served<>(null, s.memberReport())
                    : new AttemptEnd.Broken<>(AttemptProgress.ANSWERED, "probe failed")));
  }

  // ---- Callbacks of connections.
  @Override
  public void connected(Server server) {
    reportedParameters.put(server.key(), server.sessionState().reported());
    if (reportedParameters.size() > 10_000) { // one per key: clients choose the user names
      reportedParameters.remove(reportedParameters.keySet().iterator().next());
    }
  }

  @Override
  public void idle(Server server) {
    Setup.Database database = setup.databases().get(server.key().pool());
    if (database != null && IdleList.pastLifetime(server, database.poolLimits(), loop.now())) {
      server.close("maximum lifetime exceeded");
    } else if (!memory.idle(server)) {
      closeForMemory(server);
    }
  }

  private void closeForMemory(Server server) {
    if (server.state() == ConnectionState.IDLE && server.opening() == null) {
      counters.add("pooling_servers_shed");
      server.close("there is no memory for what its sessions have left on it");
    }
  }

  @Override
  public void closed(Server server) {
    memory.closed(server);
    Member m = members.get(server.member());
    if (m != null && m.connections.remove(server)) {
      total--;
      open.computeIfPresent(server.key(), (k, n) -> n > 1 ? n - 1 : null);
    }
  }

  /**
   * Sends a cancel request for the statement that this connection runs. The connection is not
   * reused before the request is finished.
   */
  void cancel(Server server) {
    Member m = members.get(server.member());
    if (m == null || server.login().processId() == 0) {
      return;
    }
    counters.add("pooling_cancels", 1);
    server.cancelSent();
    boolean[] finishedAndOpened = new boolean[2]; // [0]: reported as finished, [1]: connected
    SocketConnection stream =
        loop.connect(
            m.address,
            new ConnectionHandler() {
              @Override
              public void opened(Connection out) {
                finishedAndOpened[1] = true;
                byte[] bytes = Frame.cancel(server.login().processId(), server.login().secretKey());
                out.write(bytes, bytes.length, null);
              }

              @Override
              public void received(ByteBuffer in) {
                in.position(in.limit());
              }

              @Override
              public void ended(String why) {
                finish(true);
              }

              @Override
              public void closed() {
                loop.run(() -> finish(false));
              }

              private void finish(boolean byServer) {
                if (!finishedAndOpened[0]) {
                  finishedAndOpened[0] = true;
                  server.cancelFinished(byServer || !finishedAndOpened[1]);
                }
              }
            });
    loop.after(setup.limits().cancelTimeout(), stream::close);
  }

  /**
   * Closes connections whose reset takes too long; they count against the limit but serve nobody.
   */
  private void closeOverdueResets(double now) {
    for (Server server : connections()) {
      if (server.state() == ConnectionState.TESTED
          && now - server.stateSince() > RESET_TIMEOUT_MS) {
        counters.add("pooling_cleanings_late", 1);
        server.close("connection reset timed out");
      }
    }
  }

  private void sweep() {
    double now = loop.now();
    closeOverdueResets(now);
    members
        .values()
        .removeIf(m -> now - m.removedAt > MEMBER_RETENTION_MS && m.connections.isEmpty());
    for (Setup.Database d : setup.databases().values()) {
      var byKey = new HashMap<ServerKey, List<Server>>();
      for (Member m : members.values()) {
        for (Server s : idle(m, null)) {
          if (s.key().pool().equals(d.name())) {
            byKey.computeIfAbsent(s.key(), k -> new ArrayList<>()).add(s);
          }
        }
      }
      byKey.forEach(
          (key, idle) ->
              IdleList.expired(idle, d.poolLimits(), open(key), now)
                  .forEach(s -> s.close("idle timeout or maximum lifetime exceeded")));
    }
    loop.after(SWEEP_INTERVAL_MS, this::sweep);
  }
}
