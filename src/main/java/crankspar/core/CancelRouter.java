package crankspar.core;

import java.util.logging.Logger;

/**
 * Routes each cancel request of a front to its session, which may be at another process of this
 * pooler: during an upgrade both processes listen, or only the one that does not know the other's
 * keys. Cancels from other processes are polled every {@link #POLL_PERIOD_MS} ms, and by {@link
 * #deliverShared} before a write. Confined to the event loop.
 */
public final class CancelRouter {
  private static final Logger LOG = Logger.getLogger(CancelRouter.class.getName());
  private static final double POLL_PERIOD_MS = 20;

  /** The sessions of this process. */
  public interface Sessions {
    /**
     * Cancels the session that the key identifies; returns false if there is none, or if the secret
     * differs.
     */
    boolean cancel(int process, int secret);
  }

  private final Ports.Time time;
  private final Counters counters;
  private final String counter;
  private final Sessions sessions;

  /** Null if cancels are not shared with another process. */
  private Ports.SharedCancels shared;

  /**
   * When a loss of shared cancels was last detected (ms); a request that arrived before then may
   * have been cancelled.
   */
  private double lostAt = Double.NEGATIVE_INFINITY;

  /**
   * Counts under {@code counter} with the suffixes {@code _unknown}, {@code _lost} and {@code
   * _from_another_process}.
   */
  public CancelRouter(Ports.Time time, Counters counters, String counter, Sessions sessions) {
    this.time = time;
    this.counters = counters;
    this.counter = counter;
    this.sessions = sessions;
  }

  /** Shares cancels with the process that this one replaces, or that replaces it. */
  public void share(Ports.SharedCancels cancels) {
    shared = cancels;
    pollShared();
  }

  private void pollShared() {
    deliverShared();
    time.after(POLL_PERIOD_MS, this::pollShared);
  }

  /** Handles a cancel request that arrived at this process. */
  public void cancel(int process, int secret) {
    if (sessions.cancel(process, secret)) {
      return;
    }
    counters.add(counter + "_unknown");
    if (shared != null) {
      shared.add((long) process << Integer.SIZE | Integer.toUnsignedLong(secret));
    }
  }

  /** Delivers the cancels that have arrived at other processes so far. */
  public void deliverShared() {
    if (shared == null) {
      return;
    }
    if (!shared.takeNew(key -> deliver((int) (key >> Integer.SIZE), (int) key))) {
      lostAt = time.now();
      counters.add(counter + "_lost");
      LOG.warning(
          "shared cancels were overwritten before they could be read: some cancels are lost");
    }
  }

  /** Whether a cancel may have been lost for a request that arrived at this time (ms). */
  public boolean mayHaveLost(double receivedAt) {
    return receivedAt <= lostAt;
  }

  private void deliver(int process, int secret) {
    if (sessions.cancel(process, secret)) {
      counters.add(counter + "_from_another_process");
    }
  }
}
