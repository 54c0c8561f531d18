package crankspar.lab.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the answers while a run goes on: positions against the stand-ins' own clock of commits,
 * each session's reads against its own writes. Answers tell a position (Unix ms) as their first
 * value; one that tells none is counted. Bounded: the first faults are kept in words, all of them
 * are counted.
 */
public final class Checker {
  /**
   * Clocks of one machine, read one after the other, and the time from sending to the server (ms).
   */
  private static final double SLACK = 50;

  private static final int WORDS_MOST = 20;

  private final Map<Integer, Double> writes = new HashMap<>();
  private final List<String> words = new ArrayList<>();
  private long stale, unseen, untold, checked;

  /** An answer; {@code sentAt} is when its request left (Unix ms). */
  public void answered(Workload.Kind kind, Asked a, double sentAt, double seesFrom, String value) {
    if (kind.check() == Workload.Check.NONE && !kind.write()) {
      return;
    }
    double position;
    try {
      position = value == null ? Double.NaN : Double.parseDouble(value);
    } catch (NumberFormatException e) {
      position = Double.NaN;
    }
    if (Double.isNaN(position)) {
      untold++;
      return;
    }
    checked++;
    if (kind.write()) {
      writes.merge(a.session(), position, Math::max);
    } else if (kind.check() == Workload.Check.BOUND && position < sentAt - kind.bound() - SLACK) {
      stale++;
      say(
          kind.name()
              + " "
              + a.number()
              + " was answered from "
              + Math.round(sentAt - position)
              + " ms ago, its bound is "
              + kind.bound());
    } else if (kind.check() == Workload.Check.SESSION && position < seesFrom) {
      unseen++;
      say(
          kind.name()
              + " "
              + a.number()
              + " of session "
              + a.session()
              + " does not show its own write, "
              + Math.round(seesFrom - position)
              + " ms");
    }
  }

  private void say(String what) {
    if (words.size() < WORDS_MOST) {
      words.add(what);
    }
  }

  /**
   * The newest write of a session that was answered by now, or -infinity: what a read that leaves
   * now must see.
   */
  public double mustSee(int session) {
    return writes.getOrDefault(session, Double.NEGATIVE_INFINITY);
  }

  public long stale() {
    return stale;
  }

  public long unseen() {
    return unseen;
  }

  public long untold() {
    return untold;
  }

  public long checked() {
    return checked;
  }

  public List<String> words() {
    return words;
  }
}
