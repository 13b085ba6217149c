package amberhoist.mgmt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parsing of management requests from byte pieces of any size. */
class RequestParserTest {
  private static RequestParser parse(String text, int pieceBytes) {
    RequestParser parser = new RequestParser();
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int at = 0; at < bytes.length; at += pieceBytes) {
      parser.feed(ByteBuffer.wrap(bytes, at, Math.min(pieceBytes, bytes.length - at)));
    }
    return parser;
  }

  @Test
  void parsesARequestInPiecesOfAnySize() {
    Map<String, ManagementRequest> requests = Map.of(
        "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", new ManagementRequest("GET", List.of("v1", "readyz")),
        "\r\nGET /v1/metrics?all=1#x HTTP/1.0\n\n", new ManagementRequest("GET", List.of("v1", "metrics")),
        "GET http://h:1/v1/readyz HTTP/1.1\r\n\r\n", new ManagementRequest("GET", List.of("v1", "readyz")),
        "PUT /v1/viewer-hosts/s%2d5%C3%A9%2F/suspend HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
        new ManagementRequest("PUT", List.of("v1", "viewer-hosts", "s-5\u00e9/", "suspend")));
    requests.forEach((text, request) -> {
      for (int pieceBytes : List.of(1, 2, 7, text.length())) {
        RequestParser parser = parse(text, pieceBytes);
        assertTrue(parser.isDone(), text);
        assertEquals(request, parser.request(), text);
        assertNull(parser.errorResponse(), text);
      }
    });
  }

  @Test
  void leavesTheBodyInTheBuffer() {
    RequestParser parser = new RequestParser();
    ByteBuffer input = ByteBuffer.wrap("PUT / HTTP/1.1\r\n\r\n{}".getBytes(StandardCharsets.ISO_8859_1));
    parser.feed(input);
    assertEquals(2, input.remaining());
  }

  @Test
  void answers400ToAnInvalidOrTruncatedRequest() {
    for (String text : List.of("GET\r\n\r\n", "GET / HTTP/2\r\n\r\n", "G@T / HTTP/1.1\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n", "GET /a%2 HTTP/1.1\r\n\r\n", "GET /a%zz HTTP/1.1\r\n\r\n",
        "GET /%ff HTTP/1.1\r\n\r\n", "GET /\u00e9 HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\n: x\r\n\r\n", "GET  / HTTP/1.1\r\n\r\n", "OPEN a b c=d\r\n\r\n")) {
      RequestParser parser = parse(text, text.length());
      assertNull(parser.request(), text);
      assertEquals(400, parser.errorResponse().status(), text);
    }
    RequestParser truncated = parse("GET / HTTP/1.1\r\nHost", 3);
    assertFalse(truncated.isDone());
    truncated.onEndOfInput();
    assertEquals(400, truncated.errorResponse().status());
  }

  @Test
  void answers431ToAHeadAboveTheMaximum() {
    RequestParser parser = parse("GET / HTTP/1.1\r\nX: " + "y".repeat(RequestParser.MAX_HEAD_BYTES), 1000);
    assertEquals(431, parser.errorResponse().status());
  }
}
