package crankspar.lab.rig;

import java.util.List;
import java.util.function.DoubleUnaryOperator;

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

  /**
   * A request that reached the database at a time (ms), with its work on a warm one (ms).
   *
   * @param what who sent it
   */
  public record Sent(double at, double workMs, String what) {}

  /** Requests of mean work in a window that ends so long (ms) after the start. */
  double budget(double age) {
    double middle = Math.max(0, age - windowMs / 2);
    double capacity = coldFrom + (1 - coldFrom) * Math.min(1, middle / rampMs);
    return multiple * capacity * cores * windowMs / meanWorkMs;
  }

  /** What the operators' page puts down to chance beyond a budget. */
  static double allowance(double budget) {
    return budget < SMALL_BUDGET ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
  }

  /**
   * The window in which most was sent, by the budget.
   *
   * @param share of the budget and its allowance that was sent: more than 1 breaks the rule
   * @param age time (ms) from the database's start to the window's end
   * @param sent what was sent in it
   */
  public record Window(double share, double age, double budget, List<Sent> sent) {
    static final Window NONE = new Window(0, 0, 0, List.of());

    @Override
    public String toString() {
      return "%.2f of a budget of %.1f, %.0f ms after the start: %s"
          .formatted(share, budget, age, sent.stream().map(Sent::what).toList());
    }
  }

  /** The worst window of one that started then; {@code sent} is in order of time. */
  public Window worst(double start, List<Sent> sent) {
    return worst(start, sent, ColdStartRule::allowance);
  }

  /** The same with another allowance, in requests, by the budget. */
  Window worst(double start, List<Sent> sent, DoubleUnaryOperator allowance) {
    List<Sent> cold =
        sent.stream().filter(s -> s.at() >= start && s.at() < start + rampMs).toList();
    Window worst = Window.NONE;
    double inWindow = 0;
    int first = 0;
    for (int last = 0; last < cold.size(); last++) {
      inWindow += cold.get(last).workMs();
      while (cold.get(last).at() - cold.get(first).at() > windowMs) {
        inWindow -= cold.get(first++).workMs();
      }
      double age = cold.get(last).at() - start;
      double budget = budget(age);
      double share = inWindow / meanWorkMs / (budget + allowance.applyAsDouble(budget));
      if (share > worst.share()) {
        worst = new Window(share, age, budget, cold.subList(first, last + 1));
      }
    }
    return worst;
  }
}
