package amberhoist.mgmt;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the head of one HTTP/1.1 call (RFC 9112) in whatever pieces it comes. The headers have no bearing on the
 * answer, and a body is left to whoever reads on; both must still have the form of a call.
 */
public final class CallParser {
  /** A longer head is refused. */
  public static final int LONGEST = 8192;

  private final byte[] head = new byte[LONGEST];
  private int length;
  private int lineStart;
  private String method;
  private List<String> path;
  private Call call;
  private Answer fault;

  /** Takes what has come, up to the end of the head; the rest is left in the buffer. */
  public void take(ByteBuffer in) {
    while (in.hasRemaining() && !done()) {
      byte next = in.get();
      if (length == LONGEST) {
        fault = Answer.no(431, "Request Header Fields Too Large", "the head is longer than " + LONGEST + " bytes");
        return;
      }
      head[length++] = next;
      if (next == '\n') {
        line();
      }
    }
  }

  /** The caller sends no more. */
  public void ended() {
    if (!done()) {
      bad("the call is not whole");
    }
  }

  /** Whether there is a call, or a reason for none. */
  public boolean done() {
    return call != null || fault != null;
  }

  /** The call, or null. */
  public Call call() {
    return fault == null ? call : null;
  }

  /** What to answer where it is no call, or null. */
  public Answer fault() {
    return fault;
  }

  private void line() {
    int end = length - 1;
    end -= end > lineStart && head[end - 1] == '\r' ? 1 : 0;
    String line = new String(head, lineStart, end - lineStart, StandardCharsets.ISO_8859_1);
    lineStart = length;
    if (method == null) {
      if (!line.isEmpty()) { // an empty line before a call is passed over (RFC 9112, 2.2)
        start(line);
      }
    } else if (line.isEmpty()) {
      call = new Call(method, path);
    } else if (line.indexOf(':') < 1 || !token(line.substring(0, line.indexOf(':')))) {
      bad("a header without a name");
    }
  }

  private void start(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != 3 || !token(words[0]) || !words[2].matches("HTTP/1\\.[0-9]")) {
      bad("not a call of HTTP/1.1");
      return;
    }
    method = words[0];
    String target = words[1].replaceFirst("^[hH][tT][tT][pP]://[^/?#]*", "").replaceFirst("[?#].*$", "");
    if (!target.startsWith("/")) {
      bad("the target is no path");
      return;
    }
    path = new ArrayList<>();
    for (String segment : target.substring(1).split("/", -1)) {
      String text = decoded(segment);
      if (text == null) {
        bad("the path cannot be decoded");
        return;
      }
      path.add(text);
    }
  }

  private static boolean token(String word) {
    return !word.isEmpty() && word.chars().allMatch(c -> c > ' ' && c < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
  }

  /** A segment with its percent signs decoded, or null where that makes no text. */
  private static String decoded(String segment) {
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

  private void bad(String why) {
    fault = Answer.no(400, "Bad Request", why);
  }
}
