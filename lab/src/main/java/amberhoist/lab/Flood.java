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
 * A flood of bad clients against a proxy process of its own: each connects, sends one line that nobody can read,
 * takes its ERR and is replaced by the next. Arrivals are open-loop: each has its intended time.
 */
final class Flood {
  private static final int THREADS = 6;
  private static final int PATIENCE = 20_000; // milliseconds

  /**
   * What a flood cost.
   *
   * @param clients that got their ERR
   * @param seconds it took
   * @param cpuSeconds of the proxy's process during it
   * @param logLines and {@code logBytes} written to standard error
   * @param suppressed lines left out over their rate
   */
  record Cost(String log, int clients, double seconds, double cpuSeconds, long logLines, long logBytes,
      long suppressed) {
    static String header() {
      return "| log | clients | clients/s | CPU s | CPU us/client | log lines | log bytes | suppressed |\n"
          + "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |";
    }

    String row() {
      return String.format("| %s | %d | %.0f | %.2f | %.1f | %d | %d | %d |", log, clients, clients / seconds,
          cpuSeconds, 1e6 * cpuSeconds / Math.max(1, clients), logLines, logBytes, suppressed);
    }
  }

  private final Path platform;
  private final int perSecond;
  private final int total;

  /** A flood of so many clients a second, for so long, against a proxy with this platform's JSON. */
  Flood(Path platform, int perSecond, int seconds) {
    this.platform = platform;
    this.perSecond = perSecond;
    total = perSecond * seconds;
  }

  /** Floods a proxy whose log is as these keys say. */
  Cost run(String name, List<String> keys) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("amberhoist-flood");
    Path socket = folder.resolve("admin.sock");
    List<String> command = new ArrayList<>(List.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx32m", "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1", "--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED", "-cp",
        System.getProperty("java.class.path"), "amberhoist.cli.Main", "serve", "--platform", platform.toString(),
        "--listen", "127.0.0.1:0", "--directory", "127.0.0.1:1", "--set", "admin.listen=unix:" + socket));
    keys.forEach(key -> command.addAll(List.of("--set", key)));
    Process process = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    AtomicLong lines = new AtomicLong();
    AtomicLong bytes = new AtomicLong();
    Thread reader = new Thread(() -> count(process.getErrorStream(), lines, bytes), "log reader");
    reader.start();
    try {
      JsonNode status = status(process, socket);
      String listen = status.path("listen").asText();
      int port = Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
      burst(port, 2000); // warm
      long linesBefore = lines.get();
      long bytesBefore = bytes.get();
      Duration before = process.info().totalCpuDuration().orElse(Duration.ZERO);
      long start = System.nanoTime();
      int served = burst(port, total);
      double seconds = (System.nanoTime() - start) / 1e9;
      Duration after = process.info().totalCpuDuration().orElse(Duration.ZERO);
      long suppressed = status(process, socket).path("log").path("suppressed").asLong();
      return new Cost(name, served, seconds, after.minus(before).toNanos() / 1e9, lines.get() - linesBefore,
          bytes.get() - bytesBefore, suppressed);
    } finally {
      process.destroyForcibly();
      process.waitFor();
      reader.join();
      Files.deleteIfExists(socket);
      Files.delete(folder);
    }
  }

  private static void count(InputStream in, AtomicLong lines, AtomicLong bytes) {
    byte[] buffer = new byte[8192];
    try (in) {
      for (int got = in.read(buffer); got >= 0; got = in.read(buffer)) {
        bytes.addAndGet(got);
        for (int i = 0; i < got; i++) {
          if (buffer[i] == '\n') {
            lines.incrementAndGet();
          }
        }
      }
    } catch (IOException ended) {
      // the process has been ended
    }
  }

  private static JsonNode status(Process process, Path socket) throws IOException {
    long end = System.nanoTime() + PATIENCE * 1_000_000L;
    while (true) {
      try {
        return new ObjectMapper().readTree(AdminClient.get(UnixDomainSocketAddress.of(socket), "/status"));
      } catch (IOException notYet) {
        if (!process.isAlive() || System.nanoTime() > end) {
          throw new IOException("the proxy does not answer: " + notYet.getMessage(), notYet);
        }
        LockSupport.parkNanos(10_000_000);
      }
    }
  }

  /** Sends so many clients at the rate; how many of them got their ERR. */
  private int burst(int port, int count) throws InterruptedException {
    AtomicInteger next = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    long start = System.nanoTime();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      Thread thread = new Thread(() -> {
        for (int n = next.getAndIncrement(); n < count; n = next.getAndIncrement()) {
          long intended = start + n * 1_000_000_000L / perSecond;
          for (long left = intended - System.nanoTime(); left > 0; left = intended - System.nanoTime()) {
            LockSupport.parkNanos(left);
          }
          served.addAndGet(bad(port) ? 1 : 0);
        }
      }, "bad client " + i);
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return served.get();
  }

  private static boolean bad(int port) {
    try (Socket socket = new Socket()) {
      socket.setSoLinger(true, 0); // leave no address behind that cannot be used again for a minute
      socket.setSoTimeout(PATIENCE);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), PATIENCE);
      socket.getOutputStream().write("NONSENSE\r\n".getBytes(StandardCharsets.ISO_8859_1));
      return socket.getInputStream().read() == 'E';
    } catch (IOException refused) {
      return false;
    }
  }
}
