package crankspar.policy;

import crankspar.Router.RequestClass;
import java.util.List;

/**
 * Expected work of a request by its class, in mean requests. No setting tells it; a class with a
 * longer target latency is taken to work longer in proportion. The mean is over the requests that
 * arrived here.
 */
final class RequestCost {
  /** Arrivals over which the mean is taken. */
  private static final double WINDOW = 64;

  /**
   * Arrivals of the shortest class that are assumed at the start, so that a long first request does
   * not pass for a mean one.
   */
  private static final double ASSUMED = 16;

  private double arrivals = ASSUMED;
  private double meanTarget;

  RequestCost(List<RequestClass> classes) {
    meanTarget = classes.stream().mapToDouble(RequestClass::targetLatency).min().orElse(1);
  }

  /** Takes an arriving request into the mean. */
  void arrived(RequestClass kind) {
    arrivals = Math.min(WINDOW, arrivals + 1);
    meanTarget += (kind.targetLatency() - meanTarget) / arrivals;
  }

  /** Cost of a request of this class, 1 for a mean one. */
  double of(RequestClass kind) {
    return kind.targetLatency() / meanTarget;
  }

  /** Target latency (ms) of a mean request. */
  double meanTarget() {
    return meanTarget;
  }
}
