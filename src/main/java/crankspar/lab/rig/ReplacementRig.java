package crankspar.lab.rig;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.lab.LabSettings;
import crankspar.lab.PgServer;
import crankspar.lab.Recording;
import crankspar.lab.load.Generator;
import crankspar.lab.load.Recorder;
import crankspar.lab.load.Shape;
import crankspar.lab.load.Workload;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Poolers as processes before groups of databases that are replaced under a burst: successors start
 * cold, are listed a second later while the old ones begin to drain, and these go soon after. Later
 * some of the successors crash and come back cold. The clients repeat at once what was refused.
 */
public final class ReplacementRig implements AutoCloseable {
  /**
   * What came of it.
   *
   * @param worst the window in which a cold database was sent most, by the rule
   * @param worstAt which database that was
   * @param sentCold requests that cold databases were sent
   * @param workCold work of these (ms on a warm database)
   * @param served share of the clients' requests that was answered in time
   */
  public record Outcome(
      ColdStartRule.Window worst, String worstAt, long sentCold, double workCold, double served) {}

  private record Start(String database, double at) {}

  private static final int GROUPS = 2;
  private static final int CORES = 2;
  private static final List<String> ZONES = List.of("east", "west", "south");
  private static final Pattern WORK = Pattern.compile("pg_sleep\\(([0-9.]+)\\)");

  /** Share of what warm databases can do that is asked outside of a burst. */
  private static final double LOAD = 1.0 / 3;

  private static final int CONNECTIONS = 60;
  private static final int SESSIONS = 100;
  private static final double LOG_DELAY_MS = 8;
  private static final double APPLY_MS = 1;

  // The timeline, from the begin of the load.
  private static final long REPLACE_MS = 2500;
  private static final long LISTED_MS = 1000;
  private static final long GONE_MS = 1500;
  private static final long BURST_MS = 2000;
  private static final long CRASH_MS = 2500;
  private static final long DOWN_MS = 1200;
  private static final long REST_MS = 3000;
  private static final double DURATION_MS =
      REPLACE_MS + LISTED_MS + GONE_MS + CRASH_MS + DOWN_MS + LISTED_MS + REST_MS;
  private static final double GRACE_MS = 2500;

  private final ReplacementPlan plan;
  private final EventLoop loop = new EventLoop("rig");
  private final Sockets sockets = new Sockets(loop);
  private final Recording recording = new Recording();
  private final DiscoveryStandIn discovery;
  private final DatagramNet datagrams;
  private final Map<String, PgServer> databases = new LinkedHashMap<>();
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<PlatformProcess> poolers = new ArrayList<>();
  private final List<Start> starts = new ArrayList<>();

  public ReplacementRig(ReplacementPlan plan) throws IOException {
    this.plan = plan;
    discovery = new DiscoveryStandIn(loop, sockets, PartyAddresses.anyPort(0));
    for (int group = 0; group < GROUPS; group++) {
      addGroup(group);
    }
    int n = plan.poolers();
    var listens = new ArrayList<InetSocketAddress>();
    var peers = new InetSocketAddress[n];
    for (int i = 0; i < n; i++) {
      listens.add(PartyAddresses.freePort(i + 1));
      peers[i] = PartyAddresses.freePort(i + 1);
    }
    datagrams = new DatagramNet(loop, plan.seed(), peers);
    for (int i = 0; i < n; i++) {
      poolers.add(pooler(i, listens.get(i), peers));
    }
  }

  /** The members that are listed at first, and their successors, which are not. */
  private void addGroup(int group) throws IOException {
    var all = new ArrayList<PgServer>();
    for (int i = 0; i < 2 * plan.members() - 1; i++) {
      boolean successor = i >= plan.members();
      int place = successor ? i - plan.members() + 1 : i;
      String id = "db-" + group + "-" + place + (successor ? "-new" : "");
      var server = new PgServer(loop, id, recording).role(i == 0).work(0, CORES);
      server.listen(PartyAddresses.anyPort(0));
      databases.put(id, server);
      all.add(server);
      String zone = ZONES.get(place % ZONES.size());
      var member = new Member(id, zone, i == 0, 1, Health.RUNNING, group, "std", 0);
      members.put(id, member);
      if (!successor) {
        discovery.set(member, server.address());
      }
    }
    all.forEach(server -> server.group(all, LOG_DELAY_MS, APPLY_MS));
  }

  private PlatformProcess pooler(int i, InetSocketAddress listen, InetSocketAddress[] peers)
      throws IOException {
    var others = new ArrayList<InetSocketAddress>();
    for (int j = 0; j < peers.length; j++) {
      others.add(datagrams.address(i, j));
      datagrams.travel(
          i,
          j,
          new DatagramNet.Travel(
              plan.loss(),
              0,
              DatagramNet.Travel.USUAL.delayLeast(),
              DatagramNet.Travel.USUAL.delayMost()));
    }
    String settings =
        LabSettings.json(plan.poolers(), i, ZONES.get(i % ZONES.size()), plan.start());
    var configuration =
        new PoolerConfiguration(
            "p" + i,
            listen,
            discovery.address(),
            PartyAddresses.freePort(i + 1),
            peers[i],
            others,
            plan.seed() + i,
            settings);
    return new PlatformProcess("p" + i, listen, configuration.json(), null, null);
  }

  /** Plays the plan once. */
  public Outcome play() throws IOException, InterruptedException {
    for (PlatformProcess pooler : poolers) {
      pooler.begin();
    }
    for (PlatformProcess pooler : poolers) {
      pooler.awaitListening();
    }
    Rig.until("all poolers watch discovery", Rig.WAIT, this::allWatch);
    var generators = new ArrayList<Generator>();
    var threads = new ArrayList<Thread>();
    for (int i = 0; i < poolers.size(); i++) {
      Generator generator = generator(i);
      generators.add(generator);
      var thread = new Thread(() -> load(generator), "load-" + i);
      thread.setDaemon(true);
      threads.add(thread);
    }
    threads.forEach(Thread::start);
    try {
      replaceAll();
      for (Thread thread : threads) {
        thread.join();
      }
      return outcome(generators);
    } finally {
      generators.forEach(Generator::close);
    }
  }

  private boolean allWatch() {
    try {
      return discovery.watches() == poolers.size();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private Generator generator(int pooler) throws IOException {
    double usual =
        LOAD * GROUPS * plan.members() * CORES * 1000 / RequestKind.meanWorkMs() / plan.poolers();
    var shapes =
        List.<Shape>of(
            new Shape.Constant(usual),
            new Shape.Burst(REPLACE_MS + LISTED_MS, BURST_MS, (plan.burst() - 1) * usual));
    var workload =
        new Workload(
            RequestKind.ALL.stream().map(RequestKind::workload).toList(),
            shapes,
            false,
            SESSIONS,
            GROUPS,
            DURATION_MS,
            plan.seed() + pooler,
            Workload.Front.PLATFORM,
            CONNECTIONS,
            1000,
            1);
    return Generator.platform(workload, poolers.get(pooler).address(), "p" + pooler);
  }

  private static void load(Generator generator) {
    try {
      generator.run(2, GRACE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- The timeline.
  private void replaceAll() throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(REPLACE_MS);
    List<String> replaced = replaced();
    replaced.forEach(id -> begin(id + "-new"));
    TimeUnit.MILLISECONDS.sleep(LISTED_MS);
    replaced.forEach(id -> list(id + "-new"));
    replaced.forEach(id -> discovery.health(id, Health.DRAINING));
    for (PlatformProcess pooler : poolers.subList(0, (int) (plan.restarted() * poolers.size()))) {
      pooler.kill();
      pooler.begin();
    }
    TimeUnit.MILLISECONDS.sleep(GONE_MS);
    replaced.forEach(id -> discovery.health(id, Health.GONE));
    TimeUnit.MILLISECONDS.sleep(CRASH_MS);
    String crashed = replaced.get(0) + "-new";
    loop.run(() -> databases.get(crashed).crashed(true));
    TimeUnit.MILLISECONDS.sleep(DOWN_MS);
    loop.run(() -> databases.get(crashed).crashed(false));
    begin(crashed);
    TimeUnit.MILLISECONDS.sleep(LISTED_MS);
    list(crashed);
  }

  private List<String> replaced() {
    var ids = new ArrayList<String>();
    for (int group = 0; group < GROUPS; group++) {
      for (int place = 1; place < (plan.allReplicas() ? plan.members() : 2); place++) {
        ids.add("db-" + group + "-" + place);
      }
    }
    return ids;
  }

  /** A database starts, cold; nobody is told yet. */
  private void begin(String id) {
    loop.run(
        () -> {
          databases.get(id).cold(1 / plan.start().from(), plan.start().rampMs());
          starts.add(new Start(id, Math.floor(loop.now())));
          members.put(id, Members.started(members.get(id), Math.floor(loop.now())));
        });
  }

  private void list(String id) {
    loop.run(() -> discovery.set(members.get(id), databases.get(id).address()));
  }

  // ---- What came of it.
  private Outcome outcome(List<Generator> generators) throws InterruptedException {
    var rule =
        new ColdStartRule(
            plan.start().from(),
            plan.start().multiple(),
            plan.start().windowMs(),
            plan.start().rampMs(),
            CORES,
            RequestKind.meanWorkMs());
    var worst = ColdStartRule.Window.NONE;
    String worstAt = "";
    long sent = 0;
    double work = 0;
    for (int i = 0; i < starts.size(); i++) {
      Start start = starts.get(i);
      List<ColdStartRule.Sent> to = sentTo(start, nextStart(i));
      ColdStartRule.Window window = rule.worst(start.at(), to);
      if (window.share() > worst.share()) {
        worst = window;
        worstAt = start.database();
      }
      sent += to.size();
      work += to.stream().mapToDouble(ColdStartRule.Sent::workMs).sum();
    }
    var all = new Recorder(RequestKind.ALL.stream().map(RequestKind::name).toList(), 1000);
    for (Generator generator : generators) {
      all.add(generator.result(true));
    }
    double served = all.count(Recorder.Outcome.OK) / (double) Math.max(1, all.sent());
    return new Outcome(worst, worstAt, sent, work, served);
  }

  /** When the same database starts again, or never. */
  private double nextStart(int i) {
    return starts.subList(i + 1, starts.size()).stream()
        .filter(next -> next.database().equals(starts.get(i).database()))
        .mapToDouble(Start::at)
        .findFirst()
        .orElse(Double.POSITIVE_INFINITY);
  }

  private List<ColdStartRule.Sent> sentTo(Start start, double until) {
    var sent = new ArrayList<ColdStartRule.Sent>();
    for (Recording.Executed e : recording.executed()) {
      Matcher work = WORK.matcher(e.sql);
      if (e.server.equals(start.database())
          && e.at >= start.at
          && e.at < Math.min(until, start.at() + plan.start().rampMs())
          && work.find()) {
        sent.add(
            new ColdStartRule.Sent(e.at, 1000 * Double.parseDouble(work.group(1)), caller(e.sql)));
      }
    }
    return sent;
  }

  /** The pooler and the class, as the statement's comment tells them. */
  private static String caller(String sql) {
    return sql.replaceAll("(?s)^/\\* id=(p[0-9]+)\\..*?,c=([a-z]+),.*", "$1 $2");
  }

  /** The poolers' logs, for a look at a run that broke the rule. */
  public List<PlatformProcess> poolers() {
    return List.copyOf(poolers);
  }

  @Override
  public void close() throws IOException {
    for (PlatformProcess pooler : poolers) {
      pooler.close();
    }
    datagrams.close();
    discovery.close();
    databases.values().forEach(PgServer::close);
    sockets.close();
    loop.close();
  }

  /** Many seeds by hand: the number of poolers, the first seed and how many. */
  public static void main(String[] arguments) throws Exception {
    int fleet = Integer.parseInt(arguments[0]);
    long first = Long.parseLong(arguments[1]);
    int broken = 0;
    for (long seed = first; seed < first + Integer.parseInt(arguments[2]); seed++) {
      ReplacementPlan plan = ReplacementPlan.drawn(seed, fleet);
      try (var rig = new ReplacementRig(plan)) {
        Outcome outcome = rig.play();
        String verdict =
            outcome.sentCold() == 0 ? "VOID" : outcome.worst().share() <= 1 ? "kept" : "BROKEN";
        boolean kept = verdict.equals("kept");
        broken += kept ? 0 : 1;
        System.out.println(
            "%s %.2f, %d requests and %.0f ms to cold ones, %.2f served, %s%s"
                .formatted(
                    verdict,
                    outcome.worst().share(),
                    outcome.sentCold(),
                    outcome.workCold(),
                    outcome.served(),
                    plan,
                    kept ? "" : outcome.worstAt() + " " + outcome.worst()));
      }
    }
    System.out.println(arguments[2] + " seeds, " + broken + " broken or void");
    System.exit(broken == 0 ? 0 : 1);
  }
}
