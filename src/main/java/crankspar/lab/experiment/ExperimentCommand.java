package crankspar.lab.experiment;

import crankspar.config.Config;
import crankspar.lab.Fleet;
import crankspar.lab.PoolerProcess;
import crankspar.lab.load.Checker;
import crankspar.lab.load.Generator;
import crankspar.lab.load.Plan;
import crankspar.lab.load.Recorder;
import crankspar.lab.load.Recorder.Outcome;
import crankspar.lab.load.Workload;
import crankspar.lab.load.WorkloadReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code lab experiment A.conf B.conf}: which of two operators' files serves better, with error
 * bars.
 */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description =
        "Plays the same seeds against the same fleet behind two poolers' settings"
            + " in turn, until the time is up or the answer is narrow enough, and says better, worse or can't tell. The files set up pooling"
            + " without listen and members, which the experiment adds.")
public final class ExperimentCommand implements Callable<Integer> {
  private static final int BAD = 2;
  private static final int BROKEN = 1;

  @Parameters(index = "0", paramLabel = "A.conf")
  private Path a;

  @Parameters(index = "1", paramLabel = "B.conf")
  private Path b;

  @Option(names = "--workload", required = true)
  private Path workloadFile;

  @Option(names = "--fleet", required = true)
  private Path fleetFile;

  @Option(names = "--jar-a", description = "another jar for A")
  private Path jarA;

  @Option(names = "--jar-b", description = "another jar for B")
  private Path jarB;

  @Option(names = "--minutes", defaultValue = "5")
  private double minutes;

  @Option(names = "--pairs", defaultValue = "30", description = "the most pairs of runs")
  private int pairsMost;

  @Option(
      names = "--width",
      defaultValue = "0",
      description = "stops once the interval of the share served is this narrow")
  private double width;

  /** What one run came to. */
  private record Run(Map<String, Double> figures, List<String> faults) {}

  private static final Map<String, Boolean> HIGHER_IS_BETTER = new LinkedHashMap<>();

  static {
    HIGHER_IS_BETTER.put("served_share", true);
    HIGHER_IS_BETTER.put("latency_p50_ms", false);
    HIGHER_IS_BETTER.put("latency_p99_ms", false);
    HIGHER_IS_BETTER.put("refused_share", false);
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    Workload workload;
    Fleet.Setup fleet;
    try {
      workload = WorkloadReader.read(workloadFile);
      fleet = Fleet.read(fleetFile);
    } catch (Config.Bad e) {
      System.err.println("experiment: " + e.getMessage());
      return BAD;
    }
    long end = System.nanoTime() + (long) (minutes * 60e9);
    // Once unmeasured: this side's own code is cold, and would be too late for its first sends.
    play("include required(file(\"" + a.toAbsolutePath() + "\"))", jarA, fleet, workload);
    var runsA = new ArrayList<Run>();
    var runsB = new ArrayList<Run>();
    var faults = new ArrayList<String>();
    for (int pair = 0; pair < pairsMost && (pair < 1 || System.nanoTime() < end); pair++) {
      Workload seeded =
          new Workload(
              workload.kinds(),
              workload.shapes(),
              workload.even(),
              workload.sessions(),
              workload.groups(),
              workload.duration(),
              workload.seed() + pair,
              workload.front(),
              workload.connections(),
              workload.lateMost(),
              workload.lateShare());
      boolean aFirst = pair % 2 == 0; // a drift of the machine falls on both
      for (boolean isA : new boolean[] {aFirst, !aFirst}) {
        // Included where it stands, so that its own includes are found.
        String operator = "include required(file(\"" + (isA ? a : b).toAbsolutePath() + "\"))";
        Run run = play(operator, isA ? jarA : jarB, fleet, seeded);
        (isA ? runsA : runsB).add(run);
        for (String f : run.faults()) {
          faults.add((isA ? "A" : "B") + ", seed " + seeded.seed() + ": " + f);
        }
      }
      System.err.printf(
          Locale.ROOT,
          "pair %d: served %.4f and %.4f, p99 %.3f and %.3f ms%n",
          pair + 1,
          runsA.get(pair).figures().get("served_share"),
          runsB.get(pair).figures().get("served_share"),
          runsA.get(pair).figures().get("latency_p99_ms"),
          runsB.get(pair).figures().get("latency_p99_ms"));
      Compare.Difference d = compare("served_share", runsA, runsB);
      if (width > 0 && d.pairs() >= Compare.PAIRS_LEAST && d.width() <= width) {
        break;
      }
    }
    for (String figure : HIGHER_IS_BETTER.keySet()) {
      Compare.Difference d = compare(figure, runsA, runsB);
      System.out.printf(
          Locale.ROOT,
          "%-16s A %10.4f  B %10.4f  difference %+10.4f  [%+.4f, %+.4f]  B is %s%n",
          figure,
          d.a(),
          d.b(),
          d.mean(),
          d.low(),
          d.high(),
          switch (d.word()) {
            case BETTER -> "better";
            case WORSE -> "worse";
            case CANT_TELL -> "can't tell";
          });
    }
    faults.forEach(f -> System.out.println("broken: " + f));
    return faults.isEmpty() ? 0 : BROKEN;
  }

  private static Compare.Difference compare(String figure, List<Run> a, List<Run> b) {
    return Compare.of(
        a.stream().mapToDouble(r -> r.figures().get(figure)).toArray(),
        b.stream().mapToDouble(r -> r.figures().get(figure)).toArray(),
        HIGHER_IS_BETTER.get(figure),
        1);
  }

  /**
   * One run: a fresh fleet, a fresh pooler, the seed's requests; rules are checked while and after
   * it.
   */
  private static Run play(String operator, Path jar, Fleet.Setup setup, Workload workload)
      throws IOException, InterruptedException {
    try (var fleet = new Fleet(setup);
        var pooler =
            new PoolerProcess(
                operator + "\npooling { listen = \"127.0.0.1:0\"\n" + fleet.members() + "}\n",
                jar,
                "-Xmx128m");
        var g =
            Generator.of(
                workload,
                () -> new Plan(workload),
                pooler.pooling(),
                "app",
                "db",
                2,
                System.err::println)) {
      fleet.begin();
      g.run(workload.connections(), 4000);
      Recorder r = g.result(true);
      var figures = new LinkedHashMap<>(r.figures());
      figures.put("served_share", r.count(Outcome.OK) / (double) Math.max(1, r.sent()));
      figures.put("refused_share", r.count(Outcome.REFUSED) / (double) Math.max(1, r.sent()));
      figures.replaceAll((k, v) -> Double.isNaN(v) ? 0 : v);
      return new Run(figures, faults(g, fleet, r, workload));
    }
  }

  private static List<String> faults(Generator g, Fleet fleet, Recorder r, Workload workload) {
    var faults = new ArrayList<String>();
    for (Checker c : g.checkers()) {
      faults.addAll(c.words());
    }
    if (r.ended() != r.sent()) {
      faults.add(r.sent() + " requests had " + r.ended() + " final answers");
    }
    if (r.tooLate() > workload.lateShare()) {
      faults.add("the generator was too slow: " + r.tooLate());
    }
    var keys = new LinkedHashMap<String, Integer>();
    fleet.recording().executed().stream()
        .filter(e -> e.sql.contains("INSERT"))
        .forEach(e -> keys.merge(e.sql.replaceAll("(?s)^.*?(INSERT)", "$1"), 1, Integer::sum));
    keys.forEach(
        (sql, n) -> {
          if (n > 1) {
            faults.add("ran " + n + " times: " + sql);
          }
        });
    return faults;
  }
}
