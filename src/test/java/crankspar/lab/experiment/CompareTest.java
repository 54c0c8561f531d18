package crankspar.lab.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.experiment.Compare.Word;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a difference is worth: chance is not called one, and a real one is not called chance. */
class CompareTest {
  /**
   * Recorded: the 99th percentiles (ms) of 24 runs of example/experiment-a.conf against itself, as
   * `lab experiment` printed them (12 pairs, example/workload.conf and example/fleet.conf).
   */
  private static final double[] RECORDED = {
    10.095, 11.031, 12.039, 10.495, 9.927, 5.935, 6.407, 6.935, 11.303, 6.907, 4.979, 7.487,
    6.375, 7.023, 9.159, 8.743, 8.495, 6.207, 8.855, 7.303, 6.635, 10.783, 7.167, 6.635
  };

  /** Two halves of the same setting's runs, drawn by chance: at least 18 of 20 can't tell. */
  @Test
  void recordedRunsOfOneSettingCantBeToldApart() {
    var random = new SplittableRandom(20);
    int cantTell = 0;
    for (int draw = 0; draw < 20; draw++) {
      double[] all = RECORDED.clone();
      for (int i = all.length - 1; i > 0; i--) {
        int j = random.nextInt(i + 1);
        double swap = all[i];
        all[i] = all[j];
        all[j] = swap;
      }
      int half = all.length / 2;
      cantTell +=
          Compare.of(
                          java.util.Arrays.copyOf(all, half),
                          java.util.Arrays.copyOfRange(all, half, 2 * half),
                          false,
                          draw)
                      .word()
                  == Word.CANT_TELL
              ? 1
              : 0;
    }
    assertThat(cantTell).isGreaterThanOrEqualTo(18);
  }

  private static double[] runs(double mean, double spread, int n, SplittableRandom random) {
    double[] all = new double[n];
    for (int i = 0; i < n; i++) {
      double chance = 0;
      for (int k = 0; k < 12; k++) {
        chance += random.nextDouble() - 0.5;
      }
      all[i] = mean + spread * chance;
    }
    return all;
  }

  @Test
  void aAgainstAIsCantTellInEighteenOfTwenty() {
    var random = new SplittableRandom(5);
    for (int n : new int[] {6, 10, 20}) {
      int cantTell = 0;
      for (int run = 0; run < 400; run++) {
        cantTell +=
            Compare.of(runs(0.97, 0.003, n, random), runs(0.97, 0.003, n, random), true, run).word()
                    == Word.CANT_TELL
                ? 1
                : 0;
      }
      assertThat(cantTell).as(n + " pairs").isGreaterThanOrEqualTo(360);
    }
  }

  @Test
  void aRealDifferenceIsTold() {
    var random = new SplittableRandom(6);
    double[] a = runs(0.97, 0.003, 12, random);
    double[] b = runs(0.98, 0.003, 12, random);
    Compare.Difference d = Compare.of(a, b, true, 1);
    assertThat(d.word()).isEqualTo(Word.BETTER);
    assertThat(d.low()).isPositive().isLessThan(0.01);
    assertThat(d.high()).isGreaterThan(0.01);
    assertThat(Compare.of(a, b, false, 1).word()).isEqualTo(Word.WORSE);
    assertThat(Compare.of(b, a, true, 1).word()).isEqualTo(Word.WORSE);
  }

  @Test
  void fewPairsTellNothing() {
    assertThat(
            Compare.of(new double[] {1, 1, 1, 1, 1}, new double[] {9, 9, 9, 9, 9}, true, 1).word())
        .isEqualTo(Word.CANT_TELL);
    assertThat(Compare.of(new double[0], new double[0], true, 1).word()).isEqualTo(Word.CANT_TELL);
  }

  @Test
  void theSameSeedGivesTheSameInterval() {
    double[] a = runs(0.97, 0.003, 10, new SplittableRandom(8));
    double[] b = runs(0.97, 0.003, 10, new SplittableRandom(9));
    assertThat(Compare.of(a, b, true, 4)).isEqualTo(Compare.of(a, b, true, 4));
  }
}
