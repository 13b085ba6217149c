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

/** A fleet of 1,500 providers and 300 proxies, as one process of the program sees it in the memory of a small one. */
@Timeout(120)
class LargeListTest {
  private static final int PROVIDERS = 1500;
  private static final int PROXIES = 300;
  private static final int CHANGES = 300; // each of ten providers
  private static final int CLIENTS = 200;
  private static final int MEMORY_MB = 192;

  @TempDir
  private Path folder;

  private final LoopbackPeers peers = new LoopbackPeers();
  private final Set<String> opened = ConcurrentHashMap.newKeySet();

  private static String entries(int from, int to, int port, String status) {
    return IntStream.range(from, to).mapToObj(i -> "{\"name\":\"s-" + i + "\",\"address\":\"127.0.0.1:" + port
        + "\",\"zone\":\"z" + i % 24 + "\",\"type\":\"m2\",\"group\":" + i % 30 + ",\"status\":\"" + status
        + "\",\"weight\":1.0,\"since_ms\":0}").collect(Collectors.joining(","));
  }

  private static String news(int index, boolean whole, String entries) {
    return LoopbackPeers.chunk("{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + entries + "]}");
  }

  /** The whole list, then many changes: every provider drains and comes back. */
  private static void watch(Socket socket, int provider) throws IOException {
    StringBuilder text = new StringBuilder(news(1, true, entries(0, PROVIDERS, provider, "active")));
    for (int i = 0; i < CHANGES; i++) {
      int from = i / 2 * 10 % PROVIDERS;
      text.append(news(2 + i, false, entries(from, from + 10, provider, i % 2 == 0 ? "leaving" : "active")));
    }
    LoopbackPeers.write(socket, text.toString());
  }

  private Path config() throws IOException {
    return Files.writeString(folder.resolve("config"), Files.readString(Path.of("../example/config.json"))
        .replace("\"balancers\": 1", "\"balancers\": " + PROXIES)
        .replaceAll("(?s)\"endpoints\": \\[.*?\\]", "\"endpoints\": []"));
  }

  private long peakMemoryMb() throws IOException {
    long pid = peers.processes().get(0).pid();
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("VmHWM")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum()
        / 1024;
  }

  @Test
  void oneProcessServesWithAListOfFifteenHundred() throws Exception {
    int provider = peers.listen((socket, in) -> {
      opened.add(in.readLine());
      LoopbackPeers.write(socket, "UP r\r\n");
      in.readLine();
    });
    int directory = peers.directory((socket, in) -> watch(socket, provider));
    int port = peers.serve(config(), directory, "-XX:TieredStopAtLevel=1", "-Xms8m",
        "-Xmx" + (MEMORY_MB - 24) / 2 + "m", "-XX:MaxDirectMemorySize=" + MEMORY_MB / 16 + "m");
    List<Socket> clients = new ArrayList<>();
    Set<String> answers = new HashSet<>();
    for (int i = 0; i < CLIENTS; i++) {
      String answer;
      do { // one of three hundred proxies paces its set-ups: a client that is told to comes again
        Socket socket = new Socket(LoopbackPeers.LOOPBACK, port);
        clients.add(socket);
        LoopbackPeers.write(socket, "OPEN " + clients.size() + " k" + i + " c=scan-tiles,t=acme,d=3000\r\n");
        answer = LoopbackPeers.reader(socket).readLine();
      } while (answer != null && answer.startsWith("BUSY") && clients.size() < 20 * CLIENTS);
      answers.add(answer);
    }
    assertEquals(Set.of("UP r"), answers);
    assertEquals(CLIENTS, opened.size());
    assertTrue(peers.processes().get(0).isAlive());
    assertTrue(peakMemoryMb() < MEMORY_MB, peakMemoryMb() + " MB at most");
    for (Socket client : clients) {
      client.close();
    }
  }

  @AfterEach
  void end() {
    peers.close();
  }
}
