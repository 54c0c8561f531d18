package crankspar.lab;

/**
 * The probes that one stand-in database has seen, on its loop: how many, and the longest time
 * without one (ms).
 */
final class ProbeLog {
  private double last = Double.NaN, longest;
  private long count;

  void probed(double now) {
    count++;
    longest = Double.isNaN(last) ? longest : Math.max(longest, now - last);
    last = now;
  }

  /** From now on it is counted anew. */
  void reset(double now) {
    last = now;
    longest = 0;
    count = 0;
  }

  long count() {
    return count;
  }

  /** The time since the last one counts too. */
  double longest(double now) {
    return Math.max(longest, now - last);
  }
}
