package amberhoist.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on loopback with a thread for each connection: enough for a handful of peers, and easy to read. */
abstract class StandIn implements AutoCloseable {
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /** Listens on this port of loopback; 0 lets the system choose. {@link #serve} begins to answer. */
  StandIn(int port) throws IOException {
    server = new ServerSocket(port, 64, InetAddress.getLoopbackAddress());
  }

  /** Accepts from now on; called once by the constructor of the class that knows how to talk. */
  final void serve(String name) {
    daemon(name, () -> {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          open.add(socket);
          daemon(name, () -> talk(socket));
        } catch (IOException closed) {
          return; // the stand-in has been closed
        }
      }
    });
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void talk(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      talk(in, socket.getOutputStream());
    } catch (IOException | InterruptedException ended) {
      // the other side has gone, or the stand-in has been closed
    } finally {
      open.remove(socket);
    }
  }

  /** Talks with one peer until one of the two ends it. */
  abstract void talk(BufferedReader in, OutputStream out) throws IOException, InterruptedException;

  static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Where it listens. */
  final String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
