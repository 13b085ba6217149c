package amberhoist.mgmt;

import java.nio.charset.StandardCharsets;

/**
 * A response of the management API.
 *
 * @param status the HTTP status code
 * @param reason the reason phrase
 * @param allow the value of the {@code Allow} header, empty for none
 * @param body the JSON body, without a line end
 */
public record ManagementResponse(int status, String reason, String allow, String body) {
  /** A 200 response with this JSON body. */
  static ManagementResponse ok(String body) {
    return new ManagementResponse(200, "OK", "", body);
  }

  /** An error response; its body holds the message, with characters that JSON would have to escape replaced. */
  static ManagementResponse error(int status, String reason, String message) {
    return new ManagementResponse(status, reason, "",
        "{\"error\":\"" + message.replaceAll("[^ -~]|[\"\\\\]", "?") + "\"}");
  }

  /** A 405 response for a path that supports only the methods in {@code allow}. */
  static ManagementResponse methodNotAllowed(String allow) {
    return new ManagementResponse(405, "Method Not Allowed", allow,
        error(405, "", "this path only supports " + allow).body());
  }

  /** The encoded response. It announces that the connection will be closed. */
  byte[] encode() {
    byte[] bodyBytes = (body + "\n").getBytes(StandardCharsets.UTF_8);
    String head = "HTTP/1.1 " + status + ' ' + reason + "\r\nContent-Type: application/json\r\nContent-Length: "
        + bodyBytes.length + (allow.isEmpty() ? "" : "\r\nAllow: " + allow) + "\r\nConnection: close\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[headBytes.length + bodyBytes.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(bodyBytes, 0, all, headBytes.length, bodyBytes.length);
    return all;
  }
}
