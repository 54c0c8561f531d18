package crankspar.core;

import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs each refusal, retry and closed connection with the request's id and the reason. The first
 * lines of each second are logged as INFO. Further lines are logged as FINE and their number is
 * reported, so that logging does not consume the processor under overload.
 */
public final class RequestLog {
  private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());

  /** Maximum number of INFO lines per second. */
  static final int MAX_INFO_LINES = 20;

  private static final double WINDOW_MS = 1000;

  /** Discards all lines: the default, and for warm-up runs. */
  static final RequestLog NONE = new RequestLog(null);

  private final Ports.Time time;
  private double windowStart = Double.NEGATIVE_INFINITY;
  private int lines;
  private long suppressed;

  public RequestLog(Ports.Time time) {
    this.time = time;
  }

  /**
   * Logs {@code event}, such as "refused"; {@code details} is evaluated only if the line is logged.
   */
  public void write(String event, String request, Supplier<String> details) {
    if (time == null) {
      return;
    }
    double now = time.now();
    if (now - windowStart >= WINDOW_MS) {
      startWindow(now);
    }
    boolean first = lines < MAX_INFO_LINES;
    lines++;
    suppressed += first ? 0 : 1;
    LOG.log(
        first ? Level.INFO : Level.FINE,
        () -> "request " + request + " " + event + ": " + details.get());
  }

  private void startWindow(double now) {
    if (suppressed > 0) {
      LOG.info(suppressed + " further request log lines were suppressed (logged as FINE)");
    }
    windowStart = now;
    lines = 0;
    suppressed = 0;
  }
}
