package crankspar.lab.rig;

import crankspar.lab.Recording.Executed;
import crankspar.lab.rig.FaultShim.Slot;
import crankspar.net.ScriptedPeer.Wire;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One soak of two real poolers under faults that a seed draws: planned restarts with the kill at
 * the earliest moment, kills in series, kills on an operator's yes, a disk that refuses, a wall
 * clock that steps, stops, reloads; some with a crowd, some with a database that is replaced under
 * a burst. Run {@code main FIRST COUNT} for many seeds; it prints each with what broke, and a
 * failing seed becomes a test.
 */
final class FaultSoak implements AutoCloseable {
  private static final int POOLERS = 2;
  private static final int REPLICAS = 3;
  private static final int CLIENTS = 12;
  private static final int CROWD = 150;
  private static final int FAULTS = 10;

  /** Processes that share the poolers' one core where a run is starved. */
  private static final int BUSY = 3;

  /** One run in so many has a crowd, one in so many a starved core. */
  private static final int CROWDED = 3;

  private static final int STARVED = 4;

  /** One run in so many has a database that is replaced under a burst. */
  private static final int REPLACED = 2;

  /** Clients of the burst at each pooler, and within what time they come. */
  private static final int BURST = 120;

  private static final double BURST_SPREAD_MS = 600;
  private static final long DOWN_MS = 700;
  private static final double COLD_FACTOR = 4;
  private static final double RAMP_MS = 5000;

  /** Clients that leave soon, a fault; they arrive within this and wait for this at the most. */
  private static final int LEAVING = 20;

  private static final double LEAVING_SPREAD_MS = 400;
  private static final double LEAVING_WAITS_MS = 600;

  /** The longest deadline and 0.7 s: the kill comes no sooner after SIGTERM. */
  private static final long KILL_AFTER_MS = 3700;

  private static final long SERIES_MS = 250;

  /** Signals that one planned end meets on its way, and the longest stop among them (ms). */
  private static final int SIGNALS_MOST = 4;

  private static final int STOP_LEAST_MS = 50;
  private static final int STOP_SPREAD_MS = 140;

  private final Rig rig;
  private final Random random;

  /** Draws the signals of planned ends by itself, so that the other draws of a seed stay. */
  private final Random signals;

  /** Draws the replacement, likewise. */
  private final Random replacements;

  private final List<FaultShim> shims = new ArrayList<>();
  private final List<SoakClients> clients = new ArrayList<>();
  private final List<LeavingClients> leaving = new ArrayList<>();
  private final AttemptHistory history = new AttemptHistory();

  /** From this process's wall clock to the history's clock (ms). */
  private final double toHistory = AttemptHistory.now() - System.currentTimeMillis();

  private BusyCore busy;
  private final SoakHistory seen = new SoakHistory();
  private final List<String> broken = new ArrayList<>();

  FaultSoak(long seed, Path folder) throws Exception {
    random = new Random(seed);
    signals = new Random(~seed);
    replacements = new Random(Long.reverse(seed));
    rig = new Rig(Rig.Parties.of(POOLERS, REPLICAS), seed);
    for (int p = 0; p < POOLERS; p++) {
      var shim =
          new FaultShim(
              folder.resolve("faults-" + seed + "-" + p), rig.pooler(p).folder().resolve("tmp"));
      rig.pooler(p).environment(shim.environment());
      shims.add(shim);
    }
    boolean crowd = random.nextInt(CROWDED) == 0;
    if (random.nextInt(STARVED) == 0) {
      starve();
    }
    rig.start();
    for (int p = 0; p < POOLERS; p++) {
      clients.add(new SoakClients(rig, p, CLIENTS, crowd ? CROWD : 0, seed + p));
      leaving.add(
          new LeavingClients(
              history, rig.pooler(p).address(), "q" + p, "board", 0, LEAVING_WAITS_MS, seed + p));
    }
  }

  private void starve() throws IOException {
    int core = BusyCore.own();
    busy = new BusyCore(core, BUSY);
    for (int p = 0; p < POOLERS; p++) {
      rig.pooler(p).onCore(core);
    }
  }

  /** What broke, in words; empty where nothing did. */
  List<String> run() throws Exception {
    int replacedAt = replacements.nextInt(REPLACED * FAULTS);
    for (int i = 0; i < FAULTS; i++) {
      if (i == replacedAt) {
        replaceUnderBurst();
      }
      TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(500));
      int p = random.nextInt(POOLERS);
      if (!rig.pooler(p).alive()) {
        broken.add("crash: p" + p + " ended by itself");
        rig.pooler(p).start();
      }
      leaving.forEach(l -> l.arrive(LEAVING, LEAVING_SPREAD_MS, 50, 250));
      fault(p);
    }
    TimeUnit.MILLISECONDS.sleep(500);
    clients.forEach(SoakClients::close);
    List<Executed> executed = rig.recording().executed();
    broken.addAll(seen.sentToDrained(executed));
    broken.addAll(seen.lost(executed, clients));
    broken.addAll(SoakHistory.unsent(executed, clients));
    checkAttempts();
    broken.addAll(new Rules().once(rig.recording().executed()).broken());
    return broken;
  }

  /** A replica dies under a burst; another one takes its place, cold, while the burst goes on. */
  private void replaceUnderBurst() throws Exception {
    String database = "db-" + (1 + replacements.nextInt(REPLICAS));
    burst();
    rig.crash(database);
    TimeUnit.MILLISECONDS.sleep(DOWN_MS);
    burst();
    rig.comeBack(database, COLD_FACTOR, RAMP_MS);
  }

  private void burst() {
    leaving.forEach(l -> l.arrive(BURST, BURST_SPREAD_MS, 50, LEAVING_WAITS_MS));
  }

  private void fault(int p) throws Exception {
    switch (random.nextInt(9)) {
      case 0, 1 -> {
        call(p, random.nextBoolean());
        if (random.nextBoolean()) {
          killSeries(p);
        }
      }
      case 2 -> plannedRestart(p);
      case 3 -> killSeries(p);
      case 4 -> {
        Slot refused =
            List.of(Slot.WRITE_ERRNO, Slot.SYNC_ERRNO, Slot.RENAME_ERRNO).get(random.nextInt(3));
        shims.get(p).set(refused, random.nextBoolean() ? FaultShim.ENOSPC : FaultShim.EIO);
        call(p, random.nextBoolean());
        TimeUnit.MILLISECONDS.sleep(random.nextInt(600));
        if (random.nextInt(3) == 0) {
          killSeries(p);
        }
        shims.get(p).set(refused, 0);
        call(p, random.nextBoolean());
      }
      case 5 ->
          shims
              .get(p)
              .set(
                  Slot.CLOCK_MS,
                  List.of(3_600_000L, -3_600_000L, 5000L, -5000L).get(random.nextInt(4)));
      case 6 -> stop(p, List.of(150, 190, 1300).get(random.nextInt(3)));
      case 7 -> {
        for (int i = random.nextInt(3); i >= 0; i--) { // signals in series
          stop(p, 50 + random.nextInt(140));
          rig.pooler(p).signal("HUP");
        }
      }
      default -> rig.pooler(p).signal("HUP");
    }
  }

  private void stop(int p, int ms) throws Exception {
    rig.pooler(p).signal("STOP");
    TimeUnit.MILLISECONDS.sleep(ms);
    rig.pooler(p).signal("CONT");
  }

  /**
   * Takes a replica out or puts it back, and kills on the first byte of the answer every third
   * time.
   */
  private void call(int p, boolean out) throws Exception {
    String database = "db-" + (1 + random.nextInt(REPLICAS));
    boolean kill = random.nextInt(3) == 0;
    String[] at = rig.calls(p).split(":");
    double issued = System.currentTimeMillis();
    int status = 0;
    try (Wire wire = Wire.to(new InetSocketAddress(at[0], Integer.parseInt(at[1])))) {
      wire.send(
          "POST /-/league-databases/"
              + database
              + (out ? "/disable" : "/enable")
              + " HTTP/1.1\r\nHost: x\r\n\r\n");
      byte[] said = wire.read(12);
      if (kill) {
        rig.pooler(p).kill();
      }
      status = Integer.parseInt(new String(said, StandardCharsets.US_ASCII).substring(9));
    } catch (IOException e) {
      broken.add("operator: p" + p + " gave no answer: " + e);
    }
    seen.called(new SoakHistory.Call(p, database, out, issued, System.currentTimeMillis(), status));
    if (kill) {
      seen.ended(new SoakHistory.End(p, Double.NaN, System.currentTimeMillis()));
      rig.pooler(p).start();
    }
  }

  private void killSeries(int p) throws Exception {
    for (int i = random.nextInt(3); i >= 0; i--) {
      rig.pooler(p).kill();
      seen.ended(new SoakHistory.End(p, Double.NaN, System.currentTimeMillis()));
      if (i > 0) {
        rig.pooler(p).begin();
        TimeUnit.MILLISECONDS.sleep(SERIES_MS);
      }
    }
    rig.pooler(p).start();
  }

  private void plannedRestart(int p) throws Exception {
    double told = System.currentTimeMillis();
    boolean stopped = random.nextBoolean();
    if (stopped) {
      rig.pooler(p).signal("STOP");
    }
    rig.pooler(p).signal("TERM");
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_MS);
    if (stopped) {
      TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(100));
      rig.pooler(p).signal("CONT");
    }
    signalInSeries(p, until);
    while (rig.pooler(p).alive() && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(2);
    }
    rig.pooler(p).kill();
    seen.ended(new SoakHistory.End(p, told, System.currentTimeMillis()));
    rig.pooler(p).start();
  }

  /** Reloads, further SIGTERM and short stops while it ends; none of them moves the kill. */
  private void signalInSeries(int p, long until) throws Exception {
    for (int i = signals.nextInt(SIGNALS_MOST + 1); i > 0; i--) {
      TimeUnit.MILLISECONDS.sleep(signals.nextInt((int) KILL_AFTER_MS / SIGNALS_MOST));
      if (!rig.pooler(p).alive() || System.nanoTime() >= until) {
        return;
      }
      switch (signals.nextInt(3)) {
        case 0 -> rig.pooler(p).signal("HUP");
        case 1 -> rig.pooler(p).signal("TERM");
        default -> stop(p, STOP_LEAST_MS + signals.nextInt(STOP_SPREAD_MS));
      }
    }
  }

  /** What was sent for clients that leave: never long after, and never with more time than left. */
  private void checkAttempts() {
    double lag = rig.loop().mostLag(); // the stand-ins may be late themselves
    for (Executed e : rig.recording().executed()) {
      if (e.sql.startsWith("/* id=q")) {
        history.attempt(e.sql, e.at + toHistory - lag);
      }
    }
    broken.addAll(history.broken());
  }

  long answered() {
    return clients.stream().mapToLong(SoakClients::answered).sum();
  }

  @Override
  public void close() throws IOException {
    clients.forEach(SoakClients::close);
    leaving.forEach(LeavingClients::close);
    if (busy != null) {
      busy.close();
    }
    rig.close();
  }

  /** Many seeds by hand: the first seed and how many. */
  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("soak");
    long first = Long.parseLong(args[0]);
    int failed = 0;
    for (long seed = first; seed < first + Integer.parseInt(args[1]); seed++) {
      try (var soak = new FaultSoak(seed, folder)) {
        List<String> broken = soak.run();
        failed += broken.isEmpty() ? 0 : 1;
        System.out.println(
            "seed "
                + seed
                + ": "
                + soak.answered()
                + " answered, "
                + soak.history.attempts()
                + " attempts for clients that leave, "
                + (soak.busy != null ? "starved, " : "")
                + (broken.isEmpty() ? "kept" : "BROKEN " + broken));
      }
    }
    System.out.println(args[1] + " seeds, " + failed + " broken");
    System.exit(failed == 0 ? 0 : 1);
  }
}
