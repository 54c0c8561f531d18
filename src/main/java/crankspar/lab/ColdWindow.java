package crankspar.lab;

import crankspar.Router;
import java.util.ArrayDeque;

/**
 * What one cold database is sent in any window of the rule, against what the rule lets it bear:
 * beyond its budget of N requests of mean work only 2 x root of N + 2 are put down to chance,
 * whoever sends them and however many those are.
 */
final class ColdWindow {
  private final Router.Guarantees rules;
  private final double capacity, mean;
  private final ArrayDeque<double[]> sent = new ArrayDeque<>();
  private double inWindow;

  /**
   * {@code capacity} is the work that a warm one does in a ms, {@code mean} the work of a mean
   * request (both ms).
   */
  ColdWindow(Router.Guarantees rules, double capacity, double mean) {
    this.rules = rules;
    this.capacity = capacity;
    this.mean = mean;
  }

  /** Work arrives. */
  void take(double now, double work) {
    sent.add(new double[] {now, work});
    inWindow += work;
    while (sent.peek()[0] < now - rules.fall()) {
      inWindow -= sent.poll()[1];
    }
  }

  /** Times of what it could do. */
  double times(double able) {
    return inWindow / (capacity * able * rules.fall());
  }

  /** Share of the budget with its chance: more than 1 is a fall. */
  double share(double able) {
    double n = rules.fallMultiple() * capacity * able * rules.fall() / mean;
    return inWindow / mean / (n + 2 * Math.sqrt(n) + 2);
  }
}
