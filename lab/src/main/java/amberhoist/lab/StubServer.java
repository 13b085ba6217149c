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

/** A stub server on loopback with one thread per connection, for a small number of peers. */
public abstract class StubServer implements AutoCloseable {
  private final ServerSocket server;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /** Listens on this loopback port, or on any free one if it is 0. Accepts only after {@link #acceptConnections}. */
  protected StubServer(int port) throws IOException {
    server = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
  }

  /** Starts to accept connections. Each subclass calls it once, at the end of its constructor. */
  protected final void acceptConnections(String name) {
    startDaemon(name, () -> {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          connections.add(socket);
          startDaemon(name, () -> handleConnection(socket));
        } catch (IOException closed) {
          return; // the server was closed
        }
      }
    });
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void handleConnection(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      handleConnection(socket, in, socket.getOutputStream());
    } catch (IOException | InterruptedException ended) {
      // the peer closed the connection, or the server was closed
    } finally {
      connections.remove(socket);
    }
  }

  /** Handles one connection until either side closes it; the socket is closed afterwards. */
  protected abstract void handleConnection(Socket socket, BufferedReader in, OutputStream out)
      throws IOException, InterruptedException;

  /** Writes text at once. */
  protected static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** The address that it listens on, as {@code host:port}. */
  public final String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
