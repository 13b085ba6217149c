package amberhoist.distribution;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter, and with a retry budget that bounds the rate of attempts. */
final class Backoff {
  private static final double RETRIES_PER_SECOND = 0.5;
  private static final double RETRY_BURST = 6;
  private static final int MAX_DOUBLINGS = 16;

  private final long initialMicros;
  private final long maxMicros;
  private final RandomGenerator random;
  private final TokenBucket budget;
  private int failures;

  Backoff(long now, long initialMicros, long maxMicros, RandomGenerator random) {
    this.initialMicros = initialMicros;
    this.maxMicros = maxMicros;
    this.random = random;
    budget = new TokenBucket(now, RETRIES_PER_SECOND, RETRY_BURST);
  }

  /** An attempt succeeded: the delay starts from the first one again. */
  void onSuccess() {
    failures = 0;
  }

  /** An attempt failed: returns the delay before the next one, in microseconds. */
  long delayAfterFailure(long now) {
    long delay = Math.min(maxMicros, initialMicros << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    budget.charge(now, 1);
    return Math.max(withJitter(delay), budget.microsUntil(now, 0));
  }

  /** Returns a random duration between 0.5 and 1.5 times the given one. */
  long withJitter(long micros) {
    return (long) (micros * (0.5 + random.nextDouble()));
  }
}
