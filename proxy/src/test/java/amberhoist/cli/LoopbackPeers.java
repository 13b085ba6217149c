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

/** Listeners on loopback round processes of the program, and the processes; all of them end with it. */
final class LoopbackPeers implements AutoCloseable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int BACKLOG = 1024;

  /** What a listener does with a connection. */
  interface Serving {
    void on(Socket socket, BufferedReader in) throws IOException;
  }

  private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
    Thread made = new Thread(task);
    made.setDaemon(true);
    return made;
  });
  private final Queue<ServerSocket> servers = new ConcurrentLinkedQueue<>();
  private final List<Process> processes = new ArrayList<>();

  void execute(Runnable task) {
    threads.execute(task);
  }

  boolean closed() {
    return threads.isShutdown();
  }

  List<Process> processes() {
    return processes;
  }

  /** A listener that serves each who comes on a thread of its own; its port. */
  int listen(Serving serving) throws IOException {
    ServerSocket server = new ServerSocket(0, BACKLOG, LOOPBACK);
    servers.add(server);
    threads.execute(() -> {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          threads.execute(() -> {
            try {
              serving.on(socket, reader(socket));
            } catch (IOException gone) {
              // so is the connection
            }
          });
        } catch (IOException closed) {
          return;
        }
      }
    });
    return server.getLocalPort();
  }

  /** A directory that answers a watch with these chunks and then leaves it open. */
  int directory(Serving answer) throws IOException {
    return listen((socket, in) -> {
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        // the query and its headers
      }
      write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      answer.on(socket, in);
    });
  }

  /** Starts the program by this platform configuration; the port that clients reach it by. */
  int serve(Path config, int directory, String... options) throws IOException {
    List<String> line = new ArrayList<>(
        List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC"));
    line.addAll(List.of(options));
    line.addAll(List.of("--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_LISTEN", "127.0.0.1:0");
    builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + directory);
    Process process = builder.start();
    processes.add(process);
    BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
    String told = log.readLine();
    while (told != null && !told.contains("serves on ")) {
      told = log.readLine();
    }
    assertNotNull(told, "it ended at its start");
    threads.execute(() -> log.lines().forEach(more -> { }));
    return Integer.parseInt(told.replaceAll(".*address=/127\\.0\\.0\\.1:([0-9]+).*", "$1"));
  }

  static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** An object of the directory, as a chunk. */
  static String chunk(String object) {
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
        // as it should be
      }
    }
  }
}
