package crankspar.lab.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * When requests are meant to leave: a Poisson process of the shapes' rate by thinning (Lewis and
 * Shedler 1979), or evenly spaced by its integral. The same generator of chance gives the same
 * times.
 */
public final class Arrivals {
  /** Steps (ms) in which an uneven rate is added up. */
  private static final double STEP = 1;

  private final List<Shape> shapes;
  private final boolean even;
  private final UniformRandomProvider chance;
  private final double most;
  private double now;
  private double owed;

  public Arrivals(List<Shape> shapes, boolean even, UniformRandomProvider chance) {
    this.shapes = List.copyOf(shapes);
    this.even = even;
    this.chance = chance;
    most = shapes.stream().mapToDouble(Shape::most).sum();
  }

  public double rate(double ms) {
    double sum = 0;
    for (Shape s : shapes) {
      sum += s.rate(ms);
    }
    return sum;
  }

  /** The next time (ms from the start), or infinity where none comes before {@code end}. */
  public double next(double end) {
    return most <= 0 ? Double.POSITIVE_INFINITY : even ? spaced(end) : thinned(end);
  }

  private double thinned(double end) {
    while (now < end) {
      now -= Math.log(1 - chance.nextDouble()) * 1000 / most;
      if (now < end && chance.nextDouble() * most < rate(now)) {
        return now;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  private double spaced(double end) {
    while (now < end) {
      double rate = rate(now) / 1000;
      double step = Math.min(STEP, end - now);
      if (owed + rate * step >= 1) {
        now += (1 - owed) / rate;
        owed = 0;
        return now;
      }
      owed += rate * step;
      now += step;
    }
    return Double.POSITIVE_INFINITY;
  }
}
