package amberhoist.group;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the frames of a log file: kind (1 byte), length of the payload (4), CRC-32C of both (4), payload,
 * its CRC-32C (4). The header has its own checksum so that a corrupt length is not mistaken for a torn write.
 */
final class FrameCodec {
  private static final int HEADER_BYTES = 9;
  private static final int TRAILER_BYTES = 4;
  private static final int MAX_PAYLOAD_BYTES = 64 << 20;

  /** A frame: the kind of the record that it holds, and the record's bytes. */
  record Frame(int kind, byte[] payload) {}

  /**
   * The frames decoded from a file.
   *
   * @param validBytes length in bytes of the valid part, up to the end of the last complete frame; the rest is a torn
   * write
   */
  record DecodedFrames(List<Frame> frames, int validBytes) {}

  private FrameCodec() {}

  /** Encodes a frame. */
  static byte[] encode(int kind, byte[] payload) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length + TRAILER_BYTES);
    frame.put((byte) kind).putInt(payload.length);
    frame.putInt(checksum(frame.array(), 0, HEADER_BYTES - 4));
    frame.put(payload).putInt(checksum(payload, 0, payload.length));
    return frame.array();
  }

  /**
   * Decodes all frames. A torn write at the end is left out.
   *
   * @throws CorruptLogException where the file is corrupt in any other way
   */
  static DecodedFrames decode(byte[] file) throws CorruptLogException {
    List<Frame> frames = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(file);
    while (buffer.remaining() >= HEADER_BYTES && !onlyZeros(file, buffer.position())) {
      int offset = buffer.position();
      int kind = buffer.get();
      int length = buffer.getInt();
      if (buffer.getInt() != checksum(file, offset, HEADER_BYTES - 4) || length < 0 || length > MAX_PAYLOAD_BYTES) {
        throw new CorruptLogException(offset, "the header of a frame does not match its checksum");
      }
      if (buffer.remaining() < length + TRAILER_BYTES) {
        return new DecodedFrames(frames, offset);
      }
      byte[] payload = new byte[length];
      buffer.get(payload);
      if (buffer.getInt() != checksum(payload, 0, length)) {
        if (onlyZeros(file, offset + HEADER_BYTES + length)) {
          return new DecodedFrames(frames, offset); // torn write: the file has grown, but the data was not written
        }
        throw new CorruptLogException(offset, "the payload of a frame does not match its checksum");
      }
      frames.add(new Frame(kind, payload));
    }
    return new DecodedFrames(frames, buffer.position());
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

  /** Concatenates the parts. */
  static byte[] concatenate(List<byte[]> parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    parts.forEach(all::writeBytes);
    return all.toByteArray();
  }
}
