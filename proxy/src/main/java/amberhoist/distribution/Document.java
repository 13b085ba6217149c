package amberhoist.distribution;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** A document of the policy with its version. */
public record Document(long version, byte[] bytes) {
  /** The empty document, before the first change. */
  public static final Document EMPTY = new Document(0, new byte[0]);

  /** Creates a document from its text. */
  public static Document of(long version, String text) {
    return new Document(version, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the CRC-32C of the document. */
  public long checksum() {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return checksum.getValue();
  }
}
