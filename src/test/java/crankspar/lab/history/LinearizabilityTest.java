package crankspar.lab.history;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.history.Linearizability.Call;
import crankspar.lab.history.Linearizability.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * The checker is shown to accept what one copy could have answered, and to reject what it could
 * not.
 */
class LinearizabilityTest {
  /** A register: a number to write, or null to read it; a write answers nought. */
  private static final Linearizability.Model<Integer, Integer, Integer> REGISTER =
      new Linearizability.Model<>() {
        @Override
        public Integer start() {
          return 0;
        }

        @Override
        public Integer next(Integer state, Integer input, Integer answer) {
          return input != null ? input : answer == null || answer.equals(state) ? state : null;
        }
      };

  @SafeVarargs
  private static Verdict check(Call<Integer, Integer>... calls) {
    return Linearizability.check(REGISTER, List.of(calls), 10_000);
  }

  private static Call<Integer, Integer> write(double start, double end, int value) {
    return new Call<>(start, end, value, 0);
  }

  private static Call<Integer, Integer> read(double start, double end, int value) {
    return new Call<>(start, end, null, value);
  }

  private static Call<Integer, Integer> lost(double start, int value) {
    return new Call<>(start, Double.POSITIVE_INFINITY, value, null);
  }

  @Test
  void whatOneCopyCouldHaveAnsweredIsAccepted() {
    assertThat(check(write(0, 10, 1), read(1, 2, 0), read(3, 4, 1), read(11, 12, 1)))
        .isEqualTo(Verdict.LINEARIZABLE);
    assertThat(check(lost(0, 1), read(5, 6, 0), read(7, 8, 1))).isEqualTo(Verdict.LINEARIZABLE);
    assertThat(check(lost(0, 1), read(5, 6, 0)))
        .as("it may never have been done")
        .isEqualTo(Verdict.LINEARIZABLE);
  }

  @Test
  void whatItCouldNotIsRejected() {
    assertThat(check(write(0, 1, 1), read(2, 3, 0)))
        .as("an old value after the write's answer")
        .isEqualTo(Verdict.BROKEN);
    assertThat(check(write(0, 10, 1), read(1, 2, 1), read(3, 4, 0)))
        .as("back in time")
        .isEqualTo(Verdict.BROKEN);
    assertThat(check(lost(5, 1), read(1, 2, 1)))
        .as("before it was asked")
        .isEqualTo(Verdict.BROKEN);
    assertThat(check(write(0, 1, 1), write(2, 3, 2), read(4, 5, 1))).isEqualTo(Verdict.BROKEN);
  }

  @Test
  void pastItsBoundItSaysThatItDoesNotKnow() {
    var calls = new ArrayList<Call<Integer, Integer>>();
    for (int i = 0; i < 30; i++) {
      calls.add(write(0, 100, i));
    }
    calls.add(read(200, 201, 99));
    assertThat(Linearizability.check(REGISTER, calls, 1000)).isEqualTo(Verdict.UNKNOWN);
  }

  /**
   * Calls with a moment drawn within each are explained by these moments; one answer changed to a
   * value that nobody wrote is not.
   */
  @Property(tries = 200, seed = "20261202")
  void drawnHistories(@ForAll int seed) {
    var random = new Random(seed);
    int n = 14;
    double[] moment = new double[n];
    for (int i = 0; i < n; i++) {
      moment[i] = i + random.nextDouble() / 2;
    }
    int value = 0;
    var calls = new ArrayList<Call<Integer, Integer>>();
    for (int i = 0; i < n; i++) {
      double start = moment[i] - random.nextDouble() * 4;
      double end = moment[i] + random.nextDouble() * 4;
      boolean writes = random.nextBoolean();
      value = writes ? i + 1 : value;
      calls.add(writes ? write(start, end, value) : read(start, end, value));
    }
    assertThat(Linearizability.check(REGISTER, calls, 1_000_000)).isEqualTo(Verdict.LINEARIZABLE);
    calls.add(read(100, 101, 77));
    assertThat(Linearizability.check(REGISTER, calls, 1_000_000)).isEqualTo(Verdict.BROKEN);
  }
}
