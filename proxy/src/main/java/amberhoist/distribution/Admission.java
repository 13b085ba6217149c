package amberhoist.distribution;

/**
 * Limits the rate at which a distributor admits subscribers. Those above the limit get staggered retry-after times, so
 * that the subscribers of a whole zone do not return at once.
 */
final class Admission {
  private static final double BURST_SECONDS = 0.25;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MAX_RETRY_AFTER_MICROS = 10 * MICROS_PER_SECOND;

  private final TokenBucket bucket;
  private final long intervalMicros;
  private long nextRetryAt; // when the subscriber deferred last is to retry

  Admission(long now, int perSecond) {
    bucket = new TokenBucket(now, perSecond, Math.max(1, perSecond * BURST_SECONDS));
    intervalMicros = MICROS_PER_SECOND / perSecond;
    nextRetryAt = now;
  }

  /** Whether one more subscriber is admitted now. */
  boolean tryAdmit(long now) {
    return bucket.tryTake(now, 1);
  }

  /** Returns when a deferred subscriber is to retry, in microseconds from now. Slots that are not used expire. */
  long retryAfterMicros(long now) {
    nextRetryAt = Math.min(now + MAX_RETRY_AFTER_MICROS,
        Math.max(nextRetryAt, now + bucket.microsUntil(now, 1)) + intervalMicros);
    return nextRetryAt - now;
  }
}
