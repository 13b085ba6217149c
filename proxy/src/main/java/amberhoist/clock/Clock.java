package amberhoist.clock;

/**
 * The clock of the core and the decision module, in microseconds: the Unix time at the start plus the time elapsed on
 * the system's monotonic clock, so that it never runs backwards.
 */
public final class Clock {
  private final long nanosAtStart = System.nanoTime();
  private final long microsAtStart = System.currentTimeMillis() * 1000;

  /** The current time in microseconds. */
  public long now() {
    return microsAtStart + (System.nanoTime() - nanosAtStart) / 1000;
  }

  /** The system's monotonic time in microseconds, from a start that all processes of this machine share. */
  public long monotonic() {
    return System.nanoTime() / 1000;
  }

  /** Converts a time of this clock to {@link #monotonic} time in milliseconds; 0 stays 0. */
  public long toMonotonicMillis(long micros) {
    return micros == 0 ? 0 : (monotonic() + micros - now()) / 1000;
  }

  /** Converts {@link #monotonic} time in milliseconds, of any process of this machine, to this clock; 0 stays 0. */
  public long fromMonotonicMillis(long millis) {
    return millis == 0 ? 0 : Math.max(1, now() + millis * 1000 - monotonic());
  }

  /** Converts Unix milliseconds to this clock, correct also after the system clock was set; 0 stays 0. */
  public long fromUnixMillis(long millis) {
    return millis == 0 ? 0 : Math.max(1, now() + (millis - System.currentTimeMillis()) * 1000);
  }
}
