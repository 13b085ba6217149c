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
 * Several processes of the program, which know nothing of each other, fill a provider that has just started: what all
 * of them send it stays within the budget that the settings give it, by what those that are warm take.
 */
@Timeout(120)
class FleetRampTest {
  private static final int PROXIES = 4;
  private static final int WARM = 3;
  private static final double MULTIPLE = 1; // with more, the load check alone would keep within the budget
  private static final double SHARE = 0.1; // of its capacity, at the start
  private static final long COLD = 60_000_000_000L;
  private static final long WINDOW = 1_000_000_000L;
  private static final int ENOUGH = 3000; // connections at one provider: seconds of them

  @TempDir
  private Path folder;

  private final LoopbackPeers peers = new LoopbackPeers();
  private final List<Queue<Long>> arrivals = new ArrayList<>(); // by provider, when each first line came
  private final Queue<Socket> watches = new ConcurrentLinkedQueue<>();
  private final AtomicInteger ids = new AtomicInteger();
  private volatile String list;

  /** A provider that serves each connection to its end at once. */
  private String provider(String name, long since) throws IOException {
    Queue<Long> mine = new ConcurrentLinkedQueue<>();
    arrivals.add(mine);
    int port = peers.listen((socket, in) -> {
      if (in.readLine() != null) {
        mine.add(System.nanoTime());
        LoopbackPeers.write(socket, "UP r\r\nBYE\r\n");
      }
      socket.close();
    });
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"here\",\"type\":\"m\","
        + "\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":" + since + "}";
  }

  private int directory() throws IOException {
    return peers.directory((socket, in) -> {
      LoopbackPeers.write(socket, LoopbackPeers.chunk(list));
      watches.add(socket);
    });
  }

  /** Starts a proxy; the port that clients reach it by. */
  private int proxy(int number, int directory) throws IOException {
    String text = Files.readString(Path.of("../example/config.json"))
        .replace("\"balancers\": 1", "\"balancers\": " + PROXIES).replace("\"slot-no\": 0", "\"slot-no\": " + number)
        .replace("\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"" + (number + 1) + "\"")
        .replaceAll("(?s)\"endpoints\": \\[.*?\\]", "\"endpoints\": []")
        .replace("\"cold\": 19000000", "\"cold\": " + COLD / 1000).replace("\"cold-share\": 0.12",
            "\"cold-share\": " + SHARE).replace("\"overload-factor\": 4.0", "\"overload-factor\": " + MULTIPLE);
    assertTrue(text.contains("\"fall\": " + WINDOW / 1000 + ","));
    return peers.serve(Files.writeString(folder.resolve("config" + number), text), directory);
  }

  /** A client that comes again, as another one, whenever it has been served. */
  private void client(int port) {
    while (!peers.closed()) {
      try (Socket socket = new Socket(LoopbackPeers.LOOPBACK, port)) {
        String id = Integer.toHexString(ids.incrementAndGet());
        LoopbackPeers.write(socket, "OPEN " + id + " k" + id + " c=scan-tiles,t=acme,d=3000\r\n");
        BufferedReader in = LoopbackPeers.reader(socket);
        while (in.readLine() != null) {
          // UP and BYE
        }
      } catch (IOException gone) {
        // comes again
      }
    }
  }

  private void await(int provider, int connections) {
    while (arrivals.get(provider).size() < connections) {
      assertTrue(peers.processes().stream().allMatch(Process::isAlive));
      LockSupport.parkNanos(1_000_000);
    }
  }

  @Test
  void whatAllSendToAColdProviderStaysWithinItsBudget() throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < WARM; i++) {
      entries.add(provider("p" + i, 0));
    }
    list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    int directory = directory();
    for (int i = 0; i < PROXIES; i++) {
      int port = proxy(i, directory);
      for (int j = 0; j < 2; j++) {
        peers.execute(() -> client(port));
      }
    }
    await(0, ENOUGH);
    long start = System.nanoTime();
    String cold = provider("p" + WARM, System.currentTimeMillis());
    list = "{\"index\":2,\"snapshot\":false,\"endpoints\":[" + cold + "]}";
    for (Socket watch : watches) {
      LoopbackPeers.write(watch, LoopbackPeers.chunk(list));
    }
    await(0, arrivals.get(0).size() + ENOUGH);
    List<Long> there = List.copyOf(arrivals.get(WARM));
    assertTrue(there.size() > PROXIES, "it is used");
    long warm = 0; // what one that is warm took at most in a window
    for (Queue<Long> queue : arrivals.subList(0, WARM)) {
      warm = Math.max(warm, most(List.copyOf(queue)));
    }
    for (int i = 0; i < there.size(); i++) {
      long end = there.get(i);
      double budget = MULTIPLE * warm * (SHARE + (1 - SHARE) * (end - start) / COLD);
      long sent = there.stream().filter(at -> at > end - WINDOW && at <= end).count();
      assertTrue(sent <= budget + 2 * Math.sqrt(budget) + 2, sent + " over " + budget);
    }
    assertEquals(PROXIES, peers.processes().stream().filter(Process::isAlive).count());
  }

  private static long most(List<Long> times) {
    long most = 0;
    int from = 0;
    for (int i = 0; i < times.size(); i++) {
      while (times.get(from) <= times.get(i) - WINDOW) {
        from++;
      }
      most = Math.max(most, i - from + 1);
    }
    return most;
  }

  @AfterEach
  void end() {
    peers.close();
  }
}
