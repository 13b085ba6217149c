package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Proxy processes and the listeners on loopback that they connect to; {@link #close} ends all of them. */
final class ProxyProcessHarness implements AutoCloseable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int BACKLOG = 1024;

  /** Handles a connection that a listener has accepted. */
  interface ConnectionHandler {
    void handle(Socket socket, BufferedReader in) throws IOException;
  }

  private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  });
  private final Queue<ServerSocket> servers = new ConcurrentLinkedQueue<>();
  private final List<Process> processes = new ArrayList<>();

  void execute(Runnable task) {
    threads.execute(task);
  }

  boolean isClosed() {
    return threads.isShutdown();
  }

  List<Process> processes() {
    return processes;
  }

  /** Starts a listener that handles each connection on its own thread; returns its port. */
  int startListener(ConnectionHandler handler) throws IOException {
    ServerSocket server = new ServerSocket(0, BACKLOG, LOOPBACK);
    servers.add(server);
    threads.execute(() -> {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          threads.execute(() -> {
            try {
              handler.handle(socket, reader(socket));
            } catch (IOException closed) {
              // the connection has ended
            }
          });
        } catch (IOException closed) {
          return;
        }
      }
    });
    return server.getLocalPort();
  }

  /** Starts a directory that answers each watch with the handler and leaves it open; returns its port. */
  int startDirectory(ConnectionHandler handler) throws IOException {
    return startListener((socket, in) -> {
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        // skips the request line and headers
      }
      write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      handler.handle(socket, in);
    });
  }

  /** Starts a proxy with this platform configuration; returns the port that clients connect to. */
  int startProxy(Path config, int directoryPort, String... jvmOptions) throws IOException {
    List<String> command = new ArrayList<>(
        List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC"));
    command.addAll(List.of(jvmOptions));
    command.addAll(List.of("--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_LISTEN", "127.0.0.1:0");
    builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + directoryPort);
    Process process = builder.start();
    processes.add(process);
    BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
    String line = log.readLine();
    while (line != null && !line.contains("serves on ")) {
      line = log.readLine();
    }
    assertNotNull(line, "the process ended during its start");
    threads.execute(() -> log.lines().forEach(rest -> { }));
    return Integer.parseInt(line.replaceAll(".*address=/127\\.0\\.0\\.1:([0-9]+).*", "$1"));
  }

  static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Encodes an object of the directory as an HTTP chunk. */
  static String httpChunk(String object) {
    return Integer.toHexString(object.length() + 1) + "\r\n" + object + "\n\r\n";
  }

  @Override
  public void close() {
    threads.shutdownNow();
    processes.forEach(Process::destroyForcibly);
    for (ServerSocket server : servers) {
      try {
        server.close();
      } catch (IOException alreadyClosed) {
        // nothing left to close
      }
    }
  }
}
