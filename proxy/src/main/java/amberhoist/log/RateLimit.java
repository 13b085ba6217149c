package amberhoist.log;

/** A token bucket that counts what it holds back. It reads no clock; {@code now} is in nanoseconds. */
final class RateLimit {
  private static final double SECOND = 1e9;

  private double tokens;
  private long last;
  private boolean started;
  private long suppressed;

  /** Whether one more may pass now; if not, it is counted. */
  boolean pass(long now, int rate, int burst) {
    tokens = started ? Math.min(burst, tokens + Math.max(0, now - last) / SECOND * rate) : burst;
    started = true;
    last = Math.max(last, now);
    if (tokens < 1) {
      suppressed++;
      return false;
    }
    tokens--;
    return true;
  }

  /** How many were held back since this was last asked. */
  long takeSuppressed() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
