package crankspar.lab;

import crankspar.lab.load.Generator;
import crankspar.lab.load.Plan;
import crankspar.lab.load.Recorder;
import crankspar.lab.load.Recorder.Outcome;
import crankspar.lab.load.Workload;
import crankspar.lab.load.WorkloadReader;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import javax.imageio.ImageIO;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * What the pooling front can carry, measured open loop: rates are raised until the 99th percentile
 * or the share served breaks; at half of that, what a request costs. The pooler runs with one
 * processor's worth of threads.
 */
final class Performance {
  private static final int[] RATES = {
    1000, 2000, 4000, 6000, 8000, 10_000, 12_000, 14_000, 16_000, 20_000
  };
  private static final double P99_MOST = 20;
  private static final double SERVED_LEAST = 0.99;
  private static final int CONNECTIONS = 200;
  private static final List<Workload.Kind> KINDS =
      List.of(new Workload.Kind("read", 1, 3000, false, "SELECT 1"));

  private static Recorder play(InetSocketAddress at, double rate, double ms, int seed)
      throws IOException, InterruptedException {
    Workload w = WorkloadReader.plain(KINDS, rate, ms, seed, Workload.Front.SIMPLE, CONNECTIONS);
    try (var g = Generator.of(w, () -> new Plan(w), at, "app", "db", 2, m -> {})) {
      return g.run(CONNECTIONS, 1500).result(true);
    }
  }

  int run(Path folder) throws IOException, InterruptedException {
    var rates = new ArrayList<Double>();
    var p50 = new ArrayList<Double>();
    var p99 = new ArrayList<Double>();
    double knee = 0;
    try (var server = new StandInProcess();
        var pooler =
            new PoolerProcess(
                "name = p\n"
                    + LabSettings.text(1)
                    + "pooling { listen = \"127.0.0.1:0\"\n members { revision = 1, complete = true, members = ["
                    + LabSettings.member("p", server.address().getPort(), true)
                    + "] }\n databases { db { places { most = 40 } } } }\n",
                "-XX:ActiveProcessorCount=1",
                "-Xmx64m")) {
      play(pooler.pooling(), 4000, 5000, 1);
      for (int rate : RATES) {
        long cpu = pooler.cpuMicros();
        Recorder r = play(pooler.pooling(), rate, 3000, 2);
        cpu = pooler.cpuMicros() - cpu;
        double served = r.count(Outcome.OK) / (double) r.sent();
        double tail = r.figures().get("latency_p99_ms");
        System.out.printf(
            Locale.ROOT,
            "rate %d: served %.4f, p50 %.3f, p99 %.3f ms, processor %.1f us a request, late %.4f%n",
            rate,
            served,
            r.figures().get("latency_p50_ms"),
            tail,
            cpu / (double) r.sent(),
            r.tooLate());
        rates.add((double) rate);
        p50.add(Math.max(0.01, r.figures().get("latency_p50_ms")));
        p99.add(Math.max(0.01, tail));
        if (served < SERVED_LEAST || tail > P99_MOST) {
          break;
        }
        knee = rate;
      }
      double half = knee / 2;
      long allocated = pooler.allocated();
      long cpu = pooler.cpuMicros();
      Recorder through = play(pooler.pooling(), half, 4000, 3);
      allocated = pooler.allocated() - allocated;
      cpu = pooler.cpuMicros() - cpu;
      Recorder direct = play(server.address(), half, 4000, 3);
      System.out.printf(
          Locale.ROOT,
          "{\"knee_a_second\": %.0f, \"half\": %.0f, \"added_p50_ms\": %.3f, \"added_p99_ms\": %.3f, "
              + "\"bytes_a_request\": %.0f, \"processor_us_a_request\": %.1f}%n",
          knee,
          half,
          through.figures().get("latency_p50_ms") - direct.figures().get("latency_p50_ms"),
          through.figures().get("latency_p99_ms") - direct.figures().get("latency_p99_ms"),
          allocated / (double) through.sent(),
          cpu / (double) through.sent());
    }
    Files.createDirectories(folder);
    System.setProperty("java.awt.headless", "true");
    XYChart chart =
        new XYChartBuilder()
            .width(800)
            .height(420)
            .title("pooling front, one processor: latency by rate, ms")
            .xAxisTitle("requests a second")
            .build();
    chart.getStyler().setYAxisLogarithmic(true);
    chart.addSeries("p50", rates, p50);
    chart.addSeries("p99", rates, p99);
    var image = new BufferedImage(800, 420, BufferedImage.TYPE_INT_RGB);
    var g = image.createGraphics();
    chart.paint(g, 800, 420);
    g.dispose();
    ImageIO.write(image, "png", folder.resolve("performance.png").toFile());
    return 0;
  }
}
