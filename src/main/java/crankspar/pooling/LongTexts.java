package crankspar.pooling;

/**
 * Shares the loop's time between long texts and everything else: reading a text takes time in
 * proportion to its length, and clients that send one long text after another would leave no time
 * to others. After a long text has been read, the next one waits for a multiple of the time that it
 * took. A decision class: it is told the time and does no I/O.
 */
final class LongTexts {
  /** Messages with a text of more bytes than this take turns. */
  static final int LONG_BYTES = 16 * 1024;

  /** How long a long text waits for its turn before it is refused (ms). */
  static final double WAIT_MOST_MS = 500;

  /** Long texts wait for so many times the time that the last one took. */
  private static final double PAUSE_FACTOR = 3;

  /** ... and no longer than this (ms): a stop of the process may be in that time. */
  private static final double PAUSE_MOST_MS = 500;

  private double openAt = Double.NEGATIVE_INFINITY;

  /** Whether a message has a text that takes turns. */
  static boolean isLong(Frame frame) {
    return (frame.type() == 'Q' || frame.type() == 'P') && frame.size() > LONG_BYTES;
  }

  /** Whether a long text may be read now (ms). */
  boolean mayRead(double now) {
    return now >= openAt;
  }

  /** When the next long text may be read (ms). */
  double openAt() {
    return openAt;
  }

  /** A long text was read from {@code began} to {@code now} (ms). */
  void read(double began, double now) {
    openAt = now + Math.min(PAUSE_MOST_MS, PAUSE_FACTOR * Math.max(0, now - began));
  }
}
