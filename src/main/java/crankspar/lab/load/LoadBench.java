package crankspar.lab.load;

import crankspar.lab.PgServer;
import crankspar.lab.Promises;
import crankspar.lab.StandInProcess;
import crankspar.lab.load.Recorder.Outcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** The generator's own promises: true percentiles, sends on time, memory that does not grow. */
public final class LoadBench {
  private static final double RATE = 20_000;

  private final Promises promises = new Promises();
  private final String fault;

  /** {@code fault} spoils one promise on purpose; or null. */
  public LoadBench(String fault) {
    this.fault = fault == null ? "" : fault;
  }

  public int run() throws IOException, InterruptedException {
    percentiles();
    onTime();
    memory();
    return promises.tell();
  }

  /** Answer times are known: 50, 100 and 200 ms for five, four and one of ten. */
  private void percentiles() throws IOException, InterruptedException {
    try (var server = new PgServer("s").listen(new InetSocketAddress("127.0.0.1", 0))) {
      server.recording().whole = false;
      var kinds =
          List.of(
              new Workload.Kind("fast", 5, 5000, false, "SELECT pg_sleep(0.05)"),
              new Workload.Kind("middle", 4, 5000, false, "SELECT pg_sleep(0.1)"),
              new Workload.Kind("slow", 1, 5000, false, "SELECT pg_sleep(0.2)"));
      Workload w = WorkloadReader.plain(kinds, 400, 8000, 5, Workload.Front.SIMPLE, 200);
      try (var g =
          Generator.of(
              w, () -> new Plan(w), server.address(), "app", "db", 2, System.err::println)) {
        Histogram h = g.run(200, 3000).result(true).all(true);
        double worst = 0;
        double[][] known = {{25, 50}, {40, 50}, {65, 100}, {80, 100}, {95, 200}, {99, 200}};
        for (double[] k : known) {
          double seen =
              h.getValueAtPercentile(k[0]) / 1000.0 * (fault.equals("percentiles") ? 1.1 : 1);
          promises.put("p" + (int) k[0] + "_ms", seen);
          worst = Math.max(worst, Math.abs(seen - k[1]) / k[1]);
        }
        promises.put("worst_error", worst);
        promises.keep(
            worst <= 0.02,
            String.format(Locale.ROOT, "a percentile is %.1f %% off, promised 2", 100 * worst));
      }
    }
  }

  private void onTime() throws IOException, InterruptedException {
    try (var server = new StandInProcess()) {
      var kinds = List.of(new Workload.Kind("read", 1, 2000, false, "SELECT 1"));
      Workload w =
          new Workload(
              kinds,
              List.of(new Shape.Constant(RATE)),
              false,
              10_000,
              1,
              8000,
              6,
              Workload.Front.SIMPLE,
              64,
              1,
              0.01);
      Workload warm =
          new Workload(
              kinds,
              List.of(new Shape.Constant(RATE)),
              false,
              10_000,
              1,
              4000,
              7,
              Workload.Front.SIMPLE,
              64,
              1,
              1);
      try (var g =
          Generator.of(
              warm, () -> new Plan(warm), server.address(), "app", "db", 2, System.err::println)) {
        g.run(64, 1000);
      }
      try (var g =
          Generator.of(
              w, () -> new Plan(w), server.address(), "app", "db", 2, System.err::println)) {
        Recorder r = g.run(64, 2000).result(true);
        double rate = r.sent() / (w.duration() / 1000);
        double late = r.tooLate() + (fault.equals("late") ? 0.5 : 0);
        promises.put("sent_a_second", rate);
        promises.put("late_share", late);
        promises.put("late_p99_ms", r.figures().get("late_p99_ms"));
        promises.put("late_max_ms", r.figures().get("late_max_ms"));
        promises.put("latency_p50_ms", r.figures().get("latency_p50_ms"));
        promises.put("answered_share", r.count(Outcome.OK) / (double) r.sent());
        promises.keep(rate >= 0.98 * RATE, "only " + Math.round(rate) + " sends a second");
        promises.keep(
            late < 0.01,
            String.format(
                Locale.ROOT,
                "%.2f %% of the sends left more than 1 ms late, promised under 1",
                100 * late));
      }
    }
  }

  private void memory() throws IOException, InterruptedException {
    try (var server = new StandInProcess()) {
      Workload w =
          WorkloadReader.plain(
              List.of(new Workload.Kind("read", 1, 2000, false, "SELECT 1")),
              5000,
              9000,
              8,
              Workload.Front.SIMPLE,
              64);
      try (var g = Generator.of(w, () -> new Plan(w), server.address(), "app", "db", 2, m -> {})) {
        long[] used = new long[2];
        var looker =
            new Thread(
                () -> {
                  try {
                    for (int i = 0; i < 2; i++) {
                      Thread.sleep(i == 0 ? 3000 : 5000);
                      System.gc();
                      used[i] =
                          Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
                    }
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                });
        looker.start();
        g.run(64, 1000);
        looker.join();
        long grown = used[1] - used[0] + (fault.equals("memory") ? 1 << 25 : 0);
        promises.put("heap_early_bytes", used[0]);
        promises.put("heap_grown_bytes", grown);
        promises.keep(grown < 1 << 20, "the heap grew by " + grown + " bytes within the run");
      }
    }
  }
}
