package crankspar.lab.load;

/** How many requests a second are asked at a time (ms from the start). Shapes add up. */
public sealed interface Shape {
  double rate(double ms);

  /** The highest it ever is: what thinning starts from. */
  double most();

  record Constant(double rate) implements Shape {
    @Override
    public double rate(double ms) {
      return rate;
    }

    @Override
    public double most() {
      return rate;
    }
  }

  /** Up and down like a day, {@code swing} (0 to 1) about its mean. */
  record Wave(double mean, double swing, double period) implements Shape {
    @Override
    public double rate(double ms) {
      return mean * (1 + swing * Math.sin(2 * Math.PI * ms / period));
    }

    @Override
    public double most() {
      return mean * (1 + swing);
    }
  }

  /** From a time on another rate. */
  record Step(double at, double before, double after) implements Shape {
    @Override
    public double rate(double ms) {
      return ms < at ? before : after;
    }

    @Override
    public double most() {
      return Math.max(before, after);
    }
  }

  /**
   * The minutes before lineup lock: it grows to its peak at {@code at}, ever faster, and is over at
   * once.
   */
  record Spike(double at, double rise, double peak) implements Shape {
    @Override
    public double rate(double ms) {
      double x = 1 - (at - ms) / rise;
      return ms > at || x < 0 ? 0 : peak * x * x;
    }

    @Override
    public double most() {
      return peak;
    }
  }

  /** On for a part of each period, off for the rest. */
  record Bursts(double rate, double period, double on) implements Shape {
    @Override
    public double rate(double ms) {
      return ms % period < on ? rate : 0;
    }

    @Override
    public double most() {
      return rate;
    }
  }

  /** A rate from a time on, for so long; none before and after. */
  record Burst(double at, double lasts, double rate) implements Shape {
    @Override
    public double rate(double ms) {
      return ms >= at && ms < at + lasts ? rate : 0;
    }

    @Override
    public double most() {
      return rate;
    }
  }
}
