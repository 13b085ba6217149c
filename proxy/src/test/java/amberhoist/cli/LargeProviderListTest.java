package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One proxy of a fleet of 300 with a list of 1,500 providers must serve within the memory of a small instance. */
@Timeout(120)
class LargeProviderListTest {
  private static final int PROVIDER_COUNT = 1500;
  private static final int PROXY_COUNT = 300;
  private static final int UPDATE_COUNT = 300; // of ten providers each
  private static final int CLIENT_COUNT = 200;
  private static final int MEMORY_MB = 192;

  @TempDir
  private Path folder;

  private final ProxyProcessHarness harness = new ProxyProcessHarness();
  private final Set<String> requests = ConcurrentHashMap.newKeySet();

  private static String entries(int from, int to, int port, String status) {
    return IntStream.range(from, to).mapToObj(i -> "{\"name\":\"s-" + i + "\",\"address\":\"127.0.0.1:" + port
        + "\",\"zone\":\"z" + i % 24 + "\",\"type\":\"m2\",\"group\":" + i % 30 + ",\"status\":\"" + status
        + "\",\"weight\":1.0,\"since_ms\":0}").collect(Collectors.joining(","));
  }

  private static String update(int index, boolean snapshot, String entries) {
    return ProxyProcessHarness
        .httpChunk("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + entries + "]}");
  }

  /** Sends the whole list, then updates in which every provider starts leaving and becomes active again. */
  private static void sendUpdates(Socket socket, int providerPort) throws IOException {
    StringBuilder text = new StringBuilder(update(1, true, entries(0, PROVIDER_COUNT, providerPort, "active")));
    for (int i = 0; i < UPDATE_COUNT; i++) {
      int from = i / 2 * 10 % PROVIDER_COUNT;
      text.append(update(2 + i, false, entries(from, from + 10, providerPort, i % 2 == 0 ? "leaving" : "active")));
    }
    ProxyProcessHarness.write(socket, text.toString());
  }

  private Path writeConfig() throws IOException {
    return Files.writeString(folder.resolve("config"), Files.readString(Path.of("../example/config.json"))
        .replace("\"balancers\": 1", "\"balancers\": " + PROXY_COUNT)
        .replaceAll("(?s)\"endpoints\": \\[.*?\\]", "\"endpoints\": []"));
  }

  private long peakMemoryMb() throws IOException {
    long pid = harness.processes().get(0).pid();
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("VmHWM")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum()
        / 1024;
  }

  @Test
  void servesWithinItsMemoryWithAListOf1500Providers() throws Exception {
    int providerPort = harness.startListener((socket, in) -> {
      requests.add(in.readLine());
      ProxyProcessHarness.write(socket, "UP r\r\n");
      in.readLine();
    });
    int directory = harness.startDirectory((socket, in) -> sendUpdates(socket, providerPort));
    int port = harness.startProxy(writeConfig(), directory, "-XX:TieredStopAtLevel=1", "-Xms8m",
        "-Xmx" + (MEMORY_MB - 24) / 2 + "m", "-XX:MaxDirectMemorySize=" + MEMORY_MB / 16 + "m");
    List<Socket> clients = new ArrayList<>();
    Set<String> answers = new HashSet<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      String answer;
      do { // one of 300 proxies limits its setups: a client answered with BUSY connects again
        Socket socket = new Socket(ProxyProcessHarness.LOOPBACK, port);
        clients.add(socket);
        ProxyProcessHarness.write(socket, "OPEN " + clients.size() + " k" + i + " c=scan-tiles,t=acme,d=3000\r\n");
        answer = ProxyProcessHarness.reader(socket).readLine();
      } while (answer != null && answer.startsWith("BUSY") && clients.size() < 20 * CLIENT_COUNT);
      answers.add(answer);
    }
    assertEquals(Set.of("UP r"), answers);
    assertEquals(CLIENT_COUNT, requests.size());
    assertTrue(harness.processes().get(0).isAlive());
    assertTrue(peakMemoryMb() < MEMORY_MB, peakMemoryMb() + " MB at peak");
    for (Socket client : clients) {
      client.close();
    }
  }

  @AfterEach
  void close() {
    harness.close();
  }
}
