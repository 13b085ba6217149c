package amberhoist.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** A client of the line protocol for manual tests: opens a connection, sends lines and prints the answers. */
final class LineClient {
  private static final long CONNECT_RETRY_NANOS = 50_000_000;

  private final PrintStream out;

  LineClient(PrintStream out) {
    this.out = out;
  }

  /**
   * Opens a connection and sends the lines one by one, each after the answer to the previous one.
   *
   * @param className request class of the connection
   * @param connectTimeout how long to retry connecting, for a proxy that is still starting
   * @return whether the connection was accepted and each line was returned unchanged
   * @throws IOException if no connection is made in time, or an answer takes more than ten seconds
   */
  boolean run(InetSocketAddress proxy, String className, List<String> lines, Duration connectTimeout)
      throws IOException {
    try (Socket socket = connect(proxy, connectTimeout)) {
      socket.setSoTimeout(10_000);
      socket.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String id = Long.toHexString(System.nanoTime());
      boolean succeeded = exchange(socket, in, "OPEN " + id + " hand c=" + className + ",d=2000,g=hand")
          .startsWith("UP ");
      for (String line : succeeded ? lines : List.<String>of()) {
        succeeded &= exchange(socket, in, line).equals(line);
      }
      return succeeded;
    }
  }

  private String exchange(Socket socket, BufferedReader in, String line) throws IOException {
    out.println("> " + line);
    StubServer.send(socket.getOutputStream(), line + "\r\n");
    String answer = in.readLine();
    out.println(answer == null ? "connection closed" : "< " + answer);
    return String.valueOf(answer);
  }

  private static Socket connect(InetSocketAddress proxy, Duration timeout) throws IOException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (true) {
      Socket socket = new Socket();
      try {
        socket.connect(proxy, 1000);
        return socket;
      } catch (IOException refused) {
        socket.close();
        if (System.nanoTime() >= deadline) {
          throw new IOException("cannot connect to " + proxy + ": " + refused.getMessage(), refused);
        }
        LockSupport.parkNanos(CONNECT_RETRY_NANOS);
      }
    }
  }
}
