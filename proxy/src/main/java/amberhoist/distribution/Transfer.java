package amberhoist.distribution;

import amberhoist.distribution.Message.Offer;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The bytes that lead a subscriber from one document to another: a range of the base is replaced. The base is an
 * earlier version where the distributor still has it, else the empty document, which makes the transfer a snapshot. The
 * inserted bytes are deflated.
 */
public record Transfer(long version, long base, int from, int removed, long checksum, byte[] body) {
  /** The largest document that is taken, in bytes. */
  public static final int LARGEST = 4 << 20;

  private static final int BUFFER = 8 << 10;

  /** A transfer from one document to another; {@link Document#NONE} as the base makes it a snapshot. */
  public static Transfer between(Document base, Document target) {
    byte[] before = base.bytes();
    byte[] after = target.bytes();
    int prefix = commonPrefix(before, after);
    int suffix = commonSuffix(before, after, prefix);
    byte[] inserted = Arrays.copyOfRange(after, prefix, after.length - suffix);
    int removed = before.length - suffix - prefix;
    return new Transfer(target.version(), base.version(), prefix, removed, target.checksum(), deflate(inserted));
  }

  private static int commonPrefix(byte[] before, byte[] after) {
    int mismatch = Arrays.mismatch(before, after);
    return mismatch < 0 ? before.length : mismatch;
  }

  private static int commonSuffix(byte[] before, byte[] after, int prefix) {
    int most = Math.min(before.length, after.length) - prefix;
    int length = 0;
    while (length < most && before[before.length - 1 - length] == after[after.length - 1 - length]) {
      length++;
    }
    return length;
  }

  /** The offer of this transfer, with so many bytes of it. */
  public Offer offer(boolean pending, int first) {
    byte[] chunk = Arrays.copyOf(body, Math.min(first, body.length));
    return new Offer(version, base, from, removed, checksum, body.length, pending, chunk);
  }

  /** The transfer that was offered so, with its bytes complete. */
  public static Transfer of(Offer offer, byte[] body) {
    return new Transfer(offer.version(), offer.base(), offer.from(), offer.removed(), offer.checksum(), body);
  }

  /**
   * The target document; whoever takes it compares its checksum.
   *
   * @throws DataFormatException when base, range or bytes do not fit
   */
  public Document apply(Document held) throws DataFormatException {
    Document start = base == 0 ? Document.NONE : held;
    if (start.version() != base || from < 0 || removed < 0 || from + (long) removed > start.bytes().length) {
      throw new DataFormatException("transfer from version " + base + " does not apply to version " + held.version());
    }
    byte[] inserted = inflate(body, LARGEST - (start.bytes().length - removed));
    byte[] result = new byte[start.bytes().length - removed + inserted.length];
    System.arraycopy(start.bytes(), 0, result, 0, from);
    System.arraycopy(inserted, 0, result, from, inserted.length);
    int rest = start.bytes().length - from - removed;
    System.arraycopy(start.bytes(), from + removed, result, from + inserted.length, rest);
    return new Document(version, result);
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static byte[] inflate(byte[] bytes, int most) throws DataFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER];
      while (!inflater.finished()) {
        int length = inflater.inflate(buffer);
        if (length == 0 && !inflater.finished() || out.size() + length > most) {
          throw new DataFormatException(length == 0 ? "deflated bytes end too early" : "document is too large");
        }
        out.write(buffer, 0, length);
      }
      return out.toByteArray();
    } finally {
      inflater.end();
    }
  }
}
