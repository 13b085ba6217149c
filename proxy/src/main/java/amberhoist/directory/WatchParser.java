package amberhoist.directory;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads the answer to a watch: HTTP/1.1, chunked, one JSON object or an empty line after the other. Bytes go
 * in as they come, whole objects and empty lines of the body come out. An object may be indented, over many lines.
 */
public final class WatchParser {
  private enum Part {
    STATUS,
    HEADER,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER,
    END
  }

  private static final int LONGEST_HEAD = 8192;
  private static final int LONGEST_LINE = 1 << 22;

  private final ByteArrayOutputStream head = new ByteArrayOutputStream();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private Part part = Part.STATUS;
  private boolean chunked;
  private long left;
  private int depth; // of braces that are open in the object at hand
  private boolean quoted; // within a string of it
  private boolean escaped; // behind a backslash there
  private boolean blank; // nothing yet on the line at hand of such an object

  /** Takes all bytes of the buffer; whole objects and empty lines of the body go to the consumer, without line ends. */
  public void take(ByteBuffer bytes, Consumer<byte[]> lines) throws IOException {
    while (bytes.hasRemaining()) {
      if (part == Part.CHUNK) {
        body(bytes, lines);
        continue;
      }
      byte next = bytes.get();
      if (next != '\n') {
        head.write(next);
        require(head.size() <= LONGEST_HEAD, "overlong line");
        continue;
      }
      String text = head.toString(StandardCharsets.ISO_8859_1);
      head.reset();
      headLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }
  }

  /** Whether the answer is complete: nothing more will come. */
  public boolean ended() {
    return part == Part.END;
  }

  private void headLine(String text) throws IOException {
    switch (part) {
      case STATUS -> {
        require(text.matches("HTTP/1\\.[01] [0-9]{3}( .*)?"), "no status line");
        require(text.startsWith("200", 9), "status " + text.substring(9, 12));
        part = Part.HEADER;
      }
      case HEADER -> {
        if (text.isEmpty()) {
          require(chunked, "not chunked");
          part = Part.CHUNK_SIZE;
        } else {
          String lower = text.toLowerCase(Locale.ROOT).replace(" ", "");
          chunked |= lower.startsWith("transfer-encoding:") && lower.endsWith("chunked");
        }
      }
      case CHUNK_SIZE -> {
        int semicolon = text.indexOf(';');
        String size = (semicolon < 0 ? text : text.substring(0, semicolon)).trim();
        require(size.matches("[0-9a-fA-F]{1,8}"), "no chunk size");
        left = Long.parseLong(size, 16);
        part = left == 0 ? Part.TRAILER : Part.CHUNK;
      }
      case CHUNK_END -> {
        require(text.isEmpty(), "a chunk longer than its size");
        part = Part.CHUNK_SIZE;
      }
      case TRAILER -> part = text.isEmpty() ? Part.END : Part.TRAILER;
      default -> throw new IOException("bytes after the end of the answer");
    }
  }

  private void body(ByteBuffer bytes, Consumer<byte[]> lines) throws IOException {
    while (bytes.hasRemaining() && left > 0) {
      byte next = bytes.get();
      left--;
      if (next == '\n' && depth <= 0) {
        lines.accept(line.toByteArray());
        line.reset();
        depth = 0;
        quoted = false;
      } else if (next == '\n') {
        require(!blank, "an object that breaks off"); // the next sign of life has come in the middle of it
        blank = true;
      } else if (next != '\r') {
        nest(next);
        blank = false;
        line.write(next);
        require(line.size() <= LONGEST_LINE, "overlong news");
      }
    }
    part = left == 0 ? Part.CHUNK_END : Part.CHUNK;
  }

  private void nest(byte next) {
    if (quoted) {
      quoted = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else {
      quoted = next == '"';
      depth += next == '{' ? 1 : next == '}' ? -1 : 0;
    }
  }

  private static void require(boolean holds, String fault) throws IOException {
    if (!holds) {
      throw new IOException("malformed answer: " + fault);
    }
  }
}
