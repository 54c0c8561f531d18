package crankspar.lab;

import java.awt.Graphics2D;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.imageio.ImageIO;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Cost and age by size, the present way and the shared one, from the model. */
final class DutiesPlot {
  private static final int[] SIZES = {1, 2, 3, 6, 14, 24, 48};
  private static final int WIDTH = 560;
  private static final int HEIGHT = 400;

  private DutiesPlot() {}

  static int write(Path file) throws IOException {
    System.setProperty("java.awt.headless", "true");
    var sizes = new ArrayList<Double>();
    var figures = new ArrayList<List<Double>>();
    for (int i = 0; i < 6; i++) {
      figures.add(new ArrayList<>());
    }
    for (int n : SIZES) {
      var world = DutiesModel.World.of(n, n, 12, 0.05);
      var shared = new DutiesModel(world).run(5000).measure().run(6000).figures();
      var alone = new DutiesModel(world.apart()).run(3000).measure().run(4000).figures();
      sizes.add((double) n);
      double[] row = {
        alone.probesByDatabase(),
        shared.probesByDatabase(),
        alone.age95(),
        shared.age95(),
        shared.datagramsByInstance(),
        0
      };
      for (int i = 0; i < row.length; i++) {
        figures.get(i).add(row[i]);
      }
      System.out.printf(
          java.util.Locale.ROOT,
          "%d instances: probes %.1f alone, %.1f shared; age %.0f alone, %.0f shared; datagrams %.0f%n",
          n,
          row[0],
          row[1],
          row[2],
          row[3],
          row[4]);
    }
    var image = new BufferedImage(3 * WIDTH, HEIGHT, BufferedImage.TYPE_INT_RGB);
    Graphics2D g = image.createGraphics();
    draw(g, 0, "probes of a database, a second", sizes, figures.get(0), figures.get(1));
    draw(g, WIDTH, "age of positions, p95, ms", sizes, figures.get(2), figures.get(3));
    draw(g, 2 * WIDTH, "datagrams of an instance, a second", sizes, figures.get(5), figures.get(4));
    g.dispose();
    ImageIO.write(image, "png", file.toFile());
    return 0;
  }

  private static void draw(
      Graphics2D g,
      int x,
      String title,
      List<Double> sizes,
      List<Double> alone,
      List<Double> shared) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("instances")
            .build();
    chart.addSeries("each alone", sizes, alone);
    chart.addSeries("shared", sizes, shared);
    Graphics2D part = (Graphics2D) g.create(x, 0, WIDTH, HEIGHT);
    chart.paint(part, WIDTH, HEIGHT);
    part.dispose();
  }
}
