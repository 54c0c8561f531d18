package crankspar.net;

/**
 * Measures how late the loop runs tasks that are due, for operators: the maximum since the start
 * and that of the last ten to twenty seconds. Has no clock of its own: times are milliseconds of
 * the loop's clock.
 */
final class LoopLag {
  /** The length of one of the two windows (ms). */
  static final double WINDOW = 10_000;

  private double windowBegan = Double.NEGATIVE_INFINITY;
  private double present;
  private double previous;
  private double most;

  /** A task that was due at {@code due} starts. */
  void began(double due, double now) {
    roll(now);
    double late = Math.max(0, now - due);
    present = Math.max(present, late);
    most = Math.max(most, late);
  }

  private void roll(double now) {
    if (now - windowBegan < WINDOW) {
      return;
    }
    previous = now - windowBegan < 2 * WINDOW ? present : 0;
    present = 0;
    windowBegan = now;
  }

  /** The maximum of the current and the previous window (ms). */
  double recent(double now) {
    roll(now);
    return Math.max(present, previous);
  }

  /** The maximum since the start (ms). */
  double most() {
    return most;
  }
}
