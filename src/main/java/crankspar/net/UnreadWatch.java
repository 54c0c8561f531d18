package crankspar.net;

import crankspar.core.Ports;

/** Ends a connection whose peer takes nothing of what waits for it for too long. */
final class UnreadWatch {
  /** Clients spend seconds reading a long answer; one that takes nothing for so long is gone. */
  static final double STANDSTILL_MOST_MS = 15_000;

  private final Ports.Time time;
  private final OutputQueue queue;
  private final Runnable end;
  private Ports.Timer timer;

  UnreadWatch(Ports.Time time, OutputQueue queue, Runnable end) {
    this.time = time;
    this.queue = queue;
    this.end = end;
  }

  /** Watches while something waits; called whenever it may have changed. */
  void update() {
    if (timer == null && !queue.isEmpty()) {
      long before = queue.taken();
      timer = time.timer(STANDSTILL_MOST_MS, () -> check(before));
    }
  }

  private void check(long before) {
    timer = null;
    if (!queue.isEmpty() && queue.taken() == before) {
      end.run();
    } else {
      update();
    }
  }

  void cancel() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }
}
