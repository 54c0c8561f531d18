package crankspar.lab.rig;

import crankspar.config.Config;
import crankspar.lab.load.Recorder;
import crankspar.lab.rig.Scenario.Step;
import de.erichseifert.vectorgraphics2d.Processors;
import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code lab rig}: plays a scenario with real processes, says what broke, and finds a shorter
 * timeline that breaks it still.
 */
@Command(
    name = "rig",
    mixinStandardHelpOptions = true,
    description =
        "Plays a scenario (HOCON) with several processes and faults between them. Ends"
            + " with 1 where a rule broke, and says the seed.")
public final class RigCommand implements Callable<Integer> {
  private static final int BAD = 2;
  private static final int WIDTH = 1000;
  private static final int HEIGHT = 500;
  private static final int LANE = 26;

  /** Names of faults beneath the lanes are spread over so many lines. */
  private static final int LINES = 4;

  @Parameters(paramLabel = "FILE")
  private Path file;

  @Option(names = "--seed", description = "the first run's; further runs count up from it")
  private Long seed;

  @Option(names = "--runs", defaultValue = "1")
  private int runs;

  @Option(
      names = "--shrink",
      description =
          "takes faults out of a failing timeline while it still fails, and prints the short one")
  private boolean shrink;

  @Option(names = "--keep", description = "leaves logs and ledgers, and prints where")
  private boolean keep;

  @Option(
      names = "--out",
      paramLabel = "FOLDER",
      description = "a JSON file and a plot of each run")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Scenario scenario;
    try {
      scenario = Scenario.read(file);
    } catch (Config.Bad e) {
      System.err.println("rig: " + e.getMessage());
      return BAD;
    }
    boolean good = true;
    System.out.printf(
        "%-10s %8s %8s %8s %8s %8s  %s%n",
        "seed", "sent", "served", "refused", "failed", "none", "rules");
    for (int i = 0; i < runs; i++) {
      Scenario one = scenario.seed((seed == null ? scenario.seed() : seed) + i);
      Play.Outcome o = Play.play(one, keep);
      print(o);
      write(o);
      good &= o.good();
      if (!o.good() && shrink) {
        shrink(one);
        break;
      }
    }
    return good ? 0 : 1;
  }

  private static void print(Play.Outcome o) {
    Recorder r = o.all();
    System.out.printf(
        "%-10d %8d %8d %8d %8d %8d  %s%n",
        o.scenario().seed(),
        r.sent(),
        r.count(Recorder.Outcome.OK),
        r.count(Recorder.Outcome.REFUSED),
        r.count(Recorder.Outcome.FAILED),
        r.count(Recorder.Outcome.UNANSWERED),
        o.good() ? "kept" : "broken " + o.counts());
    o.broken().forEach(b -> System.out.println("    " + b));
    o.kept().forEach(k -> System.out.println("    kept " + k));
    System.out.flush();
  }

  /** One fault after the other is left out for as long as the rest still breaks a rule. */
  private static void shrink(Scenario failing) throws IOException, InterruptedException {
    List<Step> steps = new ArrayList<>(failing.steps());
    for (int i = 0; i < steps.size(); ) {
      var fewer = new ArrayList<>(steps);
      Step left = fewer.remove(i);
      boolean still = !Play.play(failing.steps(fewer), false).good();
      System.out.println("without " + left.name() + ": " + (still ? "still broken" : "kept"));
      if (still) {
        steps = fewer;
      } else {
        i++;
      }
    }
    System.out.println("seed " + failing.seed() + ", the faults that it takes:");
    for (Step s : steps) {
      System.out.println(
          String.format(
              Locale.ROOT,
              "  %s { at = %.0fms, fault = %s, who = \"%s\", link = %s, factor = %s, lasts = %.0fms, how = \"%s\" }",
              s.name(),
              s.at(),
              s.fault().word(),
              String.join(",", s.who()),
              s.link(),
              s.factor(),
              s.lasts(),
              s.how()));
    }
  }

  private void write(Play.Outcome o) throws IOException {
    if (out == null) {
      return;
    }
    Files.createDirectories(out);
    String base = o.scenario().name().replaceAll("[^A-Za-z0-9-]", "-") + "-" + o.scenario().seed();
    Files.writeString(out.resolve(base + ".json"), json(o));
    plot(o, out.resolve(base + ".svg"));
  }

  static String json(Play.Outcome o) {
    Recorder r = o.all();
    var text =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                "{\"scenario\": \"%s\", \"seed\": %d, \"sent\": %d, \"served\": %d, \"refused\": %d, \"failed\": %d, \"unanswered\": %d, \"seconds\": [",
                o.scenario().name().replaceAll("[\"\\\\]", ""),
                o.scenario().seed(),
                r.sent(),
                r.count(Recorder.Outcome.OK),
                r.count(Recorder.Outcome.REFUSED),
                r.count(Recorder.Outcome.FAILED),
                r.count(Recorder.Outcome.UNANSWERED)));
    for (int i = 0; i < r.seconds().size(); i++) {
      text.append(i == 0 ? "" : ", ")
          .append(java.util.Arrays.toString(r.seconds().get(i).outcomes));
    }
    text.append("], \"broken\": [");
    for (int i = 0; i < o.broken().size(); i++) {
      text.append(i == 0 ? "\"" : ", \"")
          .append(o.broken().get(i).replaceAll("[\"\\\\]", "'"))
          .append('"');
    }
    return text.append("]}\n").toString();
  }

  /** Served, refused and failed by second, poolers as lanes beneath, faults marked in both. */
  static void plot(Play.Outcome o, Path file) throws IOException {
    System.setProperty("java.awt.headless", "true");
    int n = o.byPooler().size();
    int height = HEIGHT + (n + LINES) * LANE;
    var g = new VectorGraphics2D();
    g.setColor(Color.WHITE);
    g.fillRect(0, 0, WIDTH, height);
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(
                o.scenario().name()
                    + ", seed "
                    + o.scenario().seed()
                    + (o.good() ? "" : ": broken"))
            .xAxisTitle("seconds")
            .yAxisTitle("requests a second")
            .build();
    List<Recorder.Second> seconds = o.all().seconds();
    var x = new ArrayList<Double>();
    for (int s = 0; s < seconds.size(); s++) {
      x.add((double) s);
    }
    if (!x.isEmpty()) {
      for (Recorder.Outcome kind : Recorder.Outcome.values()) {
        chart
            .addSeries(
                kind.name().toLowerCase(Locale.ROOT),
                x,
                seconds.stream().map(s -> (double) s.outcomes[kind.ordinal()]).toList())
            .setMarker(SeriesMarkers.NONE);
      }
    }
    chart.paint(g, WIDTH, HEIGHT);
    double whole = Math.max(1, seconds.size());
    for (int p = 0; p < n; p++) {
      int y = HEIGHT + p * LANE;
      g.setColor(Color.BLACK);
      g.drawString("p" + p, 8, y + 17);
      List<Recorder.Second> mine = o.byPooler().get(p).seconds();
      for (int s = 0; s < mine.size(); s++) {
        long[] k = mine.get(s).outcomes;
        long sum = Math.max(1, k[0] + k[1] + k[2] + k[3]);
        float bad = 1 - k[0] / (float) sum;
        g.setColor(new Color(0.35f + 0.65f * bad, 0.75f - 0.6f * bad, 0.4f - 0.3f * bad));
        g.fillRect(at(s, whole), y + 4, Math.max(1, at(s + 1, whole) - at(s, whole) - 1), LANE - 8);
      }
    }
    g.setStroke(
        new BasicStroke(1, BasicStroke.CAP_BUTT, BasicStroke.JOIN_BEVEL, 0, new float[] {4, 4}, 0));
    g.setColor(Color.RED);
    int line = 0;
    for (Step s : o.scenario().steps()) {
      int px = at(s.at() / 1000, whole);
      int below = HEIGHT + n * LANE + 16 + line++ % LINES * (LANE - 6);
      g.drawLine(px, HEIGHT, px, below);
      g.drawString(s.fault().word() + " " + String.join(",", s.who()), px + 2, below);
    }
    try (var to = Files.newOutputStream(file)) {
      Processors.get("svg").getDocument(g.getCommands(), new PageSize(WIDTH, height)).writeTo(to);
    }
  }

  private static int at(double second, double whole) {
    return 40 + (int) ((WIDTH - 60) * second / whole);
  }
}
