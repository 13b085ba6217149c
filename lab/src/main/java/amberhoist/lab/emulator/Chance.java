package amberhoist.lab.emulator;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Random numbers from the JDK's generator, and the few distributions that the world needs. All of it is exact on any
 * machine: logarithms and the like come from {@link StrictMath}, where {@link Math} may differ in the last digit.
 */
public final class Chance {
  private final RandomGenerator random;

  /** A stream of numbers for one purpose under one seed. */
  public Chance(long seed, long purpose) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 0x9E3779B97F4A7C15L + purpose);
  }

  /** From 0 to below 1. */
  public double part() {
    return random.nextDouble();
  }

  /** From 0 to below this. */
  public int below(int bound) {
    return random.nextInt(bound);
  }

  /** Whether something of this probability happens. */
  public boolean happens(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  /** From this to that. */
  public long between(long least, long most) {
    return least >= most ? least : least + (long) (random.nextDouble() * (most - least));
  }

  /** Exponential with this mean. */
  public double exponential(double mean) {
    return -mean * StrictMath.log1p(-random.nextDouble());
  }

  /** Log-normal with mean 1. */
  public double logNormal(double sigma) {
    if (sigma == 0) {
      return 1;
    }
    double radius = StrictMath.sqrt(-2 * StrictMath.log1p(-random.nextDouble()));
    double gaussian = radius * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
    return StrictMath.exp(sigma * gaussian - sigma * sigma / 2);
  }

  /** An index, each as likely as its weight. */
  public int pick(double[] weights) {
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

  /** A number of 64 bits, to seed others with. */
  public long bits() {
    return random.nextLong();
  }
}
