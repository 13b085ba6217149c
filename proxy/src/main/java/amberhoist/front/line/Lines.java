package amberhoist.front.line;

import java.nio.charset.StandardCharsets;

/** Encodes and decodes lines of the platform's protocol. */
final class Lines {
  private Lines() {}

  /** The text of a line without its CRLF, or null if it does not end in CRLF. */
  static String withoutLineEnd(byte[] line) {
    boolean endsInCrLf = line.length >= 2 && line[line.length - 2] == '\r';
    return endsInCrLf ? new String(line, 0, line.length - 2, StandardCharsets.ISO_8859_1) : null;
  }

  static byte[] encode(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The BUSY line for a retry-after in microseconds, rounded up to milliseconds; 0 sends none. */
  static byte[] busyLine(long retryAfterMicros) {
    long millis = (retryAfterMicros + 999) / 1000;
    return encode(millis > 0 ? "BUSY " + millis + "\r\n" : "BUSY\r\n");
  }
}
