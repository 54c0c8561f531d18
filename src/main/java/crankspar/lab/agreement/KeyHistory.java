package crankspar.lab.agreement;

import crankspar.lab.history.Linearizability;
import crankspar.lab.history.Linearizability.Call;
import crankspar.lab.history.Linearizability.Verdict;
import crankspar.store.agreed.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What clients asked of each key, what they were answered and when, and whether one copy could have
 * answered so.
 */
final class KeyHistory {
  private static final int CONFIGURATIONS_MOST = 200_000;

  /** A value to write (with the revision that the key must be at, or -1), or null to read it. */
  record Ask(String key, String value, long revision) {}

  /**
   * One key: its value and the revision that wrote it last or, where nobody was told that, one that
   * it is above.
   */
  private record Cell(String value, long revision, boolean known) {
    boolean mayBeAt(long other) {
      return known ? other == revision : other > revision;
    }
  }

  private static final Linearizability.Model<Cell, Ask, Object> CELL =
      new Linearizability.Model<>() {
        @Override
        public Cell start() {
          return new Cell("", 0, true);
        }

        @Override
        public Cell next(Cell at, Ask ask, Object answer) {
          if (ask.value() == null) {
            return answer == null || answer.equals(at.value()) ? at : null;
          }
          boolean met = ask.revision() < 0 || at.mayBeAt(ask.revision());
          if (answer instanceof Result.Done d) {
            return met && d.revision() > Math.max(at.revision(), ask.revision())
                ? new Cell(ask.value(), d.revision(), true)
                : null;
          } else if (answer instanceof Result.Unmet u) {
            return u.revision() != ask.revision() && at.mayBeAt(u.revision())
                ? new Cell(at.value(), u.revision(), true)
                : null;
          }
          return met ? new Cell(ask.value(), Math.max(at.revision(), ask.revision()), false) : at;
        }
      };

  private final Map<String, List<Call<Ask, Object>>> calls = new TreeMap<>();

  /** {@code answer} is null where none came, and {@code ended} infinite. */
  void note(Ask ask, double began, double ended, Object answer) {
    calls
        .computeIfAbsent(ask.key(), k -> new ArrayList<>())
        .add(new Call<>(began, ended, ask, answer));
  }

  /**
   * Which key's history no single copy could have answered, or null; one that is too long to tell
   * is passed over.
   */
  String broken() {
    for (Map.Entry<String, List<Call<Ask, Object>>> e : calls.entrySet()) {
      if (Linearizability.check(CELL, e.getValue(), CONFIGURATIONS_MOST) == Verdict.BROKEN) {
        return "the history of " + e.getKey() + " is not linearizable";
      }
    }
    return null;
  }
}
