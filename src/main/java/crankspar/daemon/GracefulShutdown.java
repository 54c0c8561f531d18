package crankspar.daemon;

import crankspar.Router;
import crankspar.mgmt.Operations.Done;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * How this pooler goes: for good at a signal, or until an operator has it serve again. Clients use
 * the connections that they have for as long as these stay open, so that what is idle is closed
 * gently and what is owed is answered first.
 */
final class GracefulShutdown {
  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

  /** A stop is followed by a kill no sooner than the longest deadline, or this (ms), ... */
  private static final double KILL_MOST = 3000;

  /** ... and this much later. */
  private static final double KILL_AFTER = 700;

  /**
   * How long before the kill the last answer is out, and how long before that the last request is
   * taken (ms).
   */
  private static final double SPARE = 300;

  private static final double LAST_REQUEST = 700;

  /**
   * After the call to drain (ms): the front asks every 0.1 s, and new connections come for 0.2 s
   * after it has heard the first no. What a busy machine adds is allowed for.
   */
  private static final double STILL_OPEN = 700;

  /** How often an end looks whether all is answered (ms). */
  private static final double END_LOOK = 20;

  /**
   * What is answered last has so long (ms) to leave: a little less than is spared before the kill.
   */
  private static final double LAST_BYTES = 200;

  private final Assembly parts;
  private double longest;

  /** On the loop: an operator has this pooler leave. */
  private boolean on;

  private int drains;

  GracefulShutdown(Assembly parts) {
    this.parts = parts;
  }

  boolean on() {
    return on;
  }

  /** A stop waits for the longest that any front's clients do. */
  void waitsFor(Router.Settings settings) {
    longest =
        Math.max(
            longest,
            settings.classes().stream().mapToDouble(Router.RequestClass::timeout).max().orElse(0));
  }

  /**
   * Ends in order: still open, then nothing new, then the last answers. Guards against a gap:
   * poolers are restarted in turn, and one that closed 0.6 s after its signal was gone for 2 s
   * before the one before it was back.
   */
  void stop(double noticed) throws InterruptedException {
    double now = parts.loop.now();
    // The signal may have come while the process stood still.
    double signalled = Math.min(now - noticed, parts.loop.earliestOfNow());
    if (parts.peering.shared() != null) {
      parts.loop.run(parts.peering.shared()::leave);
    }
    double answered = signalled + Math.min(longest, KILL_MOST) + KILL_AFTER - SPARE;
    // First: of two processes that are told to end together, each took the other for its successor,
    // and both closed their doors.
    parts.instanceLock.close();
    if (parts.instanceLock.another()) {
      handOver(answered);
    } else {
      alone(signalled, answered);
    }
    parts.settle();
    parts.loop.runAndWait(this::logCounters);
  }

  private void logCounters() {
    long lag = Math.round(parts.loop.mostLag());
    System.err.println("counters " + parts.counters + " loop_lag_most_ms=" + lag);
  }

  private void await(CountDownLatch done, double until) throws InterruptedException {
    done.await((long) Math.max(0, until - parts.loop.now()), TimeUnit.MILLISECONDS);
  }

  /**
   * Both times are on the loop's clock. Guards against a loop that is late: graces that began when
   * it came to this task left open what the kill then found unanswered. What was taken before the
   * signal was noticed has its deadline from then: past its grace it is answered in time, too.
   */
  private void alone(double signalled, double answered) throws InterruptedException {
    var done = new CountDownLatch(1);
    double drained = Math.max(signalled + KILL_AFTER - SPARE, answered - LAST_REQUEST);
    parts.loop.runUrgent(
        () -> {
          parts.fronts.forEach(
              f -> {
                f.front().stopping();
                f.core().setShutdownDeadline(answered);
              });
          parts.loop.after(
              answered - parts.loop.now(),
              () -> parts.fronts.forEach(f -> f.core().failUnanswered(signalled + KILL_AFTER)));
          double late = Math.min(parts.loop.recentLag(), LAST_REQUEST);
          parts.loop.after(drained - late - parts.loop.now(), () -> drainAll(done));
        });
    await(done, Math.max(drained, answered) + longest);
  }

  /** What is owed from before the signal may go on up to the kill: nothing is given up for it. */
  private void drainAll(CountDownLatch done) {
    parts.fronts.forEach(f -> f.front().drain());
    look(Double.POSITIVE_INFINITY, done);
  }

  /**
   * Ends in favour of a process that serves already: nothing new, idle clients are closed gently,
   * and the end comes with the last answer. Guards against requests that end at the door, and
   * against the kill.
   */
  private void handOver(double answered) throws InterruptedException {
    LOG.info("another process serves: this one ends");
    var done = new CountDownLatch(1);
    parts.loop.runUrgent(
        () -> {
          parts.fronts.forEach(
              f -> {
                f.core().setShutdownDeadline(answered);
                f.front().drain();
              });
          look(answered, done);
        });
    await(done, answered + SPARE);
  }

  /**
   * The end comes once every connection is closed, or when the time is up. Guards against an end
   * that waited for what was owed and then for a fixed time: a request that was half here then was
   * read, sent on and lost, and so were answers that their clients were slow to take.
   */
  private void look(double until, CountDownLatch done) {
    double now = parts.loop.now();
    if (now >= until) {
      parts.fronts.forEach(f -> f.core().failUnanswered(0));
    }
    if (now >= until + LAST_BYTES
        || parts.fronts.stream()
            .allMatch(f -> f.core().unansweredCount() == 0 && f.front().closed())) {
      done.countDown();
    } else {
      parts.loop.after(END_LOOK, () -> look(until, done));
    }
  }

  /** Who asks is told no at once; the doors stay open until nobody is sent here any more. */
  Done drain() {
    if (!parts.serving) {
      return Done.NOT_NOW;
    }
    if (!on) {
      LOG.info("an operator drains this pooler");
      on = true;
      int mine = ++drains;
      parts.fronts.forEach(f -> f.front().reportUnavailable(true));
      parts.loop.after(
          STILL_OPEN,
          () -> {
            if (on && mine == drains) {
              parts.fronts.forEach(f -> f.front().drain());
            }
          });
    }
    return Done.YES;
  }

  Done resume() {
    if (!parts.serving) {
      return Done.NOT_NOW;
    }
    if (on) {
      LOG.info("an operator has this pooler serve again");
      on = false;
      parts.fronts.forEach(
          f -> {
            f.front().reportUnavailable(parts.fenced());
            if (!parts.fenced()) {
              f.front().resume();
            }
          });
    }
    return Done.YES;
  }
}
