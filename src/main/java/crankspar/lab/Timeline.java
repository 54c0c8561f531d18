package crankspar.lab;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * What the deterministic models share: a clock of their own, events in order, and one source of
 * chance. The same seed plays the same run.
 */
abstract class Timeline {
  /** What has gone wrong in a model, in words, with its seed. */
  public static final class Broken extends RuntimeException {
    Broken(String what) {
      super(what, null, false, false);
    }
  }

  private record Event(double at, long order, Runnable what) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at()
                  ? Double.compare(a.at(), b.at())
                  : Long.compare(a.order(), b.order()));
  final SplittableRandom random;

  /** The model's clock (ms). */
  double now;

  private long order;

  Timeline(long seed) {
    random = new SplittableRandom(seed);
  }

  public double now() {
    return now;
  }

  void after(double ms, Runnable what) {
    events.add(new Event(now + Math.max(0, ms), order++, what));
  }

  /** Plays what falls due within so many ms. */
  void pass(double ms) {
    double end = now + ms;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event e = events.poll();
      now = e.at();
      e.what().run();
    }
    now = end;
  }

  /** Between two ends, evenly. */
  double between(double least, double most) {
    return least + random.nextDouble() * (most - least);
  }
}
