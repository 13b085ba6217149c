package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several proxy processes that do not communicate send requests to a provider that has just started. All together must
 * stay within its warm-up budget, a growing fraction of what a warm provider receives.
 */
@Timeout(120)
class WarmUpBudgetProcessTest {
  private static final int PROXY_COUNT = 4;
  private static final int WARM_PROVIDER_COUNT = 3;
  private static final double OVERLOAD_FACTOR = 1; // with more, the load check alone would keep within the budget
  private static final double COLD_CAPACITY_FRACTION = 0.1; // of a provider's capacity, at its start
  private static final long WARM_UP_NANOS = 60_000_000_000L;
  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final int REQUEST_COUNT = 3000; // at one provider: several seconds

  @TempDir
  private Path folder;

  private final ProxyProcessHarness harness = new ProxyProcessHarness();
  private final List<Queue<Long>> arrivalsNanos = new ArrayList<>(); // by provider: System.nanoTime of each first line
  private final Queue<Socket> watches = new ConcurrentLinkedQueue<>();
  private final AtomicInteger nextId = new AtomicInteger();
  private volatile String providerList;

  /** Starts a provider that accepts and ends each connection at once; returns its entry in the provider list. */
  private String startProvider(String name, long sinceMillis) throws IOException {
    Queue<Long> times = new ConcurrentLinkedQueue<>();
    arrivalsNanos.add(times);
    int port = harness.startListener((socket, in) -> {
      if (in.readLine() != null) {
        times.add(System.nanoTime());
        ProxyProcessHarness.write(socket, "UP r\r\nBYE\r\n");
      }
      socket.close();
    });
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"here\",\"type\":\"m\","
        + "\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
  }

  private int startDirectory() throws IOException {
    return harness.startDirectory((socket, in) -> {
      ProxyProcessHarness.write(socket, ProxyProcessHarness.httpChunk(providerList));
      watches.add(socket);
    });
  }

  /** Starts a proxy and returns the port that clients connect to. */
  private int startProxy(int index, int directory) throws IOException {
    String text = Files.readString(Path.of("../example/config.json"))
        .replace("\"balancers\": 1", "\"balancers\": " + PROXY_COUNT).replace("\"slot-no\": 0", "\"slot-no\": " + index)
        .replace("\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"" + (index + 1) + "\"")
        .replaceAll("(?s)\"endpoints\": \\[.*?\\]", "\"endpoints\": []")
        .replace("\"cold\": 19000000", "\"cold\": " + WARM_UP_NANOS / 1000)
        .replace("\"cold-share\": 0.12", "\"cold-share\": " + COLD_CAPACITY_FRACTION)
        .replace("\"overload-factor\": 4.0", "\"overload-factor\": " + OVERLOAD_FACTOR);
    assertTrue(text.contains("\"fall\": " + WINDOW_NANOS / 1000 + ","));
    return harness.startProxy(Files.writeString(folder.resolve("config" + index), text), directory);
  }

  /** Connects again with a new key whenever the connection has ended. */
  private void runClient(int port) {
    while (!harness.isClosed()) {
      try (Socket socket = new Socket(ProxyProcessHarness.LOOPBACK, port)) {
        String id = Integer.toHexString(nextId.incrementAndGet());
        ProxyProcessHarness.write(socket, "OPEN " + id + " k" + id + " c=scan-tiles,t=acme,d=3000\r\n");
        BufferedReader in = ProxyProcessHarness.reader(socket);
        while (in.readLine() != null) {
          // UP and BYE
        }
      } catch (IOException closed) {
        // connects again
      }
    }
  }

  private void awaitRequests(int provider, int count) {
    while (arrivalsNanos.get(provider).size() < count) {
      assertTrue(harness.processes().stream().allMatch(Process::isAlive));
      LockSupport.parkNanos(1_000_000);
    }
  }

  @Test
  void allProxiesTogetherStayWithinTheWarmUpBudget() throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < WARM_PROVIDER_COUNT; i++) {
      entries.add(startProvider("p" + i, 0));
    }
    providerList = "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    int directory = startDirectory();
    for (int i = 0; i < PROXY_COUNT; i++) {
      int port = startProxy(i, directory);
      for (int j = 0; j < 2; j++) {
        harness.execute(() -> runClient(port));
      }
    }
    awaitRequests(0, REQUEST_COUNT);
    long start = System.nanoTime();
    String cold = startProvider("p" + WARM_PROVIDER_COUNT, System.currentTimeMillis());
    providerList = "{\"index\":2,\"snapshot\":false,\"endpoints\":[" + cold + "]}";
    for (Socket watch : watches) {
      ProxyProcessHarness.write(watch, ProxyProcessHarness.httpChunk(providerList));
    }
    awaitRequests(0, arrivalsNanos.get(0).size() + REQUEST_COUNT);
    List<Long> coldArrivals = List.copyOf(arrivalsNanos.get(WARM_PROVIDER_COUNT));
    assertTrue(coldArrivals.size() > PROXY_COUNT, "the cold provider gets requests");
    long maxWarm = 0; // most requests of a warm provider in a window
    for (Queue<Long> queue : arrivalsNanos.subList(0, WARM_PROVIDER_COUNT)) {
      maxWarm = Math.max(maxWarm, maxInWindow(List.copyOf(queue)));
    }
    for (int i = 0; i < coldArrivals.size(); i++) {
      long end = coldArrivals.get(i);
      double budget = OVERLOAD_FACTOR * maxWarm
          * (COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * (end - start) / WARM_UP_NANOS);
      long sent = coldArrivals.stream().filter(at -> at > end - WINDOW_NANOS && at <= end).count();
      assertTrue(sent <= budget + 2 * Math.sqrt(budget) + 2, sent + " requests, budget " + budget);
    }
    assertEquals(PROXY_COUNT, harness.processes().stream().filter(Process::isAlive).count());
  }

  private static long maxInWindow(List<Long> times) {
    long max = 0;
    int from = 0;
    for (int i = 0; i < times.size(); i++) {
      while (times.get(from) <= times.get(i) - WINDOW_NANOS) {
        from++;
      }
      max = Math.max(max, i - from + 1);
    }
    return max;
  }

  @AfterEach
  void close() {
    harness.close();
  }
}
