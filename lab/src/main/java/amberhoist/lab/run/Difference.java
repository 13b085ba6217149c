package amberhoist.lab.run;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Quantile;

/**
 * The difference of one figure between two variants on the same seeds, with a 95 % interval by the percentile bootstrap
 * (Efron and Tibshirani, An Introduction to the Bootstrap, 1993, chapter 13).
 *
 * @param mean of the differences
 * @param low and {@code high} end of the interval; the mean itself where there is but one seed
 * @param seeds that it is of
 */
public record Difference(double mean, double low, double high, int seeds) {
  private static final int SAMPLES = 2000;
  private static final long SEED = 20_260_101; // the same interval for the same runs

  /** Of these values, pair by pair. */
  public static Difference of(double[] ours, double[] theirs) {
    if (ours.length != theirs.length || ours.length == 0) {
      throw new IllegalArgumentException("pairs are needed: " + ours.length + " and " + theirs.length);
    }
    double[] differences = new double[ours.length];
    for (int i = 0; i < ours.length; i++) {
      differences[i] = ours[i] - theirs[i];
    }
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);
    double[] means = new double[SAMPLES];
    double[] sample = new double[differences.length];
    for (int i = 0; i < SAMPLES; i++) {
      for (int j = 0; j < sample.length; j++) {
        sample[j] = differences[random.nextInt(differences.length)];
      }
      means[i] = Mean.of(sample).getAsDouble();
    }
    double[] ends = Quantile.withDefaults().evaluate(means, 0.025, 0.975);
    return new Difference(Mean.of(differences).getAsDouble(), ends[0], ends[1], differences.length);
  }

  /** Whether the interval leaves 0 out. */
  public boolean clear() {
    return low > 0 || high < 0;
  }

  @Override
  public String toString() {
    return String.format("%+.4f (%+.4f to %+.4f, %d seeds)%s", mean, low, high, seeds, clear() ? "" : ", not clear");
  }
}
