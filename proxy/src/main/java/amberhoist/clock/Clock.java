package amberhoist.clock;

/**
 * The clock of core and module: microseconds that never run backwards, from the system's monotonic clock,
 * counted on from the Unix time at the start.
 */
public final class Clock {
  private final long nanosAtStart = System.nanoTime();
  private final long microsAtStart = System.currentTimeMillis() * 1000;

  /** The time now. */
  public long now() {
    return microsAtStart + (System.nanoTime() - nanosAtStart) / 1000;
  }

  /** A Unix time in milliseconds on this clock, also after the system's clock was set; 0 stays 0. */
  public long fromUnixMillis(long millis) {
    return millis == 0 ? 0 : Math.max(1, now() + (millis - System.currentTimeMillis()) * 1000);
  }
}
