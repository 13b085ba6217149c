package amberhoist.lab.run;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Quantile;

/**
 * The difference of one figure between two variants on the same seeds, with a 95 % confidence interval by the
 * percentile bootstrap (Efron and Tibshirani, An Introduction to the Bootstrap, 1993, chapter 13).
 *
 * @param mean of the differences
 * @param low end of the interval; equals the mean for a single seed
 * @param high end of the interval; equals the mean for a single seed
 * @param seeds number of seeds
 */
public record PairedDifference(double mean, double low, double high, int seeds) {
  private static final int BOOTSTRAP_SAMPLES = 2000;
  private static final long BOOTSTRAP_SEED = 20_260_101; // fixed, so that the same runs give the same interval

  /**
   * The difference between paired values, the first minus the second.
   *
   * @throws IllegalArgumentException if the lengths differ or are 0
   */
  public static PairedDifference of(double[] first, double[] second) {
    if (first.length != second.length || first.length == 0) {
      throw new IllegalArgumentException("expected pairs of values, not " + first.length + " and " + second.length);
    }
    double[] differences = new double[first.length];
    for (int i = 0; i < first.length; i++) {
      differences[i] = first[i] - second[i];
    }
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(BOOTSTRAP_SEED);
    double[] means = new double[BOOTSTRAP_SAMPLES];
    double[] resampled = new double[differences.length];
    for (int i = 0; i < BOOTSTRAP_SAMPLES; i++) {
      for (int j = 0; j < resampled.length; j++) {
        resampled[j] = differences[random.nextInt(differences.length)];
      }
      means[i] = Mean.of(resampled).getAsDouble();
    }
    double[] interval = Quantile.withDefaults().evaluate(means, 0.025, 0.975);
    return new PairedDifference(Mean.of(differences).getAsDouble(), interval[0], interval[1], differences.length);
  }

  /** Whether the interval excludes 0. */
  public boolean isSignificant() {
    return low > 0 || high < 0;
  }

  @Override
  public String toString() {
    return String.format("%+.4f (%+.4f to %+.4f, %d seeds)%s", mean, low, high, seeds, isSignificant() ? ""
        : ", not clear");
  }
}
