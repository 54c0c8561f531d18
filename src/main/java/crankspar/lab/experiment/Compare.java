package crankspar.lab.experiment;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.StatUtils;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The difference of two settings over paired runs, with a 95 % confidence interval by the paired
 * bootstrap, its percentiles expanded for few pairs (Hesterberg 2015, "What teachers should know
 * about the bootstrap", expanded percentile interval): the plain one is too narrow below some 30
 * pairs, and would call chance a difference.
 */
public final class Compare {
  /** The plain word. */
  public enum Word {
    BETTER,
    WORSE,
    CANT_TELL
  }

  /** Mean of each, the mean of B less A, and its interval; the word is B's. */
  public record Difference(
      int pairs, double a, double b, double mean, double low, double high, Word word) {
    public double width() {
      return high - low;
    }
  }

  /** Fewer pairs tell nothing, whatever they are. */
  public static final int PAIRS_LEAST = 6;

  private static final int RESAMPLES = 4000;
  private static final double ALPHA = 0.05;

  private Compare() {}

  /**
   * Paired samples of one figure; {@code higherIsBetter} says which way is good. The seed makes it
   * repeatable.
   */
  public static Difference of(double[] a, double[] b, boolean higherIsBetter, long seed) {
    int n = Math.min(a.length, b.length);
    double[] differences = new double[n];
    for (int i = 0; i < n; i++) {
      differences[i] = b[i] - a[i];
    }
    double mean = n == 0 ? Double.NaN : StatUtils.mean(differences);
    double meanA = n == 0 ? Double.NaN : StatUtils.mean(a, 0, n);
    double meanB = n == 0 ? Double.NaN : StatUtils.mean(b, 0, n);
    if (n < PAIRS_LEAST) {
      return new Difference(
          n,
          meanA,
          meanB,
          mean,
          Double.NEGATIVE_INFINITY,
          Double.POSITIVE_INFINITY,
          Word.CANT_TELL);
    }
    UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    double[] means = new double[RESAMPLES];
    for (int r = 0; r < RESAMPLES; r++) {
      double sum = 0;
      for (int i = 0; i < n; i++) {
        sum += differences[chance.nextInt(n)];
      }
      means[r] = sum / n;
    }
    // The bootstrap's spread is that of n, not n - 1, and its percentiles are the normal's, not
    // Student's.
    double t = new TDistribution(n - 1).inverseCumulativeProbability(1 - ALPHA / 2);
    double wide = t * Math.sqrt(n / (n - 1.0));
    double tail =
        new org.apache.commons.math3.distribution.NormalDistribution().cumulativeProbability(-wide);
    double low = StatUtils.percentile(means, Math.max(0.01, 100 * tail));
    double high = StatUtils.percentile(means, Math.min(99.99, 100 * (1 - tail)));
    Word word =
        low > 0
            ? higherIsBetter ? Word.BETTER : Word.WORSE
            : high < 0 ? higherIsBetter ? Word.WORSE : Word.BETTER : Word.CANT_TELL;
    return new Difference(n, meanA, meanB, mean, low, high, word);
  }
}
