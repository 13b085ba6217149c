package amberhoist.lab;

import amberhoist.admin.AdminClient;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures what logging costs under a flood of malformed requests. It starts a proxy process and sends it clients that
 * each connect, send one invalid line and wait for ERR. Arrivals are open-loop: each client has an intended start time.
 */
final class LogFloodBenchmark {
  private static final int CLIENT_THREADS = 6;
  private static final int TIMEOUT_MILLIS = 20_000;

  /**
   * The result of one run.
   *
   * @param logSettings name of the log settings that were measured
   * @param answeredClients number of clients that received ERR
   * @param seconds duration of the run
   * @param cpuSeconds processor time of the proxy process during the run
   * @param logLines lines written to standard error
   * @param logBytes bytes written to standard error
   * @param suppressedLines log lines suppressed by the rate limit
   */
  record FloodResult(String logSettings, int answeredClients, double seconds, double cpuSeconds, long logLines,
      long logBytes, long suppressedLines) {
    static String tableHeader() {
      return "| log | clients | clients/s | CPU s | CPU us/client | log lines | log bytes | suppressed |\n"
          + "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |";
    }

    String toTableRow() {
      return String.format("| %s | %d | %.0f | %.2f | %.1f | %d | %d | %d |", logSettings, answeredClients,
          answeredClients / seconds, cpuSeconds, 1e6 * cpuSeconds / Math.max(1, answeredClients), logLines, logBytes,
          suppressedLines);
    }
  }

  private final Path platformFile;
  private final int clientsPerSecond;
  private final int clientsPerRun;

  /**
   * Prepares a flood.
   *
   * @param platformFile file with the platform's JSON, for the proxy
   * @param clientsPerSecond rate of clients
   * @param seconds duration of each run
   */
  LogFloodBenchmark(Path platformFile, int clientsPerSecond, int seconds) {
    this.platformFile = platformFile;
    this.clientsPerSecond = clientsPerSecond;
    clientsPerRun = clientsPerSecond * seconds;
  }

  /**
   * Starts a proxy, floods it and stops it.
   *
   * @param logSettings name of the log settings, for the report
   * @param settings settings of the proxy, each as {@code key=value}
   */
  FloodResult run(String logSettings, List<String> settings) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("amberhoist-flood");
    Path socket = folder.resolve("admin.sock");
    List<String> command = new ArrayList<>(List.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx32m", "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1", "--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main", "serve", "--platform", platformFile.toString(),
        "--listen", "127.0.0.1:0", "--directory", "127.0.0.1:1", "--set", "admin.listen=unix:" + socket));
    settings.forEach(setting -> command.addAll(List.of("--set", setting)));
    Process process = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    AtomicLong logLines = new AtomicLong();
    AtomicLong logBytes = new AtomicLong();
    Thread logReader = new Thread(() -> countLogOutput(process.getErrorStream(), logLines, logBytes), "log reader");
    logReader.start();
    try {
      JsonNode status = awaitStatus(process, socket);
      String listen = status.path("listen").asText();
      int port = Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
      sendClients(port, 2000); // warms up the proxy
      long linesBefore = logLines.get();
      long bytesBefore = logBytes.get();
      Duration cpuBefore = process.info().totalCpuDuration().orElse(Duration.ZERO);
      long start = System.nanoTime();
      int answered = sendClients(port, clientsPerRun);
      double seconds = (System.nanoTime() - start) / 1e9;
      Duration cpuAfter = process.info().totalCpuDuration().orElse(Duration.ZERO);
      long suppressed = awaitStatus(process, socket).path("log").path("suppressed").asLong();
      return new FloodResult(logSettings, answered, seconds, cpuAfter.minus(cpuBefore).toNanos() / 1e9,
          logLines.get() - linesBefore, logBytes.get() - bytesBefore, suppressed);
    } finally {
      process.destroyForcibly();
      process.waitFor();
      logReader.join();
      Files.deleteIfExists(socket);
      Files.delete(folder);
    }
  }

  private static void countLogOutput(InputStream in, AtomicLong lines, AtomicLong bytes) {
    byte[] buffer = new byte[8192];
    try (in) {
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        bytes.addAndGet(length);
        for (int i = 0; i < length; i++) {
          if (buffer[i] == '\n') {
            lines.incrementAndGet();
          }
        }
      }
    } catch (IOException processEnded) {
      // the process was stopped
    }
  }

  private static JsonNode awaitStatus(Process process, Path socket) throws IOException {
    long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      try {
        return new ObjectMapper().readTree(AdminClient.get(UnixDomainSocketAddress.of(socket), "/status"));
      } catch (IOException notYet) {
        if (!process.isAlive() || System.nanoTime() > deadline) {
          throw new IOException("the proxy does not answer: " + notYet.getMessage(), notYet);
        }
        LockSupport.parkNanos(10_000_000);
      }
    }
  }

  /** Sends {@code count} clients at the configured rate and returns how many of them received ERR. */
  private int sendClients(int port, int count) throws InterruptedException {
    AtomicInteger nextClient = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    long start = System.nanoTime();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENT_THREADS; i++) {
      Thread thread = new Thread(() -> {
        for (int client = nextClient.getAndIncrement(); client < count; client = nextClient.getAndIncrement()) {
          long intended = start + client * 1_000_000_000L / clientsPerSecond;
          for (long remaining = intended - System.nanoTime(); remaining > 0; remaining = intended - System.nanoTime()) {
            LockSupport.parkNanos(remaining);
          }
          answered.addAndGet(sendMalformedRequest(port) ? 1 : 0);
        }
      }, "bad client " + i);
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return answered.get();
  }

  private static boolean sendMalformedRequest(int port) {
    try (Socket socket = new Socket()) {
      socket.setSoLinger(true, 0); // resets on close, so that no local port stays in TIME_WAIT
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
      socket.getOutputStream().write("NONSENSE\r\n".getBytes(StandardCharsets.ISO_8859_1));
      return socket.getInputStream().read() == 'E';
    } catch (IOException refused) {
      return false;
    }
  }
}
