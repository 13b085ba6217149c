package amberhoist.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig;
import amberhoist.metrics.Counters.Count;
import amberhoist.service.StubPeers.Peer;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A proxy to which lists are pushed: what the directory has counts as known, from the first moment of a process. */
@Timeout(60)
class PushedListScenarioTest {
  @TempDir
  private Path folder;

  private StubPeers peers;
  private ServerSocket directory;
  private int port;
  private CompletableFuture<Service> starting;

  /** Starts a proxy with two providers in its configuration, on a thread of its own. */
  @BeforeEach
  void start() throws Exception {
    peers = new StubPeers(2);
    directory = StubPeers.listen();
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = unused.getLocalPort();
    }
    String config = peers.platformConfig(directory).replace("\"subscribe\"", "\"automatic\"")
        .replace("\"settings\":{", "\"settings\":{\"rules\":{\"stop-sending-within\":250000},");
    Path file = Files.writeString(folder.resolve("config.json"), config);
    starting = CompletableFuture.supplyAsync(() -> {
      try {
        return Service.start(PlatformConfig.load(
            Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", "127.0.0.1:" + port), new Clock()));
      } catch (Exception fault) {
        throw new CompletionException(fault);
      }
    });
  }

  @AfterEach
  void stop() throws IOException {
    starting.join().kill();
    directory.close();
    peers.close();
  }

  private Peer client(String key) throws IOException {
    return new Peer(new Socket(InetAddress.getLoopbackAddress(), port)).send(StubPeers.openRequest(key, 2000, ""));
  }

  private void answer(Peer watch) throws IOException {
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.send(StubPeers.httpChunk(peers.providerListJson(2, true, "leaving")));
  }

  /** Guards against clients that a restarted process sends to draining providers by the list of its configuration. */
  @Test
  void clientsAreAcceptedOnlyOnceTheDirectoryHasAnswered() throws Exception {
    Peer watch = peers.acceptWatch(directory, new String[1]);
    assertThrows(ConnectException.class, () -> client("early"), "nobody listens yet");
    answer(watch);
    starting.join();
    for (int i = 0; i < 4; i++) {
      client("k" + i);
      assertTrue(peers.acceptAtProvider(1).readLine().contains("k" + i), "never to the one that drains");
    }
  }

  /** Guards against a proxy that is never ready because the directory is out of reach. */
  @Test
  void clientsAreAcceptedInTheEndIfTheDirectoryDoesNotAnswer() throws Exception {
    directory.close();
    Service service = starting.join();
    assertEquals(0, service.count(Count.DIRECTORY_NEWS));
    client("k");
    peers.providers.get(0).setSoTimeout(200);
    peers.providers.get(1).setSoTimeout(200);
    int reached = 0;
    for (int i = 0; i < 2; i++) {
      try {
        reached += peers.acceptAtProvider(i).readLine().contains(" k ") ? 1 : 0;
      } catch (java.net.SocketTimeoutException other) {
        // the other provider got it
      }
    }
    assertEquals(1, reached);
  }

  /** Guards against an outage after which the directory is called again only up to a second late. */
  @Test
  void theDirectoryIsCalledAgainWithinMillisecondsOfItsReturn() throws Exception {
    Peer watch = peers.acceptWatch(directory, new String[1]);
    answer(watch);
    Service service = starting.join();
    directory.close();
    watch.socket.close();
    // within 8 s: a pause of 0.5 to 1 s allows for 16 at most, one of 31 to 62 ms for 130
    DirectoryScenarioTest.awaitCount(service, Count.DIRECTORY_FAILURES, 50);
  }
}
