package crankspar.lab.hostile;

import crankspar.lab.LabSettings;
import crankspar.lab.LoopbackPorts;
import crankspar.lab.PgServer;
import crankspar.lab.hostile.HostileKind.Front;
import crankspar.lab.hostile.SteadyClients.Tally;
import crankspar.lab.rig.PlatformProcess;
import crankspar.net.EventLoop;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One run: a pooler as the deploy file starts it, three databases, hostile clients in a process of
 * their own, and clients that behave before, beside and after them. In an upgrade a second process
 * takes over while the hostile clients are there.
 */
public final class HostileRun {
  /**
   * What is run.
   *
   * @param hostile how many clients of each kind
   * @param forMs how long they stay
   * @param valueBytes the length of a value of the databases
   * @param memoryMb the limit that the settings name
   * @param jar an earlier version to run, or null for this program
   */
  public record Plan(
      Front front,
      Map<HostileKind, Integer> hostile,
      long forMs,
      int valueBytes,
      int memoryMb,
      boolean upgrade,
      Path jar) {
    private static final int CROWD_LEAST = 50;
    private static final int CROWD_MOST = 1000;
    private static final int FLOOD = 8;
    private static final int KINDS_MOST = 3;
    private static final long FOR_MS = 3000;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int MEMORY_MB = 192;

    /** So many clients of one kind. */
    public static Plan of(HostileKind kind, int count) {
      return new Plan(
          kind.front(), Map.of(kind, count), FOR_MS, VALUE_BYTES, MEMORY_MB, false, null);
    }

    int clients() {
      return hostile.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Whether sound requests come from more clients than the databases can serve at once. */
    boolean overload() {
      return hostile.entrySet().stream()
              .filter(e -> e.getKey().asksDatabases())
              .mapToInt(Map.Entry::getValue)
              .sum()
          > Result.SOUND_MOST;
    }

    /** The same in an upgrade. */
    public Plan inUpgrade() {
      return new Plan(front, hostile, forMs, valueBytes, memoryMb, true, jar);
    }

    /** The same before an earlier version. */
    public Plan before(Path earlier) {
      return new Plan(front, hostile, forMs, valueBytes, memoryMb, upgrade, earlier);
    }

    /** A drawn front, a drawn mix of up to three kinds, plain or in an upgrade. */
    public static Plan drawn(long seed) {
      var random = new Random(seed);
      Front front = Front.values()[random.nextInt(Front.values().length)];
      List<HostileKind> kinds =
          List.of(HostileKind.values()).stream()
              .filter(k -> k.front() == front && !k.isText())
              .toList();
      var hostile = new LinkedHashMap<HostileKind, Integer>();
      for (int i = 1 + random.nextInt(KINDS_MOST); i > 0; i--) {
        HostileKind kind = kinds.get(random.nextInt(kinds.size()));
        hostile.put(
            kind,
            kind.repeats()
                ? 1 + random.nextInt(FLOOD)
                : CROWD_LEAST + random.nextInt((CROWD_MOST - CROWD_LEAST) / KINDS_MOST));
      }
      return new Plan(front, hostile, FOR_MS, VALUE_BYTES, MEMORY_MB, random.nextBoolean(), null);
    }
  }

  /**
   * What came of it.
   *
   * @param ended how a pooler's process ended by itself, or null
   * @param peakKib the most resident memory of the poolers together
   */
  public record Result(Plan plan, String ended, long peakKib, Tally beside, Tally after) {
    private static final double MEMORY_SHARE = 0.9;
    private static final double SERVED_SHARE = 0.9;

    /** More sound requests than this at once are more than the databases do. */
    private static final int SOUND_MOST = 8;

    /**
     * With so many clients the places may be short, and a newcomer shut unread. Beside the
     * platform's front the REST front has half of them.
     */
    private static final int CROWDED = 500;

    /** What the rules forbid and was seen; empty where nothing was. */
    public List<String> broken() {
      var broken = new ArrayList<String>();
      if (ended != null) {
        broken.add("a process ended by itself: " + ended);
      }
      if (peakKib > MEMORY_SHARE * plan.memoryMb() * 1024) {
        broken.add("peak memory of " + peakKib + " KiB");
      }
      int answeredInTime = beside.served() + (plan.overload() ? beside.refused() : 0);
      if (answeredInTime < SERVED_SHARE * beside.all()
          || beside.lost() > 0
          || beside.shut() > 0
              && plan.clients() < (plan.front() == Front.REST ? CROWDED / 2 : CROWDED)) {
        broken.add("others beside the hostile clients: " + beside);
      }
      if (after.served() < SERVED_SHARE * after.all()) {
        broken.add("others after the hostile clients: " + after);
      }
      return broken;
    }
  }

  private static final double WORK_MS = 20;
  private static final long BEFORE_MS = 500;
  private static final long AFTER_MS = 1000;
  private static final long SAMPLE_MS = 20;

  /** When in an upgrade the second process starts, and when SIGKILL follows SIGTERM (ms). */
  private static final long SECOND_AFTER_MS = 800;

  private static final long KILL_AFTER_MS = 3700;

  private final Plan plan;
  private final String settings = LabSettings.json(1, 0, "east");
  private final Path folder = Files.createTempDirectory("hostile");
  private final InetSocketAddress platform = LoopbackPorts.free();
  private final InetSocketAddress rest = LoopbackPorts.free();
  private final InetSocketAddress pooling = LoopbackPorts.free();
  private final List<PlatformProcess> poolers = new ArrayList<>();
  private long peakKib;
  private String ended;

  /** The process whose end was asked for, or null. */
  private PlatformProcess stopping;

  private HostileRun(Plan plan) throws IOException {
    this.plan = plan;
  }

  /** Plays it. */
  public static Result play(Plan plan) throws Exception {
    return new HostileRun(plan).play();
  }

  private Result play() throws Exception {
    try (var loop = new EventLoop("hostile-databases")) {
      PlatformProcess first = pooler(loop);
      first.start();
      try (var unused = new SteadyClients(plan.front(), address())) {
        TimeUnit.MILLISECONDS.sleep(BEFORE_MS); // it probes and connects
      }
      Tally beside;
      try (var steady = new SteadyClients(plan.front(), address())) {
        beside(loop, first);
        beside = steady.end();
      }
      Tally after;
      try (var steady = new SteadyClients(plan.front(), address())) {
        TimeUnit.MILLISECONDS.sleep(AFTER_MS);
        after = steady.end();
      }
      watch();
      return new Result(plan, ended, peakKib, beside, after);
    } finally {
      String logs = System.getProperty("logs");
      for (PlatformProcess p : poolers) {
        if (logs != null) {
          Files.copy(p.log(), Path.of(logs, p.id() + ".log"));
        }
        p.close();
      }
      delete(folder);
    }
  }

  private InetSocketAddress address() {
    return switch (plan.front()) {
      case PLATFORM -> platform;
      case REST -> rest;
      case POOLING -> pooling;
    };
  }

  private void beside(EventLoop loop, PlatformProcess first) throws Exception {
    Process hostile = hostile();
    long began = System.nanoTime();
    if (plan.upgrade()) {
      watchFor(SECOND_AFTER_MS);
      pooler(loop).start();
      stopping = first;
      first.signal("TERM");
      long kill = elapsed(began) + KILL_AFTER_MS;
      while (first.alive() && elapsed(began) < kill) {
        watchFor(SAMPLE_MS);
      }
      first.end();
    }
    while (hostile.isAlive()) {
      watchFor(SAMPLE_MS);
    }
  }

  private static long elapsed(long began) {
    return (System.nanoTime() - began) / 1_000_000;
  }

  private void watchFor(long ms) throws Exception {
    long end = System.nanoTime() + ms * 1_000_000;
    do {
      watch();
      TimeUnit.MILLISECONDS.sleep(Math.min(ms, SAMPLE_MS));
    } while (System.nanoTime() < end);
  }

  private void watch() throws IOException {
    long together = 0;
    for (PlatformProcess p : poolers) {
      if (p.alive()) {
        together += heldKib(p.id());
      } else if (ended == null && p != stopping) {
        ended = p.toString();
      }
    }
    peakKib = Math.max(peakKib, together);
  }

  /**
   * The most that one process has held; of two, what each holds now with its part of what they
   * share.
   */
  private long heldKib(long process) throws IOException {
    String file = plan.upgrade() ? "smaps_rollup" : "status";
    String what = plan.upgrade() ? "Pss:" : "VmHWM:";
    try {
      return Files.readAllLines(Path.of("/proc", Long.toString(process), file)).stream()
          .filter(line -> line.startsWith(what))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0; // it has just ended
    }
  }

  private Process hostile() throws IOException {
    var command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx256m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                HostileClients.class.getName(),
                Integer.toString(address().getPort()),
                Long.toString(plan.forMs()),
                "FIN"));
    plan.hostile()
        .forEach((kind, count) -> command.addAll(List.of(kind.name(), Integer.toString(count))));
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(new File("/dev/null")))
        .start();
  }

  // ---- The pooler.
  private PlatformProcess pooler(EventLoop loop) throws IOException {
    String operator =
        plan.front() == Front.PLATFORM ? null : plan.front() == Front.REST ? rest(loop) : pooling();
    var pooler = new PlatformProcess("n1", platform, configuration(loop), operator, plan.jar());
    pooler.deployed();
    pooler.environment(
        Map.of("TMPDIR", Files.createDirectories(folder.resolve("shared")).toString()));
    poolers.add(pooler);
    return pooler;
  }

  private String configuration(EventLoop loop) throws IOException {
    var databases = new ArrayList<InetSocketAddress>();
    for (int i = 0; i < 3; i++) {
      databases.add(new PacedDatabase(loop, i == 0, WORK_MS, plan.valueBytes()).address());
    }
    return """
        {"name": "n1", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:1",
         "limits": {"cores": 1, "memory_mb": %d, "sockets": 1024},
         "known": %s, "settings": %s}"""
        .formatted(platform.getPort(), plan.memoryMb(), members(databases), settings);
  }

  private static String members(List<InetSocketAddress> addresses) {
    var entries = new ArrayList<String>();
    for (int i = 0; i < addresses.size(); i++) {
      entries.add(
          """
          {"id":"s-%d","host_port":"127.0.0.1:%d","locality":"%s","flavor":"m","cell":2,"phase":"up",
           "size":1.0,"up_since_ms":0,"role":"%s"}"""
              .formatted(
                  i,
                  addresses.get(i).getPort(),
                  List.of("east", "west", "south").get(i),
                  i == 0 ? "primary" : "replica"));
    }
    return "{\"revision\":7,\"complete\":true,\"members\":[" + String.join(",", entries) + "]}";
  }

  private String rest(EventLoop loop) throws IOException {
    var servers = new ArrayList<InetSocketAddress>();
    for (int i = 0; i < 3; i++) {
      servers.add(new PacedRestServer(loop, i == 0, WORK_MS).address());
    }
    return "name = n1, rest { listen = \"127.0.0.1:%d\", members = %s }, settings = %s\n"
        .formatted(rest.getPort(), members(servers), settings);
  }

  private String pooling() throws IOException {
    var server = new PgServer("s-0").listen(new InetSocketAddress("127.0.0.1", 0));
    return ("name = n1, settings = %s, pooling { listen = \"127.0.0.1:%d\", members = %s,"
            + " databases { league { group = 2, class = claim, places { most = 20 } } } }\n")
        .formatted(settings, pooling.getPort(), members(List.of(server.address())));
  }

  private static void delete(Path folder) throws IOException {
    try (var all = Files.walk(folder)) {
      for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }
}
