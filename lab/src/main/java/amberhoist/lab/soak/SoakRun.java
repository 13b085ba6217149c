package amberhoist.lab.soak;

import amberhoist.lab.StubDirectory;
import amberhoist.lab.emulator.RandomSource;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * One run: a proxy process, clients that end their connections by seeded scripts, signals in series, and SIGKILL at the
 * earliest time that the protocol page allows.
 */
final class SoakRun {
  /**
   * The outcome of a run.
   *
   * @param connections connections that were established
   * @param moved connections that the proxy moved
   * @param violations what broke a rule, empty if nothing did
   */
  record Outcome(int connections, int moved, List<String> violations) {}

  private static final int PROVIDERS = 3;
  private static final int CLIENTS = 24;
  private static final int CROWD_SOCKETS = 200;
  private static final int CROWD_CLIENTS = 150;
  private static final long START_TIMEOUT_MILLIS = 20_000;
  private static final long ARRIVALS_AFTER_TERM_MILLIS = 300;
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
  private static final long MAX_DEADLINE_MILLIS = 3_000;
  private static final long[] DEADLINES_MILLIS = {1_200, 2_000, 3_000};
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final String CLASS_NAME = "scan-tiles";

  private final Path folder;
  private final SyscallFaults faults;
  private final RandomSource random;
  private final long seed;
  private final long useMillis;
  private final boolean hasCrowd;
  private final long deadlineMillis;
  private final Map<String, ConnectionHistory> histories = new ConcurrentHashMap<>();
  private final AtomicInteger nextId = new AtomicInteger();
  private volatile boolean arrivalsEnded;
  private volatile boolean killed;

  SoakRun(Path folder, long seed, long useMillis, SyscallFaults faults) {
    this.folder = folder;
    this.faults = faults;
    this.seed = seed;
    this.useMillis = useMillis;
    random = new RandomSource(seed, 0);
    hasCrowd = random.nextBoolean(1.0 / 3);
    deadlineMillis = DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)];
  }

  /** Plays the run; its log and configuration stay in the folder. */
  Outcome run(String command, String platformText) throws IOException, InterruptedException {
    Files.createDirectories(folder);
    Path logFile = folder.resolve("proxy.log");
    List<ScriptedProvider> providers = new ArrayList<>();
    ExecutorService threads = Executors.newCachedThreadPool();
    Process proxy = null;
    try (StubDirectory directory = new StubDirectory(0, line -> { })) {
      for (int i = 0; i < PROVIDERS; i++) {
        providers.add(new ScriptedProvider("p" + i, histories));
      }
      String[] entries = providers.stream().map(ScriptedProvider::directoryEntry).toArray(String[]::new);
      directory.replaceEntries(entries);
      Path config = Files.writeString(folder.resolve("config.json"),
          configure(platformText, entries, directory.address()));
      proxy = start(command, config, directory.address(), logFile);
      int port = awaitPort(proxy, logFile);
      for (int i = 0; i < CLIENTS; i++) {
        RandomSource scripts = new RandomSource(seed, i + 1);
        threads.execute(() -> connectAgainAndAgain(port, scripts));
      }
      if (hasCrowd) {
        threads.execute(() -> crowd(port));
      }
      holdNowAndThen(proxy, useMillis);
      List<String> violations = new ArrayList<>(stopAndKill(proxy));
      threads.shutdown();
      if (!threads.awaitTermination(30, TimeUnit.SECONDS)) {
        violations.add("a client waits for the end of its connection after the end of the process");
      }
      return judge(violations, Files.readString(logFile));
    } finally {
      if (proxy != null) {
        proxy.destroyForcibly();
      }
      threads.shutdownNow();
      for (ScriptedProvider provider : providers) {
        provider.close();
      }
    }
  }

  private String configure(String platformText, String[] entries, String directory) {
    return platformText.replaceAll("\"discovery\": \"127[^\"]*\"", "\"discovery\": \"" + directory + "\"")
        .replaceAll("(?s)\"endpoints\": \\[.*?\\]", "\"endpoints\": [" + String.join(",", entries) + "]")
        .replaceAll("\"give-up\": [0-9]+", "\"give-up\": " + deadlineMillis * 1000)
        .replaceAll("\"sockets\": [0-9]+", "\"sockets\": " + (hasCrowd ? CROWD_SOCKETS : 1024));
  }

  private Process start(String command, Path config, String directory, Path log) throws IOException {
    ProcessBuilder builder = new ProcessBuilder("sh", "-c", command);
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().putAll(Map.of("LB_CONFIG", config.toAbsolutePath().toString(), "LB_LISTEN", "127.0.0.1:0",
        "LB_DISCOVERY", directory));
    faults.addTo(builder.environment(), seed);
    return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
  }

  private static int awaitPort(Process proxy, Path log) throws IOException {
    long end = System.nanoTime() + START_TIMEOUT_MILLIS * NANOS_PER_MILLI;
    while (true) {
      for (String line : Files.readAllLines(log)) {
        if (line.contains(" serves on ")) {
          return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim());
        }
      }
      if (!proxy.isAlive() || System.nanoTime() > end) {
        throw new IOException("the proxy does not start; see " + log);
      }
      LockSupport.parkNanos(10 * NANOS_PER_MILLI);
    }
  }

  private void connectAgainAndAgain(int port, RandomSource scripts) {
    while (!arrivalsEnded) {
      String id = Long.toHexString(seed) + "x" + nextId.incrementAndGet();
      ConnectionHistory history = new ConnectionHistory(id, ConnectionScript.draw(scripts), deadlineMillis);
      histories.put(id, history);
      new ScriptedClient(history).run(port, CLASS_NAME);
      LockSupport.parkNanos(scripts.nextInt(20) * NANOS_PER_MILLI);
    }
  }

  /** Holds idle connections open, and opens new ones where the proxy has ended some. */
  private void crowd(int port) {
    List<Socket> sockets = new ArrayList<>();
    while (!arrivalsEnded) {
      try {
        if (sockets.size() >= CROWD_CLIENTS) {
          sockets.remove(0).close();
        }
        sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
      } catch (IOException refused) {
        // tries again
      }
      LockSupport.parkNanos(2 * NANOS_PER_MILLI);
    }
    sockets.forEach(socket -> {
      try {
        socket.close();
      } catch (IOException closed) {
        // ended already
      }
    });
  }

  /** Lets the clients go on; stops the process for milliseconds now and then, so that events cross in its sockets. */
  private void holdNowAndThen(Process proxy, long millis) throws IOException, InterruptedException {
    long end = System.nanoTime() + millis * NANOS_PER_MILLI;
    while (System.nanoTime() < end) {
      Thread.sleep(random.nextBetween(50, 150));
      signal(proxy, "STOP");
      Thread.sleep(random.nextBetween(2, 60));
      signal(proxy, "CONT");
    }
  }

  /** Sends signals in series and kills the process at the earliest time allowed; returns what broke a rule. */
  private List<String> stopAndKill(Process proxy) throws IOException, InterruptedException {
    int hangups = random.nextInt(4);
    for (int i = 0; i < hangups; i++) {
      signal(proxy, "HUP");
    }
    long killAt = System.nanoTime()
        + (Math.min(MAX_DEADLINE_MILLIS, deadlineMillis) + KILL_AFTER_DEADLINE_MILLIS) * NANOS_PER_MILLI;
    signal(proxy, "TERM");
    if (random.nextBoolean(0.5)) {
      signal(proxy, "HUP");
      signal(proxy, "TERM");
    }
    Thread.sleep(ARRIVALS_AFTER_TERM_MILLIS);
    arrivalsEnded = true;
    List<String> violations = new ArrayList<>();
    boolean hasEnded = proxy.waitFor(killAt - System.nanoTime(), TimeUnit.NANOSECONDS);
    killed = !hasEnded;
    if (!hasEnded) {
      violations.add("the process had to be killed");
      proxy.destroyForcibly().waitFor();
    } else if (proxy.exitValue() != 0) {
      violations.add("the process ended with status " + proxy.exitValue());
    }
    return violations;
  }

  private static void signal(Process proxy, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(proxy.pid())).start().waitFor();
  }

  private Outcome judge(List<String> violations, String log) {
    if (!killed && !log.contains("proxy.stopped")) {
      violations.add("the process did not log its end");
    }
    if (log.contains("broken_invariants") || log.contains("loop.fault")) {
      violations.add("the log tells a broken invariant or a failed task");
    }
    int established = 0;
    int moved = 0;
    for (ConnectionHistory history : histories.values()) {
      ConnectionHistory.Snapshot snapshot = history.snapshot();
      violations.addAll(EndChecker.check(snapshot));
      established += snapshot.isEstablished() ? 1 : 0;
      moved += snapshot.isMoved() ? 1 : 0;
    }
    return new Outcome(established, moved, violations);
  }
}
