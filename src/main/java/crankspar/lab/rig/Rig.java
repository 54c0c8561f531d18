package crankspar.lab.rig;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.lab.LabSettings;
import crankspar.lab.PgServer;
import crankspar.lab.Recording;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Several poolers as processes, one discovery, groups of databases, and a link between every two of
 * them. What stands at the ends is reached through the links only, so that any of them can be made
 * to fail.
 */
public final class Rig implements AutoCloseable {
  /**
   * Who is there. A group is a primary and so many replicas, each with so many cores and so much
   * work (ms) for a statement.
   *
   * @param operator the operator's file of every pooler, or null; {@code FOLDER} stands for a
   *     pooler's own folder
   * @param jar an earlier version that all run, or null for this program
   * @param discoveryEach how long discovery takes for a call (ms), {@code discoveryMost} after how
   *     long one that waits fails
   * @param pushed whether discovery is taken for each pooler's own agent
   */
  public record Parties(
      int poolers,
      int groups,
      int replicas,
      double work,
      int cores,
      String operator,
      Path jar,
      double discoveryEach,
      double discoveryMost,
      boolean pushed) {
    /** An operator's file with the audit as a pooler of its own would have it. */
    public static final String AUDITED = "name = rig, audit { folder = \"FOLDER/audit\" }\n";

    public static Parties of(int poolers, int replicas) {
      return new Parties(poolers, 1, replicas, 5, 3, null, null, 0, 2000, false);
    }

    public Parties audited() {
      return new Parties(
          poolers,
          groups,
          replicas,
          work,
          cores,
          AUDITED,
          jar,
          discoveryEach,
          discoveryMost,
          pushed);
    }

    public Parties jar(Path of) {
      return new Parties(
          poolers,
          groups,
          replicas,
          work,
          cores,
          operator,
          of,
          discoveryEach,
          discoveryMost,
          pushed);
    }

    public Parties pushed(boolean on) {
      return new Parties(
          poolers, groups, replicas, work, cores, operator, jar, discoveryEach, discoveryMost, on);
    }
  }

  private static final List<String> ZONES = List.of("east", "west", "south");

  /** The brief's times of the log on its way to a replica, and of applying one write (ms). */
  private static final double LOG_DELAY = 8;

  private static final double APPLY = 1;

  /** How long anything here may take that depends on how busy the machine is (ms). */
  public static final double WAIT = 15_000;

  private final EventLoop loop = new EventLoop("rig");
  private final Sockets sockets = new Sockets(loop);
  private final Recording recording = new Recording();
  private final DiscoveryStandIn discovery;
  private final Map<String, PgServer> databases = new LinkedHashMap<>();
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<PlatformProcess> poolers = new ArrayList<>();
  private final List<InetSocketAddress> calls = new ArrayList<>();
  private final List<String> configurations = new ArrayList<>();
  private final List<Link> toDiscovery = new ArrayList<>();
  private final List<Link> fromClients = new ArrayList<>();
  private final List<Map<String, Link>> toDatabases = new ArrayList<>();
  private final DatagramNet datagrams;
  private final Parties parties;

  /**
   * So many poolers and one group of so many databases, its first the primary; {@code jar} may be
   * null: this program.
   */
  public Rig(int poolers, int databases, long seed, Path jar) throws IOException {
    this(Parties.of(poolers, databases - 1).jar(jar), seed);
  }

  public Rig(Parties parties, long seed) throws IOException {
    this.parties = parties;
    discovery = new DiscoveryStandIn(loop, sockets, PartyAddresses.anyPort(0));
    discovery.capacity(parties.discoveryEach(), parties.discoveryMost());
    for (int g = 0; g < parties.groups(); g++) {
      var group = new ArrayList<PgServer>();
      for (int d = 0; d <= parties.replicas(); d++) {
        String id = "db-" + (g == 0 ? "" : g + "-") + d;
        var server =
            new PgServer(loop, id, recording).role(d == 0).work(parties.work(), parties.cores());
        server.listen(PartyAddresses.anyPort(0));
        databases.put(id, server);
        group.add(server);
        var m = new Member(id, ZONES.get(d % ZONES.size()), d == 0, 1, Health.RUNNING, g, "std", 0);
        members.put(id, m);
        discovery.set(m, server.address());
      }
      group.forEach(s -> s.group(group, LOG_DELAY, APPLY));
    }
    int n = parties.poolers();
    var peers = new InetSocketAddress[n];
    var listens = new InetSocketAddress[n];
    for (int i = 0; i < n; i++) {
      peers[i] = PartyAddresses.freePort(i + 1);
      listens[i] = PartyAddresses.freePort(i + 1);
      calls.add(PartyAddresses.freePort(i + 1));
    }
    datagrams = new DatagramNet(loop, seed, peers);
    discovery.reaches(this::reaches);
    for (int i = 0; i < n; i++) {
      var link = new Link(loop, sockets, PartyAddresses.anyPort(i + 1), discovery.address());
      toDiscovery.add(link);
      var ways = new LinkedHashMap<String, Link>();
      for (Map.Entry<String, PgServer> e : databases.entrySet()) {
        var way = new Link(loop, sockets, PartyAddresses.anyPort(i + 1), e.getValue().address());
        ways.put(e.getKey(), way);
        discovery.seen(text(link.address()), e.getKey(), way.address());
      }
      toDatabases.add(ways);
      fromClients.add(new Link(loop, sockets, PartyAddresses.anyPort(i + 1), listens[i]));
      var others = new ArrayList<InetSocketAddress>();
      for (int j = 0; j < n; j++) {
        others.add(datagrams.address(i, j));
      }
      String settings =
          LabSettings.json(n, i, ZONES.get(i % ZONES.size()))
              .replace("on_request", parties.pushed() ? "pushed" : "on_request");
      String configuration =
          new PoolerConfiguration(
                  "p" + i,
                  listens[i],
                  link.address(),
                  calls.get(i),
                  peers[i],
                  others,
                  seed + i,
                  settings)
              .json();
      configurations.add(configuration);
      poolers.add(
          new PlatformProcess(
              "p" + i, listens[i], configuration, parties.operator(), parties.jar()));
    }
  }

  private boolean reaches(String caller) {
    return toDiscovery.stream()
        .filter(l -> text(l.address()).equals(caller))
        .allMatch(l -> l.moves(Link.Way.BACK));
  }

  /** Starts every pooler and waits until all watch discovery; a failure ends what had started. */
  public Rig start() throws IOException, InterruptedException {
    try {
      for (PlatformProcess p : poolers) {
        p.start();
      }
      awaitWatches();
    } catch (IOException | InterruptedException | RuntimeException e) {
      close();
      throw e;
    }
    return this;
  }

  private void awaitWatches() {
    try {
      until("all poolers watch discovery", WAIT, () -> watches() == poolers.size());
    } catch (IllegalStateException e) {
      throw new IllegalStateException(e.getMessage() + ", " + watches() + " do; " + poolers, e);
    }
  }

  /** How many watches stand at discovery. */
  public int watches() {
    try {
      return discovery.watches();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Looks every 5 ms; an exception names what has not come about within so many ms. */
  public static void until(String what, double most, BooleanSupplier holds) {
    long end = System.nanoTime() + (long) (most * 1e6);
    while (!holds.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("waited " + Math.round(most) + " ms in vain: " + what);
      }
      LockSupport.parkNanos(5_000_000);
    }
  }

  public static String text(InetSocketAddress a) {
    return a.getHostString() + ":" + a.getPort();
  }

  // ---- What goes wrong at a database.
  /** Its process dies: connections are reset and new ones refused. */
  public void crash(String id) {
    loop.run(() -> databases.get(id).crashed(true));
  }

  /**
   * It is back, {@code factor} times slower at first and warm after {@code ms}; discovery lists its
   * start.
   */
  public void comeBack(String id, double factor, double ms) {
    loop.run(
        () -> {
          PgServer s = databases.get(id);
          s.cold(factor, ms);
          s.crashed(false);
          Member started = Members.started(members.get(id), Math.floor(loop.now()));
          members.put(id, started);
          discovery.set(started, s.address());
        });
  }

  /** Each statement takes so many times as long, or 1: as before. */
  public void slow(String id, double factor) {
    loop.run(() -> databases.get(id).work = parties.work() * factor);
  }

  /**
   * It takes over from the primary of its group, which lives on as a replica; discovery hears of it
   * {@code late} ms later.
   */
  public void handOver(String from, double late) {
    loop.run(
        () -> {
          databases.get(from).swapPrimary();
          loop.after(
              late,
              () ->
                  members.replaceAll(
                      (id, m) -> {
                        boolean primary = databases.get(id).isPrimary();
                        if (primary == m.listedPrimary()) {
                          return m;
                        }
                        Member now = Members.withPrimary(m, primary);
                        discovery.set(now, databases.get(id).address());
                        return now;
                      }));
        });
  }

  public Parties parties() {
    return parties;
  }

  public Recording recording() {
    return recording;
  }

  public DiscoveryStandIn discovery() {
    return discovery;
  }

  public DatagramNet datagrams() {
    return datagrams;
  }

  public PlatformProcess pooler(int i) {
    return poolers.get(i);
  }

  public PgServer database(String id) {
    return databases.get(id);
  }

  public List<String> databases() {
    return List.copyOf(databases.keySet());
  }

  /** Where operators call a pooler. */
  public String calls(int pooler) {
    return text(calls.get(pooler));
  }

  public List<String> calls() {
    return calls.stream().map(Rig::text).toList();
  }

  /** By what name discovery knows a pooler: the address that it calls. */
  public String caller(int pooler) {
    return text(toDiscovery.get(pooler).address());
  }

  public String configuration(int pooler) {
    return configurations.get(pooler);
  }

  /** The same with the list as it is now as the one to start from. */
  public String configurationWithList(int pooler) throws InterruptedException {
    return configurations
        .get(pooler)
        .replaceFirst(
            "\\{", "{\"known\": " + discovery.whole(caller(pooler)).replace("$", "\\$") + ", ");
  }

  /** The way from a pooler to discovery. */
  public Link toDiscovery(int pooler) {
    return toDiscovery.get(pooler);
  }

  public Link toDatabase(int pooler, String id) {
    return toDatabases.get(pooler).get(id);
  }

  /** Clients reach a pooler by this. */
  public Link fromClients(int pooler) {
    return fromClients.get(pooler);
  }

  public double now() {
    return loop.now();
  }

  public EventLoop loop() {
    return loop;
  }

  /** Ends what it started; logs and ledgers stay where they are, and their folders are told. */
  public List<Path> keep() throws IOException {
    poolers.forEach(PlatformProcess::end);
    closeRest();
    return poolers.stream().map(PlatformProcess::folder).toList();
  }

  @Override
  public void close() throws IOException {
    for (PlatformProcess p : poolers) {
      p.close();
    }
    closeRest();
  }

  private void closeRest() throws IOException {
    toDiscovery.forEach(Link::close);
    fromClients.forEach(Link::close);
    toDatabases.forEach(w -> w.values().forEach(Link::close));
    datagrams.close();
    discovery.close();
    databases.values().forEach(PgServer::close);
    sockets.close();
    loop.close();
  }
}
