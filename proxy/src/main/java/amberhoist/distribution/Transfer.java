package amberhoist.distribution;

import amberhoist.distribution.Message.Offer;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * A delta from one document, the base, to another: a range of the base is replaced. The base is an earlier version if
 * the distributor still has it, otherwise the empty document, which makes the transfer a snapshot.
 *
 * @param version version of the resulting document
 * @param base version of the base, 0 for the empty document
 * @param from offset in the base of the first byte that is replaced
 * @param removed number of bytes of the base that are replaced
 * @param checksum CRC-32C of the resulting document
 * @param body the bytes inserted, deflated
 */
public record Transfer(long version, long base, int from, int removed, long checksum, byte[] body) {
  /** Max. size of a document in bytes. */
  public static final int MAX_DOCUMENT_BYTES = 4 << 20;

  private static final int BUFFER_BYTES = 8 << 10;

  /** Creates the transfer from one document to another; {@link Document#EMPTY} as the base makes it a snapshot. */
  public static Transfer between(Document base, Document target) {
    byte[] baseBytes = base.bytes();
    byte[] targetBytes = target.bytes();
    int prefix = commonPrefix(baseBytes, targetBytes);
    int suffix = commonSuffix(baseBytes, targetBytes, prefix);
    byte[] inserted = Arrays.copyOfRange(targetBytes, prefix, targetBytes.length - suffix);
    int removed = baseBytes.length - suffix - prefix;
    return new Transfer(target.version(), base.version(), prefix, removed, target.checksum(), deflate(inserted));
  }

  private static int commonPrefix(byte[] before, byte[] after) {
    int mismatch = Arrays.mismatch(before, after);
    return mismatch < 0 ? before.length : mismatch;
  }

  private static int commonSuffix(byte[] before, byte[] after, int prefix) {
    int maxLength = Math.min(before.length, after.length) - prefix;
    int length = 0;
    while (length < maxLength && before[before.length - 1 - length] == after[after.length - 1 - length]) {
      length++;
    }
    return length;
  }

  /** Returns the offer of this transfer, with its first chunk of at most {@code firstChunkBytes}. */
  public Offer offer(boolean pending, int firstChunkBytes) {
    byte[] chunk = Arrays.copyOf(body, Math.min(firstChunkBytes, body.length));
    return new Offer(version, base, from, removed, checksum, body.length, pending, chunk);
  }

  /** Returns the transfer of an offer, with its complete body. */
  public static Transfer of(Offer offer, byte[] body) {
    return new Transfer(offer.version(), offer.base(), offer.from(), offer.removed(), offer.checksum(), body);
  }

  /**
   * Applies the transfer and returns the resulting document. The caller compares its checksum.
   *
   * @throws DataFormatException when the base, the range or the body is invalid, or the result too large
   */
  public Document apply(Document held) throws DataFormatException {
    Document baseDocument = base == 0 ? Document.EMPTY : held;
    if (baseDocument.version() != base || from < 0 || removed < 0
        || from + (long) removed > baseDocument.bytes().length) {
      throw new DataFormatException("a transfer from version " + base + " does not apply to version " + held.version());
    }
    byte[] inserted = inflate(body, MAX_DOCUMENT_BYTES - (baseDocument.bytes().length - removed));
    byte[] result = new byte[baseDocument.bytes().length - removed + inserted.length];
    System.arraycopy(baseDocument.bytes(), 0, result, 0, from);
    System.arraycopy(inserted, 0, result, from, inserted.length);
    int suffixLength = baseDocument.bytes().length - from - removed;
    System.arraycopy(baseDocument.bytes(), from + removed, result, from + inserted.length, suffixLength);
    return new Document(version, result);
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static byte[] inflate(byte[] bytes, int maxBytes) throws DataFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int length = inflater.inflate(buffer);
        if (length == 0 && !inflater.finished() || out.size() + length > maxBytes) {
          throw new DataFormatException(length == 0 ? "the deflated body ends too early" : "the document is too large");
        }
        out.write(buffer, 0, length);
      }
      return out.toByteArray();
    } finally {
      inflater.end();
    }
  }
}
