package crankspar.core;

import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Tells operators what became of requests: each refusal, retry and close with the request's id and
 * the reason. The first lines of each second are logged as INFO; the others are FINE, and their
 * number is told, so that an overload does not spend the processor on its log.
 */
public final class RequestLog {
  private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());

  /** Lines a second that are INFO. */
  static final int MAX_INFO_LINES = 20;

  private static final double WINDOW_MS = 1000;

  /** Tells nobody: a rehearsal's, and until another one is set. */
  static final RequestLog NONE = new RequestLog(null);

  private final Ports.Time time;
  private double windowBegan = Double.NEGATIVE_INFINITY;
  private int lines;
  private long leftOut;

  public RequestLog(Ports.Time time) {
    this.time = time;
  }

  /** {@code event} is what happened, such as "refused"; {@code details} is worded if it is read. */
  public void write(String event, String request, Supplier<String> details) {
    if (time == null) {
      return;
    }
    double now = time.now();
    if (now - windowBegan >= WINDOW_MS) {
      begin(now);
    }
    boolean first = lines < MAX_INFO_LINES;
    lines++;
    leftOut += first ? 0 : 1;
    LOG.log(
        first ? Level.INFO : Level.FINE,
        () -> "request " + request + " " + event + ": " + details.get());
  }

  private void begin(double now) {
    if (leftOut > 0) {
      LOG.info(leftOut + " further lines of this kind are left out (FINE)");
    }
    windowBegan = now;
    lines = 0;
    leftOut = 0;
  }
}
