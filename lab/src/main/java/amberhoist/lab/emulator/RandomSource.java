package amberhoist.lab.emulator;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A reproducible source of random numbers, with the distributions that simulations need. Results are the same on every
 * machine: transcendental functions come from {@link StrictMath}, since those of {@link Math} may differ in the last
 * digit.
 */
public final class RandomSource {
  private final RandomGenerator random;

  /** Creates a stream of numbers for one purpose; streams of the same seed are independent of each other. */
  public RandomSource(long seed, long stream) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 0x9E3779B97F4A7C15L + stream);
  }

  /** Uniform from 0 (inclusive) to 1 (exclusive). */
  public double nextFraction() {
    return random.nextDouble();
  }

  /** Uniform from 0 (inclusive) to {@code bound} (exclusive). */
  public int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** True with this probability. Draws no number if it is 0. */
  public boolean nextBoolean(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  /** Uniform between two values; the first if the second is not above it, without drawing a number. */
  public long nextBetween(long min, long max) {
    return min >= max ? min : min + (long) (random.nextDouble() * (max - min));
  }

  /** Exponentially distributed with this mean. */
  public double nextExponential(double mean) {
    return -mean * StrictMath.log1p(-random.nextDouble());
  }

  /** Log-normally distributed with mean 1; {@code sigma} of the underlying normal distribution. */
  public double nextLogNormal(double sigma) {
    if (sigma == 0) {
      return 1;
    }
    double radius = StrictMath.sqrt(-2 * StrictMath.log1p(-random.nextDouble()));
    double gaussian = radius * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
    return StrictMath.exp(sigma * gaussian - sigma * sigma / 2);
  }

  /** An index, with probability proportional to its weight. */
  public int nextIndex(double[] weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double at = random.nextDouble() * sum;
    for (int i = 0; i < weights.length; i++) {
      at -= weights[i];
      if (at < 0) {
        return i;
      }
    }
    return weights.length - 1;
  }

  /** Uniform 64 bits, such as a seed for another source. */
  public long nextLong() {
    return random.nextLong();
  }
}
