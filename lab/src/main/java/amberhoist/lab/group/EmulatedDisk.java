package amberhoist.lab.group;

import amberhoist.group.LogStorage;
import amberhoist.lab.emulator.RandomSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** A disk that loses unforced writes when its machine crashes, except for a random prefix of them. */
public final class EmulatedDisk implements LogStorage {
  private final RandomSource random;
  private final boolean forceWorks;
  private byte[] durable = new byte[0];
  private final ByteArrayOutputStream unforced = new ByteArrayOutputStream();
  private boolean isFailing;

  /** Creates an empty disk; if {@code forceWorks} is false, {@link #force} succeeds but makes nothing durable. */
  public EmulatedDisk(RandomSource random, boolean forceWorks) {
    this.random = random;
    this.forceWorks = forceWorks;
  }

  @Override
  public byte[] readAll() {
    byte[] contents = new byte[durable.length + unforced.size()];
    System.arraycopy(durable, 0, contents, 0, durable.length);
    System.arraycopy(unforced.toByteArray(), 0, contents, durable.length, unforced.size());
    return contents;
  }

  @Override
  public void append(byte[] bytes) throws IOException {
    if (isFailing) {
      unforced.write(bytes, 0, random.nextInt(bytes.length));
      throw new IOException("no space left on the emulated device");
    }
    unforced.writeBytes(bytes);
  }

  @Override
  public void force() throws IOException {
    if (isFailing) {
      throw new IOException("the emulated device does not answer");
    }
    if (forceWorks) {
      durable = readAll();
      unforced.reset();
    }
  }

  @Override
  public void replace(byte[] bytes) {
    durable = bytes.clone();
    unforced.reset();
  }

  /** Crashes the machine: of the unforced bytes, a prefix of random length survives. */
  public void crash() {
    byte[] unforcedBytes = unforced.toByteArray();
    unforced.reset();
    int keptLength = unforcedBytes.length == 0 ? 0 : random.nextInt(unforcedBytes.length + 1);
    byte[] contents = new byte[durable.length + keptLength];
    System.arraycopy(durable, 0, contents, 0, durable.length);
    System.arraycopy(unforcedBytes, 0, contents, durable.length, keptLength);
    durable = contents;
    isFailing = false;
  }

  /** Makes every write and force fail until the next crash. */
  void failWrites() {
    isFailing = true;
  }
}
