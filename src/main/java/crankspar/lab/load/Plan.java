package crankspar.lab.load;

import java.util.Iterator;
import java.util.NoSuchElementException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A workload's requests in the order of their times. One seed for all: the same seed asks the same
 * at the same times.
 */
public final class Plan implements Iterator<Asked> {
  private final Workload workload;
  private final Arrivals arrivals;
  private final UniformRandomProvider choice;
  private final double[] upTo;
  private long number;
  private double next;

  public Plan(Workload workload) {
    this.workload = workload;
    arrivals =
        new Arrivals(
            workload.shapes(),
            workload.even(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(workload.seed()));
    choice = RandomSource.XO_RO_SHI_RO_128_PP.create(workload.seed() ^ 0x9E3779B97F4A7C15L);
    upTo = new double[workload.kinds().size()];
    double sum = 0;
    for (int i = 0; i < upTo.length; i++) {
      sum += workload.kinds().get(i).share();
      upTo[i] = sum;
    }
    next = arrivals.next(workload.duration());
  }

  @Override
  public boolean hasNext() {
    return next < Double.POSITIVE_INFINITY;
  }

  @Override
  public Asked next() {
    if (!hasNext()) {
      throw new NoSuchElementException();
    }
    double at = next;
    next = arrivals.next(workload.duration());
    double pick = choice.nextDouble() * upTo[upTo.length - 1];
    int kind = 0;
    while (kind < upTo.length - 1 && upTo[kind] <= pick) {
      kind++;
    }
    int session = choice.nextInt(workload.sessions());
    return new Asked(number++, at, kind, session, session % workload.groups());
  }
}
