package amberhoist.lab.emulator;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A {@link Clock} that reads the virtual time, in milliseconds; its zone is always UTC. */
public final class VirtualClock extends Clock {
  private static final long MICROS_PER_MILLI = 1_000;

  private final VirtualTime time;

  /** Creates a clock over this virtual time. */
  public VirtualClock(VirtualTime time) {
    this.time = time;
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    return time.now() / MICROS_PER_MILLI;
  }
}
