package crankspar.net;

/**
 * Detects stalls of the process: it was stopped by a signal, a long garbage collection or a paused
 * machine, or one task took as long. The loop reports each step; the time between two steps is
 * bounded unless the process stalls. Has no clock of its own: times are milliseconds of the loop's
 * clock. Steps are reported by one thread; queries come from any.
 */
final class StallDetector {
  /**
   * A longer time (ms) between two steps is a stall. The rules let new work reach a database for
   * 250 ms after a drain was announced; a shorter stall stays within that.
   */
  static final double THRESHOLD = 200;

  /**
   * A signal handled within this time (ms) after a stall may have arrived at the beginning of the
   * stall.
   */
  static final double AFTERMATH = 250;

  private volatile double lastStep = Double.NaN;
  private volatile double stallBegan = Double.NEGATIVE_INFINITY;
  private volatile double stallEnded = Double.NEGATIVE_INFINITY;
  private double stalledSoFar;
  private volatile double stalled;

  /** Reports a step; returns how long the process was stalled before it (ms), or 0. */
  double step(double now) {
    double since = now - lastStep;
    if (since > THRESHOLD) {
      stallBegan = lastStep;
      stallEnded = now;
      stalledSoFar += since;
      stalled = stalledSoFar;
    }
    lastStep = now;
    return since > THRESHOLD ? since : 0;
  }

  /** The total duration of all stalls since the start (ms). */
  double stalled() {
    return stalled;
  }

  /** The earliest time at which an event noticed now outside of the sockets may have happened. */
  double earliest(double now) {
    if (now - lastStep > THRESHOLD) {
      return lastStep;
    }
    return now - stallEnded <= AFTERMATH ? stallBegan : now;
  }
}
