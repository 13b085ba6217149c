package amberhoist.lab.emulator;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** A hash of the event log: the same for two runs only if the same things happened at the same times. */
public final class Trace {
  private final ByteBuffer record = ByteBuffer.allocate(32);
  private final CRC32 one = new CRC32();
  private final CRC32C other = new CRC32C();

  /** Adds what happened: its kind, when, and to whom. */
  void add(int kind, long time, long who, long what) {
    record.clear();
    record.putLong(kind).putLong(time).putLong(who).putLong(what).flip();
    one.update(record.array(), 0, 32);
    other.update(record.array(), 0, 32);
  }

  @Override
  public String toString() {
    return String.format("%08x%08x", one.getValue(), other.getValue());
  }
}
