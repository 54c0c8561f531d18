package crankspar.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/** Two processes of one pooler, with one session each, that share cancels. */
class CancelRouterTest {
  /** Delivers only the keys that the other process has added. */
  private static final class Shared implements Ports.SharedCancels {
    private final List<Long> added = new ArrayList<>();
    private Shared other;
    private int taken;

    @Override
    public void add(long key) {
      added.add(key);
    }

    @Override
    public boolean takeNew(LongConsumer told) {
      while (taken < other.added.size()) {
        told.accept(other.added.get(taken++));
      }
      return true;
    }
  }

  private static final class Time implements Ports.Time {
    private Runnable periodic;

    @Override
    public double now() {
      return 0;
    }

    @Override
    public void after(double ms, Runnable action) {
      periodic = action;
    }

    @Override
    public void afterExcludingStalls(double ms, Runnable action) {
      throw new UnsupportedOperationException();
    }
  }

  private final Time time = new Time();
  private final Counters counters = new Counters();
  private final List<String> cancelled = new ArrayList<>();

  private CancelRouter router(int process, int secret) {
    return new CancelRouter(
        time, counters, "cancels", (p, s) -> p == process && s == secret && add(p + " " + s));
  }

  private boolean add(String key) {
    return cancelled.add(key);
  }

  @Test
  void aCancelFindsItsSessionAtTheOtherProcessWhateverItsSign() {
    CancelRouter old = router(Integer.MAX_VALUE, -7);
    CancelRouter successor = router(1, 1);
    var atOld = new Shared();
    var atSuccessor = new Shared();
    atOld.other = atSuccessor;
    atSuccessor.other = atOld;
    successor.share(atSuccessor);
    old.share(atOld);
    successor.cancel(Integer.MAX_VALUE, -7);
    successor.cancel(Integer.MAX_VALUE, 7);
    assertThat(cancelled).isEmpty();
    time.periodic.run();
    assertThat(cancelled).containsExactly(Integer.MAX_VALUE + " -7");
    successor.deliverShared();
    assertThat(atOld.added).as("an unknown key is not sent back").isEmpty();
    assertThat(counters.get("cancels_unknown")).isEqualTo(2);
    assertThat(counters.get("cancels_from_another_process")).isEqualTo(1);
  }

  @Test
  void itServesWhereNothingIsShared() {
    CancelRouter alone = router(1, 2);
    alone.cancel(3, 4);
    alone.deliverShared();
    alone.cancel(1, 2);
    assertThat(cancelled).containsExactly("1 2");
  }
}
