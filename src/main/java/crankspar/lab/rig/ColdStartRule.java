package crankspar.lab.rig;

import java.util.List;

/**
 * The rule on a cold database, by the work that all poolers together send to it.
 *
 * <p>A database that has just started can do {@code coldFrom} of its full capacity, and evenly more
 * until it is warm. In any window its budget is N requests of mean work, N being {@code multiple}
 * times what it can do in that time; some more are put down to chance.
 *
 * @param coldFrom share of the capacity at the start
 * @param multiple how many times its present capacity a database bears
 * @param windowMs length of the window
 * @param rampMs time from the start until it is warm
 * @param cores requests that a warm database works on at once
 * @param meanWorkMs time that a mean request keeps a core of a warm database
 */
public record ColdStartRule(
    double coldFrom,
    double multiple,
    double windowMs,
    double rampMs,
    double cores,
    double meanWorkMs) {
  /** Budgets below this many requests have the larger allowance for chance. */
  private static final double SMALL_BUDGET = 30;

  /** A request that reached the database at a time (ms), and its work on a warm one (ms). */
  public record Sent(double at, double workMs) {}

  /** Requests of mean work in a window that ends so long (ms) after the start. */
  double budget(double age) {
    double middle = Math.max(0, age - windowMs / 2);
    double capacity = coldFrom + (1 - coldFrom) * Math.min(1, middle / rampMs);
    return multiple * capacity * cores * windowMs / meanWorkMs;
  }

  private static double allowance(double budget) {
    return budget < SMALL_BUDGET ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
  }

  /**
   * The most that was sent in any window while the database was cold, as a share of its budget and
   * allowance: more than 1 breaks the rule. {@code sent} is in order of time.
   */
  public double worstShare(double start, List<Sent> sent) {
    List<Sent> cold =
        sent.stream().filter(s -> s.at() >= start && s.at() < start + rampMs).toList();
    double worst = 0;
    double inWindow = 0;
    int first = 0;
    for (Sent last : cold) {
      inWindow += last.workMs();
      while (last.at() - cold.get(first).at() > windowMs) {
        inWindow -= cold.get(first++).workMs();
      }
      double budget = budget(last.at() - start);
      worst = Math.max(worst, inWindow / meanWorkMs / (budget + allowance(budget)));
    }
    return worst;
  }
}
