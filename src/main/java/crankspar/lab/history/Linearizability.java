package crankspar.lab.history;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a history of overlapping calls is linearizable: whether each call can be given one moment
 * between its start and its answer such that, in the order of these moments, a single copy would
 * have answered the same (Wing and Gong 1993, with the memo of Lowe 2017: a set of calls done and
 * the state they led to is looked at once). A call without an answer may have been done at any
 * moment from its start on, or never. The search is bounded: past so many configurations it says
 * that it does not know, never that all is well.
 */
public final class Linearizability {
  private Linearizability() {}

  /** A call; {@code answer} is null where none came, and {@code end} infinite. */
  public record Call<I, O>(double start, double end, I input, O answer) {}

  /**
   * One copy of what is called, as a value: {@code next} is what it becomes, or null where it would
   * not have answered so.
   */
  public interface Model<S, I, O> {
    S start();

    /** {@code answer} is null where it is not known: any will do. */
    S next(S state, I input, O answer);
  }

  public enum Verdict {
    LINEARIZABLE,
    BROKEN,
    UNKNOWN
  }

  private record Seen<S>(BitSet done, S state) {}

  /** Looks at {@code most} configurations at most; states are compared by {@code equals}. */
  public static <S, I, O> Verdict check(Model<S, I, O> model, List<Call<I, O>> history, int most) {
    List<Call<I, O>> calls = new ArrayList<>(history);
    calls.sort(Comparator.comparingDouble(Call::start));
    Set<Seen<S>> seen = new HashSet<>();
    List<Seen<S>> open = new ArrayList<>();
    open.add(new Seen<>(new BitSet(), model.start()));
    while (!open.isEmpty()) {
      Seen<S> at = open.remove(open.size() - 1);
      double first =
          Double.POSITIVE_INFINITY; // nothing may come before a call that had been answered by then
      boolean over = true;
      for (int i = 0; i < calls.size(); i++) {
        if (!at.done().get(i)) {
          first = Math.min(first, calls.get(i).end());
          over &= calls.get(i).answer() == null;
        }
      }
      if (over) {
        return Verdict.LINEARIZABLE;
      }
      for (int i = calls.size() - 1; i >= 0; i--) {
        Call<I, O> c = calls.get(i);
        if (at.done().get(i) || c.start() > first) {
          continue;
        }
        S next = model.next(at.state(), c.input(), c.answer());
        if (next == null) {
          continue;
        }
        BitSet done = (BitSet) at.done().clone();
        done.set(i);
        var then = new Seen<>(done, next);
        if (seen.add(then)) {
          if (seen.size() > most) {
            return Verdict.UNKNOWN;
          }
          open.add(then);
        }
      }
    }
    return Verdict.BROKEN;
  }
}
