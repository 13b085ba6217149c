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

/** A client of the platform's lines, for a look by hand: opens a connection, sends lines and prints answers. */
final class LineClient {
  private static final long PAUSE = 50_000_000; // nanoseconds between tries to connect

  private final PrintStream out;

  LineClient(PrintStream out) {
    this.out = out;
  }

  /**
   * Opens a connection of this class and sends these lines one by one, each after the answer to the one before.
   *
   * @param wait tries to connect for so long, for a proxy that is only just starting
   * @return whether the connection was served and each line returned
   * @throws IOException when nobody listens there, or an answer does not come within ten seconds
   */
  boolean run(InetSocketAddress proxy, String type, List<String> lines, Duration wait) throws IOException {
    try (Socket socket = connect(proxy, wait)) {
      socket.setSoTimeout(10_000);
      socket.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String id = Long.toHexString(System.nanoTime());
      boolean served = ask(socket, in, "OPEN " + id + " hand c=" + type + ",d=2000,g=hand").startsWith("UP ");
      for (String line : served ? lines : List.<String>of()) {
        served &= ask(socket, in, line).equals(line);
      }
      return served;
    }
  }

  private String ask(Socket socket, BufferedReader in, String line) throws IOException {
    out.println("> " + line);
    StandIn.send(socket.getOutputStream(), line + "\r\n");
    String answer = in.readLine();
    out.println(answer == null ? "the connection has ended" : "< " + answer);
    return String.valueOf(answer);
  }

  private static Socket connect(InetSocketAddress proxy, Duration wait) throws IOException {
    long end = System.nanoTime() + wait.toNanos();
    while (true) {
      Socket socket = new Socket();
      try {
        socket.connect(proxy, 1000);
        return socket;
      } catch (IOException refused) {
        socket.close();
        if (System.nanoTime() >= end) {
          throw new IOException("nobody listens on " + proxy + ": " + refused.getMessage(), refused);
        }
        LockSupport.parkNanos(PAUSE);
      }
    }
  }
}
