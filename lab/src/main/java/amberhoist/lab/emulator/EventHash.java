package amberhoist.lab.emulator;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** A 64-bit hash of the event log, to compare runs: equal for runs with the same events at the same times. */
public final class EventHash {
  private final ByteBuffer record = ByteBuffer.allocate(32);
  private final CRC32 crc32 = new CRC32();
  private final CRC32C crc32c = new CRC32C();

  /** Adds an event: its kind, its time in microseconds, and two values that depend on the kind. */
  void add(int kind, long time, long subject, long detail) {
    record.clear();
    record.putLong(kind).putLong(time).putLong(subject).putLong(detail).flip();
    crc32.update(record.array(), 0, 32);
    crc32c.update(record.array(), 0, 32);
  }

  @Override
  public String toString() {
    return String.format("%08x%08x", crc32.getValue(), crc32c.getValue());
  }
}
