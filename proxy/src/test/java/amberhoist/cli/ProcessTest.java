package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/** The command line in its own process: standard error, signals, the admin socket, descriptors, exit statuses. */
class ProcessTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  @TempDir
  private Path folder;

  private ProcessBuilder command(String... args) {
    List<String> arguments = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC", "--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main"));
    arguments.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(arguments);
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", "../example/config.json");
    return builder;
  }

  private SocketAddress adminAddress() {
    return UnixDomainSocketAddress.of(folder.resolve("admin.sock"));
  }

  private Process serve(String... extraArgs) throws IOException {
    List<String> args = new ArrayList<>(List.of("serve", "--listen", "127.0.0.1:0", "--directory", "127.0.0.1:1",
        "--set", "admin.listen=unix:" + folder.resolve("admin.sock")));
    args.addAll(List.of(extraArgs));
    return command(args.toArray(String[]::new)).start();
  }

  private JsonNode awaitStatus(Process process) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      try {
        return JSON.readTree(AdminClient.get(adminAddress(), "/status"));
      } catch (IOException notYet) {
        assertTrue(process.isAlive() && System.nanoTime() < deadline, "no answer from the admin socket: " + notYet);
        Thread.onSpinWait();
      }
    }
  }

  private static String firstAnswer(int port, String text) throws IOException {
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      client.setSoTimeout(TIMEOUT_MILLIS);
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
  void fullStandardErrorPipeDoesNotBlockTheLoop() throws Exception {
    Process process = serve("--set", "log.rate=10000", "--set", "log.burst=100000", "--set", "log.queue=4KiB");
    try {
      int port = port(awaitStatus(process));
      long dropped = 0;
      for (int i = 0; i < 20_000 && dropped == 0; i++) { // its standard error is a pipe that the test does not read
        assertEquals("ERR", firstAnswer(port, "NONSENSE\r\n"));
        dropped = i % 100 == 99 ? awaitStatus(process).path("log").path("dropped").asLong() : 0;
      }
      assertTrue(dropped > 0, "the pipe never filled");
      assertEquals("PONG", firstAnswer(port, "PING\r\n"), "it keeps serving");
      signal(process, "TERM");
      assertEquals(0, process.waitFor(), "and exits with status 0");
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void servesAdminSocketAndHandlesSignalsWithJsonLog() throws Exception {
    Path file = Files.writeString(folder.resolve("o.toml"), "[log]\nformat = \"json\"\n[line]\npings = 1\n");
    Process process = serve("--config", file.toString());
    try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
      JsonNode status = awaitStatus(process);
      assertEquals("serving", status.path("state").asText());
      assertFalse(status.path("reloadIgnored").asBoolean(true));
      assertEquals(2, status.path("providers").size());
      assertEquals("PONG", firstAnswer(port(status), "PING\r\n"));
      String metrics = AdminClient.get(adminAddress(), "/metrics");
      assertTrue(metrics.contains("amberhoist_pinged_total 1.0"), metrics);
      assertTrue(metrics.contains("amberhoist_setup_seconds{quantile=\"0.99\"}"), metrics);
      assertTrue(AdminClient.get(adminAddress(), "/config").contains("o.toml:4"));
      Files.writeString(file, "[log]\nformat = \"text\"\n[line]\npings = 0\n");
      signal(process, "HUP");
      awaitEvent(log, "config.refused");
      Files.writeString(file, "[log]\nformat = \"text\"\n[line]\npings = 5\n");
      signal(process, "HUP");
      assertEquals("log.format", awaitEvent(log, "config.restart_needed").path("keys").asText());
      signal(process, "TERM");
      JsonNode stopped = awaitEvent(log, "proxy.stopped");
      assertTrue(stopped.path("message").asText().contains("reloads=1 reloads_refused=1"), stopped.toString());
      assertEquals("n0", stopped.path("instance").asText());
      assertEquals(0, process.waitFor());
    } finally {
      process.destroyForcibly();
    }
  }

  /** Guards against a reload that is never heard, without a word: the JVM sets no handler for an ignored SIGHUP. */
  @Test
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void saysThatItWasStartedWithSighupIgnored() throws Exception {
    ProcessBuilder builder = command("serve", "--listen", "127.0.0.1:0", "--directory", "127.0.0.1:1", "--set",
        "admin.listen=unix:" + folder.resolve("admin.sock"));
    builder.command().addAll(0, List.of("sh", "-c", "trap '' HUP && exec \"$0\" \"$@\""));
    Process process = builder.start();
    try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
      awaitLine(log, "event=config.reload_ignored");
      assertTrue(awaitStatus(process).path("reloadIgnored").asBoolean());
      assertTrue(AdminClient.get(adminAddress(), "/metrics").contains("amberhoist_reload_ignored 1.0"));
      String text = run("status", "--admin", "unix:" + folder.resolve("admin.sock"))[1];
      assertTrue(text.contains("started with SIGHUP ignored"), text);
    } finally {
      process.destroyForcibly();
    }
  }

  /** Sends a signal. Unlike {@link Process#destroy}, this leaves the streams open. */
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
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new String[] {Integer.toString(process.waitFor()), output};
  }

  /**
   * Signals during the start must be handled once the proxy serves. The configuration is read from a pipe, so the start
   * waits until the test writes it.
   */
  @Test
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void handlesASignalDuringTheStartOnceItServes() throws Exception {
    String config = Files.readString(Path.of("../example/config.json"));
    for (String name : List.of("TERM", "HUP")) {
      Path pipe = folder.resolve(name);
      assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
      ProcessBuilder builder = command("serve");
      builder.environment().putAll(Map.of("LB_CONFIG", pipe.toString(), "LB_LISTEN", "127.0.0.1:0", "LB_DISCOVERY",
          "127.0.0.1:1"));
      Process process = builder.start();
      try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
        try (Writer written = Files.newBufferedWriter(pipe)) { // blocks until the program opens the pipe
          signal(process, name);
          awaitThread(process, name.equals("TERM") ? "stop" : "SIGHUP handler");
          Path file = Files.writeString(folder.resolve("config.json"), config);
          Files.move(file, pipe, StandardCopyOption.REPLACE_EXISTING); // a reload reads this file in place of the pipe
          written.write(config);
        }
        if (name.equals("HUP")) {
          awaitLine(log, "event=config.reloaded");
          signal(process, "TERM");
        }
        awaitLine(log, "event=proxy.stops");
        signal(process, "TERM"); // a second stop, and a reload during the stop
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
    String threadName = name.substring(0, Math.min(15, name.length())); // the kernel keeps 15 characters
    long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      assertTrue(process.isAlive() && System.nanoTime() < deadline, "no thread " + name);
      try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
        for (Path task : tasks.toList()) {
          if (Files.readString(task.resolve("comm")).strip().equals(threadName)) {
            return;
          }
        }
      } catch (IOException threadEnded) {
        Thread.onSpinWait();
      }
    }
  }

  /**
   * Idle clients must not take the descriptors that the watch and a request need. They connect while the directory is
   * down; it then comes back, and another client sends a request.
   */
  @Test
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void idleClientsLeaveDescriptorsForWatchAndRequests() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServerSocket unused = new ServerSocket(0, 1, loopback);
    InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
    unused.close(); // the directory is down
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
      assertEquals("PONG", firstAnswer(port, "PING\r\n"), "all earlier clients were accepted or closed");
      assertTrue(descriptorCount(process) <= 64, "descriptors above the limit: " + descriptorCount(process));
      directory.setReuseAddress(true);
      directory.bind(address);
      directory.setSoTimeout(TIMEOUT_MILLIS);
      directory.accept(); // the watch
      provider.setSoTimeout(TIMEOUT_MILLIS);
      try (Socket client = new Socket(loopback, port); BufferedReader in = new BufferedReader(
          new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1))) {
        client.getOutputStream().write("OPEN 1 1 c=scan-tiles,d=20000\r\n".getBytes(StandardCharsets.ISO_8859_1));
        provider.accept().getOutputStream().write("UP r\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals("UP r", in.readLine());
      }
      assertTrue(descriptorCount(process) <= 64, "descriptors above the limit: " + descriptorCount(process));
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

  /** Returns the number of open descriptors of a process. All jars count as one, as a deployment has one. */
  private static long descriptorCount(Process process) throws IOException {
    long count = 0;
    try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      for (Path descriptor : all.toList()) {
        try {
          count += Files.readSymbolicLink(descriptor).toString().endsWith(".jar") ? 0 : 1;
        } catch (IOException closed) {
          // closed since it was listed
        }
      }
    }
    return count + 1;
  }

  @Test
  void exitsWith2ForUsageErrorsAnd1ForFailures() throws Exception {
    assertEquals("2", run("sevre")[0]);
    assertEquals("2", run("status")[0], "no admin socket is set");
    assertEquals("2", run("config", "check")[0]);
    assertEquals("1", run("status", "--admin", "127.0.0.1:1")[0], "no process answers");
    Path bad = Files.writeString(folder.resolve("bad.toml"), "[log]\nrate = 0\nburst = 0\nx = 1\n");
    String[] refused = run("serve", "--config", bad.toString());
    assertEquals("1", refused[0]);
    assertEquals(3, refused[1].lines().count(), refused[1]);
    assertEquals("1", run("config", "check", bad.toString(), "../deploy/amberhoist.toml")[0]);
    assertEquals("0", run("config", "check", "../deploy/amberhoist.toml")[0]);
    assertEquals("0", run("version")[0]);
  }

  @Test
  void doesNotTakeOverAnAdminSocketInUse() throws Exception {
    Process first = serve();
    try {
      awaitStatus(first);
      Process second = serve();
      assertTrue(second.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "the second process serves beside the first");
      assertEquals(1, second.exitValue());
      awaitStatus(first); // still answers
      first.destroyForcibly();
      first.waitFor();
      Process third = serve(); // replaces the socket file that the killed process left
      try {
        awaitStatus(third);
      } finally {
        third.destroyForcibly();
      }
    } finally {
      first.destroyForcibly();
    }
  }

  @Test
  void closesSlowAdminConnections() throws Exception {
    Process process = serve("--set", "admin.timeout=1s", "--set", "admin.listen=127.0.0.1:0");
    try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
      String line = log.readLine();
      while (!line.contains("event=admin.listens")) {
        line = log.readLine();
      }
      int port = Integer.parseInt(line.replaceAll(".*address=/127.0.0.1:([0-9]+).*", "$1"));
      try (Socket idle = new Socket(InetAddress.getLoopbackAddress(), port)) {
        idle.setSoTimeout(TIMEOUT_MILLIS);
        idle.getOutputStream().write("GET /sta".getBytes(StandardCharsets.US_ASCII));
        assertEquals(-1, idle.getInputStream().read(), "the connection is closed");
      }
      String status = AdminClient.get(new InetSocketAddress("127.0.0.1", port), "/status");
      assertEquals("serving", JSON.readTree(status).path("state").asText());
    } finally {
      process.destroyForcibly();
    }
  }
}
