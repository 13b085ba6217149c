package amberhoist.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Asks an instance's admin socket one question. */
public final class AdminClient {
  private AdminClient() {}

  /**
   * The body of the answer.
   *
   * @throws IOException when nobody answers there, or not with 200
   */
  public static String ask(SocketAddress address, String path) throws IOException {
    try (SocketChannel channel = SocketChannel.open(address)) {
      ByteBuffer question = ByteBuffer.wrap(
          ("GET " + path + " HTTP/1.1\r\nHost: admin\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      while (question.hasRemaining()) {
        channel.write(question);
      }
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      ByteBuffer buffer = ByteBuffer.allocate(8192);
      while (channel.read(buffer) >= 0) {
        answer.write(buffer.array(), 0, buffer.position());
        buffer.clear();
      }
      String text = answer.toString(StandardCharsets.UTF_8);
      int end = text.indexOf("\r\n\r\n");
      if (end < 0 || !text.startsWith("HTTP/1.1 200 ")) {
        throw new IOException("unexpected answer: " + text.lines().findFirst().orElse("none"));
      }
      return text.substring(end + 4);
    }
  }
}
