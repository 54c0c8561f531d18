package crankspar.net;

/**
 * How late the loop runs what is due, as a figure for operators: the most since the start and the
 * most of the last ten to twenty seconds. It knows no clock: times are milliseconds on the loop's.
 */
final class LoopLag {
  /** The length of one of the two windows (ms). */
  static final double WINDOW = 10_000;

  private double windowBegan = Double.NEGATIVE_INFINITY;
  private double present;
  private double previous;
  private double most;

  /** A task that was due at {@code due} begins. */
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

  /** The most of the present and the previous window (ms). */
  double recent(double now) {
    roll(now);
    return Math.max(present, previous);
  }

  /** The most since the start (ms). */
  double most() {
    return most;
  }
}
