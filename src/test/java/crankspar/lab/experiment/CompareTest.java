package crankspar.lab.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.experiment.Compare.Word;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a difference is worth: chance is not called one, and a real one is not called chance. */
class CompareTest {
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

    @Test void aAgainstAIsCantTellInEighteenOfTwenty() {
        var random = new SplittableRandom(5);
        for (int n : new int[] {6, 10, 20}) {
            int cantTell = 0;
            for (int run = 0; run < 400; run++) {
                cantTell += Compare.of(runs(0.97, 0.003, n, random), runs(0.97, 0.003, n, random), true, run).word() == Word.CANT_TELL ? 1 : 0;
            }
            assertThat(cantTell).as(n + " pairs").isGreaterThanOrEqualTo(360);
        }
    }

    @Test void aRealDifferenceIsTold() {
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

    @Test void fewPairsTellNothing() {
        assertThat(Compare.of(new double[] {1, 1, 1, 1, 1}, new double[] {9, 9, 9, 9, 9}, true, 1).word()).isEqualTo(Word.CANT_TELL);
        assertThat(Compare.of(new double[0], new double[0], true, 1).word()).isEqualTo(Word.CANT_TELL);
    }

    @Test void theSameSeedGivesTheSameInterval() {
        double[] a = runs(0.97, 0.003, 10, new SplittableRandom(8));
        double[] b = runs(0.97, 0.003, 10, new SplittableRandom(9));
        assertThat(Compare.of(a, b, true, 4)).isEqualTo(Compare.of(a, b, true, 4));
    }
}
