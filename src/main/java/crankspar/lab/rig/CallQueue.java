package crankspar.lab.rig;

import crankspar.net.EventLoop;
import java.util.ArrayDeque;

/** Calls that a stand-in handles in turn, each for some time; one that waited too long fails. */
final class CallQueue {
  private static final double WAIT_MOST_MS = 2000;

  private final EventLoop loop;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  private double eachMs;
  private double waitMostMs = WAIT_MOST_MS;
  private boolean busy;
  private long came;
  private long failed;

  CallQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Each call takes so long (ms), and fails once it has waited longer than {@code waitMostMs}. */
  void capacity(double eachMs, double waitMostMs) {
    this.eachMs = eachMs;
    this.waitMostMs = waitMostMs;
  }

  void add(Runnable call, Runnable overdue) {
    double at = loop.now();
    came++;
    waiting.add(
        () -> {
          if (loop.now() - at > waitMostMs) {
            failed++;
            overdue.run();
            done();
          } else {
            loop.after(
                eachMs,
                () -> {
                  call.run();
                  done();
                });
          }
        });
    next();
  }

  private void done() {
    busy = false;
    next();
  }

  private void next() {
    if (!busy && !waiting.isEmpty()) {
      busy = true;
      waiting.poll().run();
    }
  }

  long came() {
    return came;
  }

  long failed() {
    return failed;
  }
}
