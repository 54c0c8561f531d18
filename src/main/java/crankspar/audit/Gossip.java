package crankspar.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * To whom a pooler tells its digest, and when: in each round its nearest neighbours by number, on
 * both sides, and one other, spread evenly, so that each pooler's messages are flat in the number
 * of poolers. Neighbours hear each other five times a second, which a word needs to count ({@link
 * Standing}); who is not seen any more is passed over for the next. Without clock or chance.
 */
public final class Gossip {
  /** Between two rounds (ms): 25 datagrams a second for each pooler, whatever their number. */
  public static final double PERIOD = 200;

  /** On each side; two tell alike even where a third of all datagrams is lost. */
  static final int NEAR = 2;

  /** Others at once, beside the neighbours, where there is news. */
  static final int NEWS = 4;

  /** Two news within this (ms) are told together. */
  static final double APART = 20;

  private final int me, poolers;
  private int turn;
  private double newsAt = Double.NEGATIVE_INFINITY;

  public Gossip(int me, int poolers) {
    this.me = me;
    this.poolers = poolers;
  }

  /** Whom to tell in this round; {@code seen} says who was heard lately. */
  public List<Integer> round(IntPredicate seen) {
    return next(1, seen);
  }

  /** Whom to tell at once: none where news was told a moment ago, as the next round brings it. */
  public List<Integer> news(double now, IntPredicate seen) {
    if (now - newsAt < APART) {
      return List.of();
    }
    newsAt = now;
    return next(NEWS, seen);
  }

  private List<Integer> next(int others, IntPredicate seen) {
    var whom = new ArrayList<Integer>(4 * NEAR + others);
    near(whom, 1, seen);
    near(whom, poolers - 1, seen);
    for (int n = 0, tries = 0; tries < 4 * NEWS && n < others; tries++) {
      int at = Integer.remainderUnsigned(mixed(++turn), poolers);
      if (at != me && !whom.contains(at)) {
        whom.add(at);
        n++;
      }
    }
    return whom;
  }

  /**
   * Spread as if by chance, another order for each pooler: what one hears within some seconds is a
   * fair sample of all.
   */
  private int mixed(int n) {
    int h = (me * 0x9E3779B9 ^ n) * 0x85EBCA6B;
    h = (h ^ h >>> 15) * 0xC2B2AE35;
    return h ^ h >>> 13;
  }

  /**
   * The nearest on one side, and so many more as are not seen among them: one that comes back is
   * told as well.
   */
  private void near(List<Integer> whom, int step, IntPredicate seen) {
    int found = 0;
    for (int i = 1; i < poolers && found < NEAR; i++) {
      int at = (int) ((me + (long) i * step) % poolers);
      if (at == me) {
        return;
      }
      boolean there = seen.test(at);
      found += there ? 1 : 0;
      if ((there || i <= NEAR) && !whom.contains(at)) {
        whom.add(at);
      }
    }
  }
}
