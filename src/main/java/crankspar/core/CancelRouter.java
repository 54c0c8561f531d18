package crankspar.core;

import java.util.logging.Logger;

/**
 * Brings each cancel of a front to its client's session, which may be at another process of this
 * pooler: during an upgrade both listen, or only the one that knows no key of the other's. Cancels
 * of others are looked for every {@link #PERIOD_MS}, and by {@link #deliverShared} before a write.
 * On the loop only.
 */
public final class CancelRouter {
  private static final Logger LOG = Logger.getLogger(CancelRouter.class.getName());
  private static final double PERIOD_MS = 20;

  /** The sessions of this process. */
  public interface Sessions {
    /** Cancels what the key names; false where it names nobody, or the secret is another. */
    boolean cancel(int process, int secret);
  }

  private final Ports.Time time;
  private final Counters counters;
  private final String counter;
  private final Sessions sessions;

  /** Null where no other process hears of them. */
  private Ports.SharedCancels shared;

  /** When some were last found lost (ms); what came before then may have been canceled. */
  private double lostAt = Double.NEGATIVE_INFINITY;

  /** Counts under {@code counter}, with {@code _unknown} or {@code _from_another_process}. */
  public CancelRouter(Ports.Time time, Counters counters, String counter, Sessions sessions) {
    this.time = time;
    this.counters = counters;
    this.counter = counter;
    this.sessions = sessions;
  }

  /** From now on they are shared with the process that this one replaces, or that replaces it. */
  public void share(Ports.SharedCancels with) {
    shared = with;
    takePeriodically();
  }

  private void takePeriodically() {
    deliverShared();
    time.after(PERIOD_MS, this::takePeriodically);
  }

  /** A cancel has reached this process. */
  public void cancel(int process, int secret) {
    if (sessions.cancel(process, secret)) {
      return;
    }
    counters.add(counter + "_unknown");
    if (shared != null) {
      shared.add((long) process << Integer.SIZE | Integer.toUnsignedLong(secret));
    }
  }

  /** Takes in the cancels that have reached other processes by now. */
  public void deliverShared() {
    if (shared == null) {
      return;
    }
    if (!shared.takeNew(key -> cancelShared((int) (key >> Integer.SIZE), (int) key))) {
      lostAt = time.now();
      counters.add(counter + "_lost");
      LOG.warning("more cancels reached another process than could be read: some are lost");
    }
  }

  /** Whether a cancel may be lost that was meant for what came at this time (ms). */
  public boolean mayHaveLost(double came) {
    return came <= lostAt;
  }

  private void cancelShared(int process, int secret) {
    if (sessions.cancel(process, secret)) {
      counters.add(counter + "_from_another_process");
    }
  }
}
