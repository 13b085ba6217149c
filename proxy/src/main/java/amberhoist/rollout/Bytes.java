package amberhoist.rollout;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Commands and snapshots as bytes. */
final class Bytes {
  private Bytes() {}

  interface Writer {
    void write(DataOutputStream out) throws IOException;
  }

  interface Reader<T> {
    T read(DataInputStream in) throws IOException;
  }

  static byte[] write(Writer writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      writer.write(new DataOutputStream(bytes));
    } catch (IOException never) {
      throw new UncheckedIOException(never);
    }
    return bytes.toByteArray();
  }

  static <T> T read(byte[] bytes, Reader<T> reader) {
    try {
      return reader.read(new DataInputStream(new ByteArrayInputStream(bytes)));
    } catch (IOException cut) {
      throw new UncheckedIOException(cut);
    }
  }

  static void text(DataOutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  static String text(DataInputStream in) throws IOException {
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
