package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.admin.AdminClient;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process of its own: standard error, signals, the admin socket, exit codes. */
class ProcessTest {
  private static final int PATIENCE = 20_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  @TempDir
  private Path folder;

  private ProcessBuilder command(String... args) {
    List<String> line = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC", "--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main"));
    line.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", "../example/config.json");
    return builder;
  }

  private SocketAddress admin() {
    return UnixDomainSocketAddress.of(folder.resolve("admin.sock"));
  }

  private Process serve(String... more) throws IOException {
    List<String> args = new ArrayList<>(List.of("serve", "--listen", "127.0.0.1:0", "--directory", "127.0.0.1:1",
        "--set", "admin.listen=unix:" + folder.resolve("admin.sock")));
    args.addAll(List.of(more));
    return command(args.toArray(String[]::new)).start();
  }

  private JsonNode status(Process process) throws Exception {
    long end = System.nanoTime() + PATIENCE * 1_000_000L;
    while (true) {
      try {
        return JSON.readTree(AdminClient.get(admin(), "/status"));
      } catch (IOException notYet) {
        assertTrue(process.isAlive() && System.nanoTime() < end, "nobody answers: " + notYet);
        Thread.onSpinWait();
      }
    }
  }

  private static String answer(int port, String text) throws IOException {
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      client.setSoTimeout(PATIENCE);
      client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1))
          .readLine();
    }
  }

  private static int port(JsonNode status) {
    String listen = status.path("listen").asText();
    return Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
  }

  @Test
  void aFullPipeOnStandardErrorDoesNotStopTheLoop() throws Exception {
    Process process = serve("--set", "log.rate=10000", "--set", "log.burst=100000", "--set", "log.queue=4KiB");
    try {
      int port = port(status(process));
      long dropped = 0;
      for (int i = 0; i < 20_000 && dropped == 0; i++) { // nobody reads its standard error, which is a pipe
        assertEquals("ERR", answer(port, "NONSENSE\r\n"));
        dropped = i % 100 == 99 ? status(process).path("log").path("dropped").asLong() : 0;
      }
      assertTrue(dropped > 0, "the pipe never filled");
      assertEquals("PONG", answer(port, "PING\r\n"), "it goes on serving");
      signal(process, "TERM");
      assertEquals(0, process.waitFor(), "and stops in good order");
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void jsonLinesAndSignalsAndTheAdminSocket() throws Exception {
    Path file = Files.writeString(folder.resolve("o.toml"), "[log]\nformat = \"json\"\n[line]\npings = 1\n");
    Process process = serve("--config", file.toString());
    try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
      JsonNode status = status(process);
      assertEquals("serving", status.path("state").asText());
      assertEquals(2, status.path("providers").size());
      assertEquals("PONG", answer(port(status), "PING\r\n"));
      String metrics = AdminClient.get(admin(), "/metrics");
      assertTrue(metrics.contains("amberhoist_pinged_total 1.0"), metrics);
      assertTrue(metrics.contains("amberhoist_setup_seconds{quantile=\"0.99\"}"), metrics);
      assertTrue(AdminClient.get(admin(), "/config").contains("o.toml:4"));
      Files.writeString(file, "[log]\nformat = \"text\"\n[line]\npings = 0\n");
      signal(process, "HUP");
      awaitEvent(log, "config.refused");
      Files.writeString(file, "[log]\nformat = \"text\"\n[line]\npings = 5\n");
      signal(process, "HUP");
      assertEquals("log.format", awaitEvent(log, "config.restart_needed").path("keys").asText());
      signal(process, "TERM");
      JsonNode last = awaitEvent(log, "proxy.stopped");
      assertTrue(last.path("message").asText().contains("reloads=1 reloads_refused=1"), last.toString());
      assertEquals("n0", last.path("instance").asText());
      assertEquals(0, process.waitFor());
    } finally {
      process.destroyForcibly();
    }
  }

  /** Unlike Process.destroy, this leaves the streams open. */
  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  private static JsonNode awaitEvent(BufferedReader log, String event) throws IOException {
    while (true) {
      String line = log.readLine();
      assertNotNull(line, "the log ended without " + event);
      JsonNode read = JSON.readTree(line);
      if (read.path("event").asText().equals(event)) {
        return read;
      }
    }
  }

  private String[] run(String... args) throws Exception {
    Process process = command(args).redirectErrorStream(true).start();
    String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new String[] {Integer.toString(process.waitFor()), told};
  }

  /** The program reads its configuration from a pipe: it is certain where it stands until that is written. */
  @Test
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void aSignalAtTheStartIsActedOnOnceTheProxyServes() throws Exception {
    String config = Files.readString(Path.of("../example/config.json"));
    for (String name : List.of("TERM", "HUP")) {
      Path pipe = folder.resolve(name);
      assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
      ProcessBuilder builder = command("serve");
      builder.environment().putAll(Map.of("LB_CONFIG", pipe.toString(), "LB_LISTEN", "127.0.0.1:0", "LB_DISCOVERY",
          "127.0.0.1:1"));
      Process process = builder.start();
      try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
        try (Writer written = Files.newBufferedWriter(pipe)) { // opens when the program does
          signal(process, name);
          awaitThread(process, name.equals("TERM") ? "stop" : "SIGHUP handler");
          Path file = Files.writeString(folder.resolve("config.json"), config);
          Files.move(file, pipe, StandardCopyOption.REPLACE_EXISTING); // for whoever reads it again
          written.write(config);
        }
        if (name.equals("HUP")) {
          awaitLine(log, "event=config.reloaded");
          signal(process, "TERM");
        }
        awaitLine(log, "event=proxy.stops");
        signal(process, "TERM"); // again, and new settings in the middle of the end
        signal(process, "HUP");
        awaitLine(log, "event=proxy.stopped");
        assertEquals(0, process.waitFor());
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private static void awaitLine(BufferedReader log, String part) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(part)) {
      line = log.readLine();
    }
    assertNotNull(line, "the log ended without " + part);
  }

  private static void awaitThread(Process process, String name) throws Exception {
    String cut = name.substring(0, Math.min(15, name.length())); // as the system keeps it
    long end = System.nanoTime() + PATIENCE * 1_000_000L;
    while (true) {
      assertTrue(process.isAlive() && System.nanoTime() < end, "no thread " + name);
      try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
        for (Path task : tasks.toList()) {
          if (Files.readString(task.resolve("comm")).strip().equals(cut)) {
            return;
          }
        }
      } catch (IOException gone) {
        Thread.onSpinWait();
      }
    }
  }

  /** Idle clients fill the descriptors while the directory is down; it comes back, and so does a usual client. */
  @Test
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void idleClientsTakeNoDescriptorThatIsNeeded() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServerSocket free = new ServerSocket(0, 1, loopback);
    InetSocketAddress address = (InetSocketAddress) free.getLocalSocketAddress();
    free.close(); // the directory is down
    List<Socket> idle = new ArrayList<>();
    Process process = null;
    try (ServerSocket provider = new ServerSocket(0, 64, loopback); ServerSocket directory = new ServerSocket()) {
      String config = Files.readString(Path.of("../example/config.json"))
          .replace("\"sockets\": 1024", "\"sockets\": 64")
          .replaceAll("127.0.0.1:300[12]", "127.0.0.1:" + provider.getLocalPort());
      ProcessBuilder builder = command("serve");
      builder.environment().put("LB_CONFIG", Files.writeString(folder.resolve("few.json"), config).toString());
      builder.environment().put("LB_LISTEN", "127.0.0.1:0");
      builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + address.getPort());
      process = builder.redirectError(folder.resolve("few.log").toFile()).start();
      int port = 0;
      while (port == 0) {
        assertTrue(process.isAlive());
        port = Files.readString(folder.resolve("few.log")).lines().filter(line -> line.contains("serves on"))
            .findFirst().map(line -> Integer.parseInt(line.substring(line.lastIndexOf(':') + 1))).orElse(0);
      }
      for (int i = 0; i < 300; i++) {
        idle.add(new Socket(loopback, port));
      }
      assertEquals("PONG", answer(port, "PING\r\n"), "all before it have been taken in, or were ended");
      assertTrue(descriptors(process) <= 64, "over its limit: " + descriptors(process));
      directory.setReuseAddress(true);
      directory.bind(address);
      directory.setSoTimeout(PATIENCE);
      directory.accept(); // the watch
      provider.setSoTimeout(PATIENCE);
      try (Socket client = new Socket(loopback, port); BufferedReader in = new BufferedReader(
          new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1))) {
        client.getOutputStream().write("OPEN 1 1 c=scan-tiles,d=20000\r\n".getBytes(StandardCharsets.ISO_8859_1));
        provider.accept().getOutputStream().write("UP r\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals("UP r", in.readLine());
      }
      assertTrue(descriptors(process) <= 64, "over its limit: " + descriptors(process));
      signal(process, "TERM");
      assertEquals(0, process.waitFor());
    } finally {
      if (process != null) {
        process.destroyForcibly();
      }
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  /** How many descriptors a process holds, but for the files that its classes come from, which in service are one. */
  private static long descriptors(Process process) throws IOException {
    long held = 0;
    try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      for (Path one : all.toList()) {
        try {
          held += Files.readSymbolicLink(one).toString().endsWith(".jar") ? 0 : 1;
        } catch (IOException closed) {
          // meanwhile
        }
      }
    }
    return held + 1;
  }

  @Test
  void exitCodesAreTwoForUsageAndOneForFaults() throws Exception {
    assertEquals("2", run("sevre")[0]);
    assertEquals("2", run("status")[0], "no admin socket is set");
    assertEquals("2", run("config", "check")[0]);
    assertEquals("1", run("status", "--admin", "127.0.0.1:1")[0], "nobody answers");
    Path bad = Files.writeString(folder.resolve("bad.toml"), "[log]\nrate = 0\nburst = 0\nx = 1\n");
    String[] refused = run("serve", "--config", bad.toString());
    assertEquals("1", refused[0]);
    assertEquals(3, refused[1].lines().count(), refused[1]);
    assertEquals("1", run("config", "check", bad.toString(), "../deploy/amberhoist.toml")[0]);
    assertEquals("0", run("config", "check", "../deploy/amberhoist.toml")[0]);
    assertEquals("0", run("version")[0]);
  }

  @Test
  void anAdminSocketThatSomebodyAnswersOnIsNotTaken() throws Exception {
    Process first = serve();
    try {
      status(first);
      Process second = serve();
      assertTrue(second.waitFor(PATIENCE, TimeUnit.MILLISECONDS), "it serves beside the first one");
      assertEquals(1, second.exitValue());
      status(first); // still answers
      first.destroyForcibly();
      first.waitFor();
      Process third = serve(); // the file that the killed process left is no obstacle
      try {
        status(third);
      } finally {
        third.destroyForcibly();
      }
    } finally {
      first.destroyForcibly();
    }
  }

  @Test
  void whoDawdlesOnTheAdminSocketIsCutOff() throws Exception {
    Process process = serve("--set", "admin.timeout=1s", "--set", "admin.listen=127.0.0.1:0");
    try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
      String line = log.readLine();
      while (!line.contains("event=admin.listens")) {
        line = log.readLine();
      }
      int port = Integer.parseInt(line.replaceAll(".*address=/127.0.0.1:([0-9]+).*", "$1"));
      try (Socket idle = new Socket(InetAddress.getLoopbackAddress(), port)) {
        idle.setSoTimeout(PATIENCE);
        idle.getOutputStream().write("GET /sta".getBytes(StandardCharsets.US_ASCII));
        assertEquals(-1, idle.getInputStream().read(), "cut off");
      }
      String answer = AdminClient.get(new InetSocketAddress("127.0.0.1", port), "/status");
      assertEquals("serving", JSON.readTree(answer).path("state").asText());
    } finally {
      process.destroyForcibly();
    }
  }
}
