package amberhoist.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Sends requests to the admin socket of an instance. */
public final class AdminClient {
  private AdminClient() {}

  /**
   * Sends a GET request and returns the body of the response.
   *
   * @throws IOException if there is no response, or its status is not 200
   */
  public static String get(SocketAddress address, String path) throws IOException {
    try (SocketChannel channel = SocketChannel.open(address)) {
      ByteBuffer request = ByteBuffer.wrap(
          ("GET " + path + " HTTP/1.1\r\nHost: admin\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      while (request.hasRemaining()) {
        channel.write(request);
      }
      ByteArrayOutputStream response = new ByteArrayOutputStream();
      ByteBuffer buffer = ByteBuffer.allocate(8192);
      while (channel.read(buffer) >= 0) {
        response.write(buffer.array(), 0, buffer.position());
        buffer.clear();
      }
      String text = response.toString(StandardCharsets.UTF_8);
      int end = text.indexOf("\r\n\r\n");
      if (end < 0 || !text.startsWith("HTTP/1.1 200 ")) {
        throw new IOException("unexpected response: " + text.lines().findFirst().orElse("none"));
      }
      return text.substring(end + 4);
    }
  }
}
