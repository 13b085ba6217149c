package amberhoist.group;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The frames of a log file: kind (1 byte), length of the payload (4), checksum of both (4), payload, its checksum (4).
 * The head has a checksum of its own so that a damaged length is not taken for a torn end.
 */
final class Frames {
  private static final int HEAD = 9;
  private static final int TAIL = 4;
  private static final int MOST = 64 << 20; // bytes of a payload

  /** One frame. */
  record Frame(int kind, byte[] payload) {}

  /**
   * What a file holds.
   *
   * @param sound bytes up to the end of the last whole frame; what follows was torn
   */
  record Content(List<Frame> frames, int sound) {}

  private Frames() {}

  static byte[] frame(int kind, byte[] payload) {
    ByteBuffer frame = ByteBuffer.allocate(HEAD + payload.length + TAIL);
    frame.put((byte) kind).putInt(payload.length);
    frame.putInt(checksum(frame.array(), 0, HEAD - 4));
    frame.put(payload).putInt(checksum(payload, 0, payload.length));
    return frame.array();
  }

  /** All frames, without an end that was torn; other damage is refused. */
  static Content read(byte[] file) throws DamagedLogException {
    List<Frame> frames = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(file);
    while (in.remaining() >= HEAD && !onlyZeros(file, in.position())) {
      int at = in.position();
      int kind = in.get();
      int length = in.getInt();
      if (in.getInt() != checksum(file, at, HEAD - 4) || length < 0 || length > MOST) {
        throw new DamagedLogException(at, "a frame's head does not match its checksum");
      }
      if (in.remaining() < length + TAIL) {
        return new Content(frames, at);
      }
      byte[] payload = new byte[length];
      in.get(payload);
      if (in.getInt() != checksum(payload, 0, length)) {
        if (onlyZeros(file, at + HEAD + length)) {
          return new Content(frames, at); // its end was never written, the file only grew
        }
        throw new DamagedLogException(at, "a frame does not match its checksum");
      }
      frames.add(new Frame(kind, payload));
    }
    return new Content(frames, in.position());
  }

  private static boolean onlyZeros(byte[] file, int from) {
    for (int i = from; i < file.length; i++) {
      if (file[i] != 0) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(byte[] bytes, int from, int length) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, from, length);
    return (int) sum.getValue();
  }

  /** All of these one after the other. */
  static byte[] join(List<byte[]> parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    parts.forEach(all::writeBytes);
    return all.toByteArray();
  }
}
