package amberhoist.directory;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Incremental parser of the response to a watch: HTTP/1.1 with a chunked body, which is a sequence of JSON objects and
 * empty lines. It takes bytes as they arrive and emits complete objects and empty lines. An object may be indented and
 * so span several lines.
 */
public final class WatchParser {
  private enum State {
    STATUS,
    HEADER,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER,
    END
  }

  private static final int MAX_HEAD_LINE_BYTES = 8192;
  private static final int MAX_OBJECT_BYTES = 1 << 22;

  private final ByteArrayOutputStream headLine = new ByteArrayOutputStream();
  private final ByteArrayOutputStream object = new ByteArrayOutputStream();
  private State state = State.STATUS;
  private boolean chunked;
  private long chunkBytesLeft;
  private int depth; // open braces of the current object
  private boolean inString; // inside a string of the current object
  private boolean escaped; // after a backslash in that string
  private boolean lineEmpty; // nothing yet on the current line of an object that spans several lines

  /** Consumes all bytes of the buffer; passes complete objects and empty lines on, without line ends. */
  public void feed(ByteBuffer bytes, Consumer<byte[]> lines) throws IOException {
    while (bytes.hasRemaining()) {
      if (state == State.CHUNK) {
        parseBody(bytes, lines);
        continue;
      }
      byte next = bytes.get();
      if (next != '\n') {
        headLine.write(next);
        require(headLine.size() <= MAX_HEAD_LINE_BYTES, "line exceeds the maximum length");
        continue;
      }
      String text = headLine.toString(StandardCharsets.ISO_8859_1);
      headLine.reset();
      parseHeadLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }
  }

  /** Whether the response is complete. */
  public boolean isEnded() {
    return state == State.END;
  }

  private void parseHeadLine(String text) throws IOException {
    switch (state) {
      case STATUS -> {
        require(text.matches("HTTP/1\\.[01] [0-9]{3}( .*)?"), "invalid status line");
        require(text.startsWith("200", 9), "status " + text.substring(9, 12));
        state = State.HEADER;
      }
      case HEADER -> {
        if (text.isEmpty()) {
          require(chunked, "not chunked");
          state = State.CHUNK_SIZE;
        } else {
          String lower = text.toLowerCase(Locale.ROOT).replace(" ", "");
          chunked |= lower.startsWith("transfer-encoding:") && lower.endsWith("chunked");
        }
      }
      case CHUNK_SIZE -> {
        int semicolon = text.indexOf(';');
        String size = (semicolon < 0 ? text : text.substring(0, semicolon)).trim();
        require(size.matches("[0-9a-fA-F]{1,8}"), "invalid chunk size");
        chunkBytesLeft = Long.parseLong(size, 16);
        state = chunkBytesLeft == 0 ? State.TRAILER : State.CHUNK;
      }
      case CHUNK_END -> {
        require(text.isEmpty(), "chunk is longer than its size");
        state = State.CHUNK_SIZE;
      }
      case TRAILER -> state = text.isEmpty() ? State.END : State.TRAILER;
      default -> throw new IOException("bytes after the end of the response");
    }
  }

  private void parseBody(ByteBuffer bytes, Consumer<byte[]> lines) throws IOException {
    while (bytes.hasRemaining() && chunkBytesLeft > 0) {
      byte next = bytes.get();
      chunkBytesLeft--;
      if (next == '\n' && depth <= 0) {
        lines.accept(object.toByteArray());
        object.reset();
        depth = 0;
        inString = false;
      } else if (next == '\n') {
        require(!lineEmpty, "object is incomplete"); // an empty line, the keep-alive, has arrived inside it
        lineEmpty = true;
      } else if (next != '\r') {
        trackNesting(next);
        lineEmpty = false;
        object.write(next);
        require(object.size() <= MAX_OBJECT_BYTES, "object exceeds the maximum length");
      }
    }
    state = chunkBytesLeft == 0 ? State.CHUNK_END : State.CHUNK;
  }

  private void trackNesting(byte next) {
    if (inString) {
      inString = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else {
      inString = next == '"';
      depth += next == '{' ? 1 : next == '}' ? -1 : 0;
    }
  }

  private static void require(boolean condition, String description) throws IOException {
    if (!condition) {
      throw new IOException("malformed response: " + description);
    }
  }
}
