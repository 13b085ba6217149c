package amberhoist.mgmt;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An incremental parser for the head of one HTTP/1.1 request (RFC 9112). Headers are checked for their form and
 * otherwise ignored; a body is left in the buffer for the caller.
 */
public final class RequestParser {
  /** The maximum length of a head in bytes; a longer one gets status 431. */
  public static final int MAX_HEAD_BYTES = 8192;

  private final byte[] head = new byte[MAX_HEAD_BYTES];
  private int length;
  private int lineStart;
  private String method;
  private List<String> path;
  private ManagementRequest request;
  private ManagementResponse errorResponse;

  /** Parses received bytes up to the end of the head; leaves the rest in the buffer. */
  public void feed(ByteBuffer in) {
    while (in.hasRemaining() && !isDone()) {
      byte next = in.get();
      if (length == MAX_HEAD_BYTES) {
        errorResponse = ManagementResponse.error(431, "Request Header Fields Too Large",
            "the head is longer than " + MAX_HEAD_BYTES + " bytes");
        return;
      }
      head[length++] = next;
      if (next == '\n') {
        parseLine();
      }
    }
  }

  /** The client has closed its side of the connection. */
  public void onEndOfInput() {
    if (!isDone()) {
      badRequest("the request is incomplete");
    }
  }

  /** Whether a request has been parsed or found invalid. */
  public boolean isDone() {
    return request != null || errorResponse != null;
  }

  /** The request, or null if it is invalid or not yet complete. */
  public ManagementRequest request() {
    return errorResponse == null ? request : null;
  }

  /** The error response to an invalid request, else null. */
  public ManagementResponse errorResponse() {
    return errorResponse;
  }

  private void parseLine() {
    int end = length - 1;
    end -= end > lineStart && head[end - 1] == '\r' ? 1 : 0;
    String line = new String(head, lineStart, end - lineStart, StandardCharsets.ISO_8859_1);
    lineStart = length;
    if (method == null) {
      if (!line.isEmpty()) { // empty lines before the request line are ignored (RFC 9112, 2.2)
        parseRequestLine(line);
      }
    } else if (line.isEmpty()) {
      request = new ManagementRequest(method, path);
    } else if (line.indexOf(':') < 1 || !isToken(line.substring(0, line.indexOf(':')))) {
      badRequest("invalid header name");
    }
  }

  private void parseRequestLine(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != 3 || !isToken(words[0]) || !words[2].matches("HTTP/1\\.[0-9]")) {
      badRequest("invalid HTTP/1.1 request line");
      return;
    }
    method = words[0];
    String target = words[1].replaceFirst("^[hH][tT][tT][pP]://[^/?#]*", "").replaceFirst("[?#].*$", "");
    if (!target.startsWith("/")) {
      badRequest("the request target is not a path");
      return;
    }
    path = new ArrayList<>();
    for (String segment : target.substring(1).split("/", -1)) {
      String text = percentDecode(segment);
      if (text == null) {
        badRequest("invalid encoding of the path");
        return;
      }
      path.add(text);
    }
  }

  private static boolean isToken(String word) {
    return !word.isEmpty() && word.chars().allMatch(c -> c > ' ' && c < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
  }

  /** The percent-decoded segment, or null if its encoding or the UTF-8 text that results is invalid. */
  private static String percentDecode(String segment) {
    ByteBuffer bytes = ByteBuffer.allocate(segment.length());
    for (int i = 0; i < segment.length(); i++) {
      char next = segment.charAt(i);
      if (next <= ' ' || next >= 0x7f) {
        return null;
      }
      if (next == '%') {
        int high = i + 2 < segment.length() ? Character.digit(segment.charAt(i + 1), 16) : -1;
        int low = high < 0 ? -1 : Character.digit(segment.charAt(i + 2), 16);
        if (low < 0) {
          return null;
        }
        bytes.put((byte) (high << 4 | low));
        i += 2;
      } else {
        bytes.put((byte) next);
      }
    }
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(bytes.flip()).toString();
    } catch (CharacterCodingException fault) {
      return null;
    }
  }

  private void badRequest(String message) {
    errorResponse = ManagementResponse.error(400, "Bad Request", message);
  }
}
