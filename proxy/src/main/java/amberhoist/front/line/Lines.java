package amberhoist.front.line;

import java.nio.charset.StandardCharsets;

/** The bytes of the platform's lines. */
final class Lines {
  private Lines() {}

  /** A line's text without its CRLF, or null when it does not end in one. */
  static String text(byte[] line) {
    boolean ended = line.length >= 2 && line[line.length - 2] == '\r';
    return ended ? new String(line, 0, line.length - 2, StandardCharsets.ISO_8859_1) : null;
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The rejection that tells to wait so many microseconds, rounded up to the millisecond. */
  static byte[] rejection(long retryAfter) {
    long millis = (retryAfter + 999) / 1000;
    return ascii(millis > 0 ? "BUSY " + millis + "\r\n" : "BUSY\r\n");
  }
}
