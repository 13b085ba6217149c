package amberhoist.distribution;

/** A rate limiter: tokens are added at a constant rate up to a burst, and work takes them. */
final class TokenBucket {
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final double tokensPerMicro;
  private final double burst;
  private double tokens;
  private long refilledAt;

  /** Creates a full bucket of {@code burst} tokens, refilled at {@code perSecond}. */
  TokenBucket(long now, double perSecond, double burst) {
    this.tokensPerMicro = perSecond / MICROS_PER_SECOND;
    this.burst = burst;
    tokens = burst;
    refilledAt = now;
  }

  /** Takes the tokens if there are enough; otherwise takes none and returns false. */
  boolean tryTake(long now, double count) {
    refill(now);
    if (tokens < count) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Takes tokens for work that is done already; the bucket may become negative. */
  void charge(long now, double count) {
    refill(now);
    tokens -= count;
  }

  /** Returns the microseconds until the bucket has this many tokens. */
  long microsUntil(long now, double count) {
    refill(now);
    return tokens >= count ? 0 : (long) Math.ceil((count - tokens) / tokensPerMicro);
  }

  private void refill(long now) {
    tokens = Math.min(burst, tokens + tokensPerMicro * Math.max(0, now - refilledAt));
    refilledAt = Math.max(refilledAt, now);
  }
}
