package amberhoist.mgmt;

import java.nio.charset.StandardCharsets;

/**
 * What an operator is answered.
 *
 * @param status the status code
 * @param reason the words behind it
 * @param allow the methods that the path knows, empty when that is not the point
 * @param body JSON
 */
public record Answer(int status, String reason, String allow, String body) {
  /** Yes, with this. */
  static Answer yes(String body) {
    return new Answer(200, "OK", "", body);
  }

  /** No, with a plain reason. */
  static Answer no(int status, String reason, String why) {
    return new Answer(status, reason, "", "{\"error\":\"" + why.replaceAll("[^ -~]|[\"\\\\]", "?") + "\"}");
  }

  /** The path is known, the method is not. */
  static Answer notAllowed(String allow) {
    return new Answer(405, "Method Not Allowed", allow, no(405, "", "this path takes " + allow).body());
  }

  /** As it goes out; the connection is closed behind it. */
  byte[] bytes() {
    byte[] content = (body + "\n").getBytes(StandardCharsets.UTF_8);
    String head = "HTTP/1.1 " + status + ' ' + reason + "\r\nContent-Type: application/json\r\nContent-Length: "
        + content.length + (allow.isEmpty() ? "" : "\r\nAllow: " + allow) + "\r\nConnection: close\r\n\r\n";
    byte[] start = head.getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[start.length + content.length];
    System.arraycopy(start, 0, all, 0, start.length);
    System.arraycopy(content, 0, all, start.length, content.length);
    return all;
  }
}
