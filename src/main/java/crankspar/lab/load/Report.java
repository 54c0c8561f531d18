package crankspar.lab.load;

import crankspar.lab.load.Recorder.Outcome;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import javax.imageio.ImageIO;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** A run's results as one JSON line, as HdrHistogram's text, and as plots over time. */
final class Report {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;

  private Report() {}

  static String json(Recorder r, double elapsed, Workload w) {
    var all = new LinkedHashMap<String, Object>();
    all.put("seed", w.seed());
    all.put("seconds", elapsed / 1000);
    all.put("sent", r.sent());
    for (Outcome o : Outcome.values()) {
      all.put(o.name().toLowerCase(Locale.ROOT), r.count(o));
    }
    all.put("too_late_share", r.tooLate());
    all.put("measured_itself", r.tooLate() > w.lateShare());
    all.putAll(r.figures());
    var text = new StringBuilder("{");
    for (Map.Entry<String, Object> e : all.entrySet()) {
      text.append(text.length() > 1 ? ", " : "").append('"').append(e.getKey()).append("\": ");
      text.append(
          e.getValue() instanceof Double d
              ? Double.isNaN(d) ? "null" : String.format(Locale.ROOT, "%.3f", d)
              : e.getValue());
    }
    return text.append('}').toString();
  }

  /**
   * {@code report.json}, {@code latency.hgrm}, {@code latency.png} and {@code outcomes.png} in a
   * folder.
   */
  static void write(Path folder, Recorder r, double elapsed, Workload w) throws IOException {
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("report.json"), json(r, elapsed, w) + "\n");
    try (var out =
        new PrintStream(
            Files.newOutputStream(folder.resolve("latency.hgrm")), false, StandardCharsets.UTF_8)) {
      r.write(out);
    }
    System.setProperty("java.awt.headless", "true");
    var seconds = new ArrayList<Double>();
    for (int i = 0; i < r.seconds().size(); i++) {
      seconds.add((double) i);
    }
    if (seconds.isEmpty()) {
      return;
    }
    XYChart latency =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("latency from when it was meant to leave, ms")
            .xAxisTitle("s")
            .build();
    latency.getStyler().setYAxisLogarithmic(true);
    for (double p : new double[] {50, 90, 99}) {
      latency.addSeries(
          "p" + (int) p,
          seconds,
          r.seconds().stream()
              .map(s -> Math.max(0.01, s.latency.getValueAtPercentile(p) / 1000.0))
              .toList());
    }
    paint(latency, folder.resolve("latency.png"));
    XYChart outcomes =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("outcomes a second")
            .xAxisTitle("s")
            .build();
    for (Outcome o : Outcome.values()) {
      outcomes.addSeries(
          o.name().toLowerCase(Locale.ROOT),
          seconds,
          r.seconds().stream().map(s -> (double) s.outcomes[o.ordinal()]).toList());
    }
    paint(outcomes, folder.resolve("outcomes.png"));
  }

  private static void paint(XYChart chart, Path file) throws IOException {
    var image = new BufferedImage(WIDTH, HEIGHT, BufferedImage.TYPE_INT_RGB);
    var g = image.createGraphics();
    chart.paint(g, WIDTH, HEIGHT);
    g.dispose();
    ImageIO.write(image, "png", file.toFile());
  }

  static List<String> table(Recorder r) {
    var lines = new ArrayList<String>();
    Map<String, Double> f = r.figures();
    for (String name : List.of("latency", "service", "late")) {
      lines.add(
          String.format(
              Locale.ROOT,
              "%-8s p50 %9.3f  p90 %9.3f  p99 %9.3f  p99.9 %9.3f  max %9.3f ms",
              name,
              f.get(name + "_p50_ms"),
              f.get(name + "_p90_ms"),
              f.get(name + "_p99_ms"),
              f.get(name + "_p99.9_ms"),
              f.get(name + "_max_ms")));
    }
    return lines;
  }
}
