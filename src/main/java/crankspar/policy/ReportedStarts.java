package crankspar.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The starts of one member that lists have reported. A start is known by its stamp, not by the
 * order of stamps: the wall clock steps back, and the return that an operator noted ends in the
 * start that the list had told before.
 */
final class ReportedStarts {
  /** Starts remembered; the oldest one is forgotten. */
  private static final int MAX_STARTS = 8;

  private final Set<Double> starts = new LinkedHashSet<>();

  /** Takes a reported start; false where it was reported before. */
  boolean add(double start) {
    boolean isNew = starts.add(start);
    if (starts.size() > MAX_STARTS) {
      starts.remove(starts.iterator().next());
    }
    return isNew;
  }
}
