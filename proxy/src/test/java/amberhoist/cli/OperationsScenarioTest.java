package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The operations of a deployment on real processes: start, suspend, an upgrade with open connections, resume, stop. The
 * metrics of the management API are compared with what the test's clients and providers have counted.
 */
@Timeout(120)
class OperationsScenarioTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int CLIENT_COUNT = 20;

  @TempDir
  private Path folder;

  /** A provider that answers each first line with UP, echoes every other line and closes when its client does. */
  private static final class Provider implements AutoCloseable {
    final ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
    final AtomicInteger requestCount = new AtomicInteger();
    final AtomicInteger connectionCount = new AtomicInteger();

    Provider() throws IOException {
      Thread accepting = new Thread(() -> {
        while (!server.isClosed()) {
          try {
            Socket socket = server.accept();
            Thread serving = new Thread(() -> serve(socket));
            serving.setDaemon(true);
            serving.start();
          } catch (IOException closed) {
            return;
          }
        }
      });
      accepting.setDaemon(true);
      accepting.start();
    }

    private void serve(Socket socket) {
      try (socket; BufferedReader in = reader(socket)) {
        if (in.readLine() != null) {
          requestCount.incrementAndGet();
          connectionCount.incrementAndGet();
          write(socket, "UP r\r\n");
          for (String line = in.readLine(); line != null; line = in.readLine()) {
            write(socket, line + "\r\n");
          }
          connectionCount.decrementAndGet();
        }
      } catch (IOException closed) {
        connectionCount.decrementAndGet();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** A client that reconnects with the same key whenever it receives MOVE. */
  private final class Client {
    final String key;
    Socket socket;
    BufferedReader in;

    Client(String key) throws IOException {
      this.key = key;
      open("");
    }

    void open(String extraFields) throws IOException {
      socket = new Socket(LOOPBACK, port);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      in = reader(socket);
      write(socket, "OPEN " + Integer.toHexString(nextId.incrementAndGet()) + ' ' + key
          + " c=scan-tiles,t=acme,d=3000,g=" + key + extraFields + "\r\n");
      assertEquals("UP r", in.readLine());
      upCount++;
    }

    /** Sends a line and returns true if the provider echoes it; reconnects and returns false at MOVE. */
    boolean echoesOrReconnects() throws IOException {
      write(socket, "M\r\n");
      String line = in.readLine();
      if ("M".equals(line)) {
        return true;
      }
      assertEquals("MOVE", line);
      socket.close();
      open(",again=1");
      return false;
    }
  }

  private final AtomicInteger nextId = new AtomicInteger();
  private int port;
  private int upCount;

  private static int freePort() throws IOException {
    try (ServerSocket unused = new ServerSocket(0, 1, LOOPBACK)) {
      return unused.getLocalPort();
    }
  }

  private Process start(Path config, int managementPort) throws IOException {
    List<String> command = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC", "--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main", "serve");
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(folder.resolve("log" + managementPort).toFile());
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("LB_MGMT", "127.0.0.1:" + managementPort);
    builder.environment().put("TMPDIR", folder.toString());
    return builder.start();
  }

  private static String request(int managementPort, String method, String path) throws IOException {
    try (Socket socket = new Socket(LOOPBACK, managementPort)) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      write(socket, method + ' ' + path + " HTTP/1.1\r\n\r\n");
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      if (response.isEmpty()) {
        throw new IOException("the process ended");
      }
      return response;
    }
  }

  private static void awaitReady(Process process, int managementPort) {
    while (true) {
      try {
        if (request(managementPort, "GET", "/v1/readyz").startsWith("HTTP/1.1 200")) {
          return;
        }
      } catch (IOException notYet) {
        assertTrue(process.isAlive(), "the process ended during its start");
      }
      Thread.onSpinWait();
    }
  }

  private static JsonNode metrics(int managementPort) throws IOException {
    String response = request(managementPort, "GET", "/v1/metrics");
    return new ObjectMapper().readTree(response.substring(response.indexOf("\r\n\r\n")));
  }

  private static void terminate(Process process) throws Exception {
    new ProcessBuilder("kill", "-TERM", Long.toString(process.pid())).start().waitFor();
  }

  private static String entry(String name, Provider provider) {
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + provider.server.getLocalPort()
        + "\",\"zone\":\"here\",\"type\":\"m\",\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}";
  }

  @Test
  void keepsClientsAndCountsThroughSuspendUpgradeAndResume() throws Exception {
    port = freePort();
    int oldPort = freePort();
    int successorPort = freePort();
    Process old = null;
    Process successor = null;
    try (Provider p0 = new Provider(); Provider p1 = new Provider()) {
      String example = Files.readString(Path.of("../example/config.json"));
      Path config = Files.writeString(folder.resolve("config.json"), example
          .replaceAll("(?s)\"endpoints\": \\[.*?\\]",
              "\"endpoints\": [" + entry("p0", p0) + "," + entry("p1", p1) + "]")
          .replace("127.0.0.1:8500", "127.0.0.1:1"));
      old = start(config, oldPort);
      awaitReady(old, oldPort);
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < CLIENT_COUNT; i++) {
        clients.add(new Client("k" + i));
      }
      JsonNode metrics = metrics(oldPort);
      assertEquals(CLIENT_COUNT, metrics.path("served").path("scan-tiles").asInt(), metrics.toString());
      assertEquals(0, metrics.path("served").path("depth-picks").asInt(-1));
      assertEquals(p0.requestCount.get() + p1.requestCount.get(), metrics.path("attempts").asInt());
      assertEquals(CLIENT_COUNT, metrics.path("in_flight").asInt());

      assertTrue(request(oldPort, "PUT", "/v1/viewer-hosts/p0/suspend").startsWith("HTTP/1.1 200"));
      int requestsBefore = p0.requestCount.get();
      while (p0.connectionCount.get() > 0) {
        for (Client client : clients) {
          client.echoesOrReconnects();
        }
      }
      assertEquals(requestsBefore, p0.requestCount.get(), "a suspended provider gets no new request");

      successor = start(config, successorPort);
      awaitReady(successor, successorPort);
      assertEquals(1, metrics(successorPort).path("viewer_hosts_excluded").asInt(), "suspended in the successor too");
      terminate(old);
      List<Client> moving = new ArrayList<>(clients);
      JsonNode lastMetrics = metrics(oldPort);
      while (!moving.isEmpty()) {
        List<Client> remaining = new ArrayList<>();
        for (Client client : moving) {
          if (client.echoesOrReconnects()) {
            remaining.add(client);
          }
        }
        moving = remaining;
      }
      try {
        while (true) {
          lastMetrics = metrics(oldPort);
        }
      } catch (IOException ended) {
        assertEquals(0, old.waitFor(), "the old process exits by itself with status 0");
      }
      for (Client client : clients) {
        client.echoesOrReconnects(); // it may have reconnected to the old process, which then moved it again
      }
      assertEquals(requestsBefore, p0.requestCount.get(), "no request through the successor either");
      assertEquals(CLIENT_COUNT, metrics(successorPort).path("in_flight").asInt());
      int served = lastMetrics.path("served").path("scan-tiles").asInt()
          + metrics(successorPort).path("served").path("scan-tiles").asInt();
      assertEquals(upCount, served, "each UP was counted by one of the two processes");
      assertEquals(p0.requestCount.get() + p1.requestCount.get(), lastMetrics.path("attempts").asInt()
          + metrics(successorPort).path("attempts").asInt());

      assertTrue(request(successorPort, "PUT", "/v1/viewer-hosts/p0/resume").startsWith("HTTP/1.1 200"));
      while (p0.requestCount.get() == requestsBefore) {
        clients.add(new Client("more" + clients.size()));
      }
      terminate(successor);
      assertEquals(0, successor.waitFor());
    } finally {
      for (Process process : new Process[] {old, successor}) {
        if (process != null) {
          process.destroyForcibly();
        }
      }
    }
  }
}
