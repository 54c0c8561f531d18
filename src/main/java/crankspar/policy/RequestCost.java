package crankspar.policy;

import crankspar.Router.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Expected work of a request by its class, in mean requests. No setting tells it, so the larger one
 * of two estimates counts: the class's target latency and the latency of its answers, each by the
 * mean over the requests that this instance saw. A class that must be answered soon may be as much
 * work as any other, and under load every class is answered late.
 */
final class RequestCost {
  /** Requests over which the means are taken. */
  private static final double WINDOW = 64;

  /**
   * Arrivals of the shortest class that are assumed at the start, so that a long first request does
   * not pass for a mean one.
   */
  private static final double ASSUMED = 16;

  private final Map<String, Mean> latencies = new HashMap<>();
  private final Mean latency = new Mean();
  private final Mean target;

  RequestCost(List<RequestClass> classes) {
    double shortest = classes.stream().mapToDouble(RequestClass::targetLatency).min().orElse(1);
    target = new Mean(ASSUMED, shortest);
  }

  /** A mean over the last values; early ones weigh as much as those in a full window do. */
  private static final class Mean {
    private double count;
    private double value;

    Mean() {}

    Mean(double count, double value) {
      this.count = count;
      this.value = value;
    }

    void add(double next) {
      count = Math.min(WINDOW, count + 1);
      value += (next - value) / count;
    }
  }

  /** Takes an arriving request into the mean. */
  void arrived(RequestClass kind) {
    target.add(kind.targetLatency());
  }

  /** Takes the latency (ms) of a warm member's answer. */
  void answered(RequestClass kind, double elapsed) {
    latencies.computeIfAbsent(kind.name(), k -> new Mean()).add(elapsed);
    latency.add(elapsed);
  }

  /** Cost of a request of this class, 1 for a mean one; the larger one of both estimates. */
  double of(RequestClass kind) {
    return Math.max(byTarget(kind), byLatency(kind));
  }

  private double byTarget(RequestClass kind) {
    return kind.targetLatency() / target.value;
  }

  private double byLatency(RequestClass kind) {
    Mean measured = latencies.get(kind.name());
    return measured == null || latency.value <= 0 ? 1 : measured.value / latency.value;
  }

  /**
   * The most work (ms) of a request of this class: what its answers take, or its target latency.
   */
  double workMs(RequestClass kind) {
    Mean measured = latencies.get(kind.name());
    return measured == null ? kind.targetLatency() : measured.value;
  }

  /** Target latency (ms) of a mean request. */
  double meanTarget() {
    return target.value;
  }
}
