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
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a proxy process whose memory grows with the keys, groups and tenants that clients name. */
@Timeout(120)
class ClientNamesProcessTest {
  private static final int CLIENT_COUNT = 6;
  private static final int NAME_LENGTH = 1200;
  private static final int REQUEST_COUNT = 12_000; // of three such names each: twice the heap
  private static final String HEAP = "-Xmx20m";
  private static final int ANSWER_TIMEOUT_MILLIS = 3000; // far above the time that a client waits

  @TempDir
  private Path folder;

  private final ProxyProcessHarness harness = new ProxyProcessHarness();
  private final AtomicInteger nextId = new AtomicInteger();
  private final Queue<String> unexpectedAnswers = new ConcurrentLinkedQueue<>();

  @Test
  void everNewNamesLeaveTheProxyItsMemory() throws Exception {
    int provider = harness.startListener((socket, in) -> {
      if (in.readLine() != null) {
        ProxyProcessHarness.write(socket, "UP r\r\nBYE\r\n");
      }
      socket.close();
    });
    String config = Files.readString(Path.of("../example/config.json"))
        .replace("127.0.0.1:3001", "127.0.0.1:" + provider).replace("127.0.0.1:3002", "127.0.0.1:" + provider);
    int directory = harness.startListener((socket, in) -> { });
    int port = harness.startProxy(Files.writeString(folder.resolve("config.json"), config), directory, HEAP);
    List<FutureTask<Void>> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      FutureTask<Void> client = new FutureTask<>(() -> runClient(port), null);
      clients.add(client);
      harness.execute(client);
    }
    for (FutureTask<Void> client : clients) {
      client.get();
    }
    assertEquals(List.of(), List.copyOf(unexpectedAnswers));
    assertTrue(harness.processes().get(0).isAlive());
  }

  private void runClient(int port) {
    for (int id = nextId.incrementAndGet(); id <= REQUEST_COUNT && unexpectedAnswers.isEmpty();
        id = nextId.incrementAndGet()) {
      String name = (id + "-").repeat(NAME_LENGTH).substring(0, NAME_LENGTH);
      String answer;
      try (Socket socket = new Socket(ProxyProcessHarness.LOOPBACK, port)) {
        socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
        ProxyProcessHarness.write(socket, "OPEN " + id + " k" + name + " c=scan-tiles,d=1000,g=g" + name
            + ",t=t" + name + "\r\n");
        BufferedReader in = ProxyProcessHarness.reader(socket);
        answer = String.valueOf(in.readLine());
      } catch (IOException fault) {
        answer = fault.toString();
      }
      if (!answer.startsWith("UP ") && !answer.startsWith("BUSY")) {
        unexpectedAnswers.add("request " + id + ": " + answer);
      }
    }
  }

  @AfterEach
  void close() {
    harness.close();
  }
}
