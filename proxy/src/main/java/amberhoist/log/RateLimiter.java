package amberhoist.log;

/** A token bucket that counts the suppressed events. The caller passes the time; it reads no clock. */
final class RateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long lastNanos;
  private boolean started;
  private long suppressed;

  /** Takes a token if there is one; otherwise counts a suppressed event and returns false. The rate is per second. */
  boolean tryAcquire(long nowNanos, int rate, int burst) {
    tokens = started ? Math.min(burst, tokens + Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND * rate) : burst;
    started = true;
    lastNanos = Math.max(lastNanos, nowNanos);
    if (tokens < 1) {
      suppressed++;
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns the number of events suppressed since the last call, and resets it. */
  long takeSuppressed() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
