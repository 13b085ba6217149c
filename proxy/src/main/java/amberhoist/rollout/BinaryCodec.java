package amberhoist.rollout;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Encodes and decodes commands and snapshots. */
final class BinaryCodec {
  private BinaryCodec() {}

  /** Encodes one value. */
  interface Writer {
    void write(DataOutputStream out) throws IOException;
  }

  /** Decodes one value. */
  interface Reader<T> {
    T read(DataInputStream in) throws IOException;
  }

  static byte[] encode(Writer writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      writer.write(new DataOutputStream(bytes));
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return bytes.toByteArray();
  }

  /** Decodes a value; throws an {@link UncheckedIOException} where the bytes end too early. */
  static <T> T decode(byte[] bytes, Reader<T> reader) {
    try {
      return reader.read(new DataInputStream(new ByteArrayInputStream(bytes)));
    } catch (IOException truncated) {
      throw new UncheckedIOException(truncated);
    }
  }

  /** Writes a string of any length: its length in bytes (4), then its UTF-8. */
  static void string(DataOutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  static String string(DataInputStream in) throws IOException {
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
