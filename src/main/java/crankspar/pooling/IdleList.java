package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Which idle connection is used next, and which are kept: without sockets, clocks or chance of its
 * own.
 */
final class IdleList {
  /**
   * One idle connection: since when it is open, since when idle (ms), and its own jitter from 0 to
   * 1.
   */
  interface Idle {
    double openedAt();

    double idleSince();

    double jitter();
  }

  /**
   * Lifetimes differ by up to this share either way: connections opened together do not end
   * together.
   */
  static final double JITTER = 0.1;

  private IdleList() {}

  /**
   * The one nearest to a client's state, of these the one used last: its caches are warm and the
   * others may age.
   */
  static <T extends Idle> T choose(List<T> idle, ToIntFunction<T> distance) {
    T best = null;
    int least = Integer.MAX_VALUE;
    for (T one : idle) {
      int d = distance.applyAsInt(one);
      if (best == null || d < least || d == least && one.idleSince() > best.idleSince()) {
        best = one;
        least = d;
      }
    }
    return best;
  }

  /**
   * The idle ones to be closed now. Past its lifetime one goes in any case, past its idle time
   * beyond the least.
   */
  static <T extends Idle> List<T> expired(List<T> idle, Setup.Places places, int open, double now) {
    var all = new ArrayList<T>();
    int left = open;
    for (T one : idle) {
      if (old(one, places, now) || left > places.least() && now - one.idleSince() > places.idle()) {
        all.add(one);
        left--;
      }
    }
    return all;
  }

  /** Whether a connection is past its lifetime, which is its own. */
  static boolean old(Idle one, Setup.Places places, double now) {
    return now - one.openedAt() > places.lifetime() * (1 - JITTER + 2 * JITTER * one.jitter());
  }
}
