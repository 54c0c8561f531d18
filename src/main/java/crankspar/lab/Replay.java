package crankspar.lab;

import java.util.ArrayDeque;

/**
 * How far a replica has applied its primary's log: one thread takes entry after entry, each for its
 * own time, and stands still while a long read holds it. Times are ms on the fleet's one clock; a
 * class without a clock of its own.
 */
public final class Replay {
  private record Entry(double commit, double arrives, double cost) {}

  private static final int ENTRIES_MOST = 200_000;

  private final ArrayDeque<Entry> log = new ArrayDeque<>();
  private final double delay;
  private double slower = 1;
  private double blockedUntil = Double.NEGATIVE_INFINITY;
  private double freeAt = Double.NEGATIVE_INFINITY;
  private double applied = Double.NEGATIVE_INFINITY;
  private long lost;

  /** The log comes after {@code delay} ms. */
  Replay(double delay) {
    this.delay = delay;
  }

  void commit(double now, double cost) {
    if (log.size() >= ENTRIES_MOST) {
      lost++;
      log.poll();
    }
    log.add(new Entry(now, now + delay, cost));
  }

  /** A read holds the log until then. */
  void block(double until) {
    blockedUntil = Math.max(blockedUntil, until);
  }

  /** From now on each entry takes so many times as long. */
  public void slower(double factor) {
    slower = factor;
  }

  /** The position that it would tell: all of the log up to then is applied. */
  double position(double now) {
    while (!log.isEmpty()) {
      Entry e = log.peek();
      double begin = Math.max(Math.max(e.arrives(), freeAt), blockedUntil);
      double end = begin + e.cost() * slower;
      if (end > now) {
        // Between entries it is as far as the log that has come, where none waits.
        applied =
            Math.max(applied, e.arrives() > now && freeAt <= now ? now - delay : e.commit() - 1);
        return applied;
      }
      freeAt = end;
      log.poll();
      applied = Math.max(applied, e.commit());
    }
    applied = Math.max(applied, blockedUntil > now ? applied : now - delay);
    return applied;
  }

  long lost() {
    return lost;
  }
}
