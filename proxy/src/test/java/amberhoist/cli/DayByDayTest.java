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
 * What operators do, on real processes: start, suspend, a new version under open connections, resume, stop. The
 * figures are compared with what the clients and providers here have seen.
 */
@Timeout(120)
class DayByDayTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int PATIENCE = 20_000;
  private static final int CLIENTS = 20;

  @TempDir
  private Path folder;

  /** Answers UP to each first line, returns every other line, and ends when its client does. */
  private static final class Provider implements AutoCloseable {
    final ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
    final AtomicInteger opened = new AtomicInteger();
    final AtomicInteger standing = new AtomicInteger();

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
          opened.incrementAndGet();
          standing.incrementAndGet();
          write(socket, "UP r\r\n");
          for (String line = in.readLine(); line != null; line = in.readLine()) {
            write(socket, line + "\r\n");
          }
          standing.decrementAndGet();
        }
      } catch (IOException gone) {
        standing.decrementAndGet();
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

  /** A client that comes again, with the same key, whenever it is moved. */
  private final class Client {
    final String key;
    Socket socket;
    BufferedReader in;

    Client(String key) throws IOException {
      this.key = key;
      open("");
    }

    void open(String more) throws IOException {
      socket = new Socket(LOOPBACK, port);
      socket.setSoTimeout(PATIENCE);
      in = reader(socket);
      write(socket, "OPEN " + Integer.toHexString(ids.incrementAndGet()) + ' ' + key
          + " c=scan-tiles,t=acme,d=3000,g=" + key + more + "\r\n");
      assertEquals("UP r", in.readLine());
      ups++;
    }

    /** Whether it still stands; it does not when it was told to move, and then it comes again. */
    boolean stood() throws IOException {
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

  private final AtomicInteger ids = new AtomicInteger();
  private int port;
  private int ups;

  private static int freePort() throws IOException {
    try (ServerSocket any = new ServerSocket(0, 1, LOOPBACK)) {
      return any.getLocalPort();
    }
  }

  private Process start(Path config, int door) throws IOException {
    List<String> line = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC", "--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main", "serve");
    ProcessBuilder builder = new ProcessBuilder(line).redirectErrorStream(true)
        .redirectOutput(folder.resolve("log" + door).toFile());
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("LB_MGMT", "127.0.0.1:" + door);
    builder.environment().put("TMPDIR", folder.toString());
    return builder.start();
  }

  private static String call(int door, String method, String path) throws IOException {
    try (Socket socket = new Socket(LOOPBACK, door)) {
      socket.setSoTimeout(PATIENCE);
      write(socket, method + ' ' + path + " HTTP/1.1\r\n\r\n");
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      if (answer.isEmpty()) {
        throw new IOException("the process ended");
      }
      return answer;
    }
  }

  private static void ready(Process process, int door) {
    while (true) {
      try {
        if (call(door, "GET", "/v1/readyz").startsWith("HTTP/1.1 200")) {
          return;
        }
      } catch (IOException notYet) {
        assertTrue(process.isAlive(), "it ended at its start");
      }
      Thread.onSpinWait();
    }
  }

  private static JsonNode figures(int door) throws IOException {
    String answer = call(door, "GET", "/v1/metrics");
    return new ObjectMapper().readTree(answer.substring(answer.indexOf("\r\n\r\n")));
  }

  private static void terminate(Process process) throws Exception {
    new ProcessBuilder("kill", "-TERM", Long.toString(process.pid())).start().waitFor();
  }

  private static String entry(String name, Provider provider) {
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + provider.server.getLocalPort()
        + "\",\"zone\":\"here\",\"type\":\"m\",\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}";
  }

  @Test
  void aDayOfOperations() throws Exception {
    port = freePort();
    int first = freePort();
    int second = freePort();
    Process old = null;
    Process fresh = null;
    try (Provider p0 = new Provider(); Provider p1 = new Provider()) {
      String example = Files.readString(Path.of("../example/config.json"));
      Path config = Files.writeString(folder.resolve("config.json"), example
          .replaceAll("(?s)\"endpoints\": \\[.*?\\]",
              "\"endpoints\": [" + entry("p0", p0) + "," + entry("p1", p1) + "]")
          .replace("127.0.0.1:8500", "127.0.0.1:1"));
      old = start(config, first);
      ready(old, first);
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(new Client("k" + i));
      }
      JsonNode figures = figures(first);
      assertEquals(CLIENTS, figures.path("served").path("scan-tiles").asInt(), figures.toString());
      assertEquals(0, figures.path("served").path("depth-picks").asInt(-1));
      assertEquals(p0.opened.get() + p1.opened.get(), figures.path("attempts").asInt());
      assertEquals(CLIENTS, figures.path("in_flight").asInt());

      assertTrue(call(first, "PUT", "/v1/viewer-hosts/p0/suspend").startsWith("HTTP/1.1 200"));
      int before = p0.opened.get();
      while (p0.standing.get() > 0) {
        for (Client client : clients) {
          client.stood();
        }
      }
      assertEquals(before, p0.opened.get(), "nothing new went to what was taken out");

      fresh = start(config, second);
      ready(fresh, second);
      assertEquals(1, figures(second).path("viewer_hosts_excluded").asInt(), "it is out there too");
      terminate(old);
      List<Client> moving = new ArrayList<>(clients);
      JsonNode last = figures(first);
      while (!moving.isEmpty()) {
        List<Client> stay = new ArrayList<>();
        for (Client client : moving) {
          if (client.stood()) {
            stay.add(client);
          }
        }
        moving = stay;
      }
      try {
        while (true) {
          last = figures(first);
        }
      } catch (IOException ended) {
        assertEquals(0, old.waitFor(), "the old one ends by itself, in good order");
      }
      for (Client client : clients) {
        client.stood(); // one that came back before the old one left the address was served there, and moved again
      }
      assertEquals(before, p0.opened.get(), "also not through the new one");
      assertEquals(CLIENTS, figures(second).path("in_flight").asInt());
      int served = last.path("served").path("scan-tiles").asInt() + figures(second).path("served").path("scan-tiles")
          .asInt();
      assertEquals(ups, served, "each UP was counted by one of the two");
      assertEquals(p0.opened.get() + p1.opened.get(), last.path("attempts").asInt()
          + figures(second).path("attempts").asInt());

      assertTrue(call(second, "PUT", "/v1/viewer-hosts/p0/resume").startsWith("HTTP/1.1 200"));
      while (p0.opened.get() == before) {
        clients.add(new Client("more" + clients.size()));
      }
      terminate(fresh);
      assertEquals(0, fresh.waitFor());
    } finally {
      for (Process process : new Process[] {old, fresh}) {
        if (process != null) {
          process.destroyForcibly();
        }
      }
    }
  }
}
