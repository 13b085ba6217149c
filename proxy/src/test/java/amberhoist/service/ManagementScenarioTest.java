package amberhoist.service;

import static amberhoist.service.StubPeers.openRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.service.StubPeers.Peer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The management API over loopback sockets. */
@Timeout(60)
class ManagementScenarioTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A response: status code, head (status line and headers) and body, as received. */
  record HttpResponse(String status, String head, String body) {}

  private static Socket connect(StubPeers peers) throws Exception {
    return connect(peers.service);
  }

  private static Socket connect(Service service) throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), service.managementAddress().getPort());
    socket.setSoTimeout(StubPeers.TIMEOUT_MILLIS);
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static HttpResponse readResponse(Socket socket) throws Exception {
    String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int headEnd = text.indexOf("\r\n\r\n");
    return new HttpResponse(text.substring(9, 12), text.substring(0, headEnd), text.substring(headEnd + 4));
  }

  private static HttpResponse exchange(StubPeers peers, String request) throws Exception {
    return exchange(peers.service, request);
  }

  static HttpResponse exchange(Service service, String request) throws Exception {
    try (Socket socket = connect(service)) {
      send(socket, request);
      return readResponse(socket);
    }
  }

  private static JsonNode metrics(StubPeers peers) throws Exception {
    return metrics(peers.service);
  }

  static JsonNode metrics(Service service) throws Exception {
    return JSON.readTree(exchange(service, "GET /v1/metrics HTTP/1.1\r\n\r\n").body());
  }

  private static StubPeers withManagementApi(int providers) throws Exception {
    return new StubPeers(providers, 1024, "[instance]\nmgmt = \"127.0.0.1:0\"\n");
  }

  @Test
  void answersInvalidRequestsWithTheMatchingStatus() throws Exception {
    try (StubPeers peers = withManagementApi(1)) {
      assertEquals("200", exchange(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status());
      assertEquals("404", exchange(peers, "GET /v1/nothing HTTP/1.1\r\n\r\n").status());
      HttpResponse notAllowed = exchange(peers, "POST /v1/readyz HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
      assertEquals("405", notAllowed.status());
      assertTrue(notAllowed.head().contains("\r\nAllow: GET"), notAllowed.head());
      assertEquals("400", exchange(peers, "HELLO\r\n\r\n").status());
      assertEquals("431", exchange(peers, "GET / HTTP/1.1\r\nX: " + "y".repeat(9000)).status());
      try (Socket pieces = connect(peers)) {
        send(pieces, "GET /v1/rea");
        send(pieces, "dyz HTTP/1.1\r\n");
        send(pieces, "\r\n");
        pieces.shutdownOutput();
        assertEquals("200", readResponse(pieces).status());
      }
    }
  }

  @Test
  void isNotReadyWithoutAProviderList() throws Exception {
    try (StubPeers peers = withManagementApi(0)) {
      HttpResponse response = exchange(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n");
      assertEquals("503", response.status());
      assertTrue(response.body().contains("no list"), response.body());
      assertEquals(0, metrics(peers).path("served").path("chat").asInt(-1), "every class is listed, starting at 0");
    }
  }

  @Test
  void closesTheOldestSlowConnectionsToServeNewOnes() throws Exception {
    try (StubPeers peers = withManagementApi(1)) {
      List<Socket> slowConnections = new ArrayList<>();
      for (int i = 0; i < 60; i++) { // more than the server keeps open
        Socket slow = connect(peers);
        send(slow, "GET /v1/re");
        slowConnections.add(slow);
      }
      assertEquals("200", exchange(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status());
      Socket last = slowConnections.get(59);
      send(last, "adyz HTTP/1.1\r\n\r\n");
      assertEquals("200", readResponse(last).status(), "a connection that is not the oldest stays open");
      assertEquals(-1, slowConnections.get(0).getInputStream().read(), "the oldest was closed");
      for (Socket slow : slowConnections) {
        slow.close();
      }
    }
  }

  /**
   * Management requests must not wait behind the clients' tasks. The loop is blocked, and a task queued before the
   * request ends only after the response.
   */
  @Test
  void handlesRequestsBeforeTasksQueuedOnTheLoop() throws Exception {
    try (StubPeers peers = withManagementApi(1)) {
      CountDownLatch blocked = new CountDownLatch(1);
      CountDownLatch resume = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      peers.service.loop().post(() -> {
        blocked.countDown();
        await(resume);
      });
      blocked.await();
      peers.service.loop().post(() -> await(answered)); // queued before the request, and ends only after its response
      try (Socket socket = connect(peers)) {
        send(socket, "GET /v1/metrics HTTP/1.1\r\n\r\n");
        while (peers.service.loop().urgentTaskCount() == 0) {
          Thread.onSpinWait();
        }
        resume.countDown();
        assertEquals("200", readResponse(socket).status());
      } finally {
        answered.countDown();
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * A connection must be counted exactly once however it ends: requests are the sum of those that ended and those in
   * setup.
   */
  @Test
  void countsEachConnectionOnceWhenServedRejectedOrFailed() throws Exception {
    try (StubPeers peers = withManagementApi(1)) {
      Peer up = peers.connectClient(openRequest("up", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      provider.send("UP r\r\n");
      assertEquals("UP r", up.readLine());
      assertMetrics(peers, 1, 0, 0, 1, 1);
      up.socket.close(); // after UP
      assertEquals("FIN", provider.readLine());
      assertMetrics(peers, 1, 0, 0, 1, 0);

      Peer busy = peers.connectClient(openRequest("busy", 700, ""));
      Peer rejecting = peers.acceptAtProvider(0);
      rejecting.readLine();
      rejecting.send("BUSY\r\n");
      assertTrue(busy.readLine().startsWith("BUSY"));
      assertMetrics(peers, 1, 1, 0, 2, 0);

      Peer unknown = peers.connectClient("OPEN 1 1 c=chat,t=nobody,d=2000,g=1\r\n");
      assertEquals("ERR", unknown.readLine());
      assertMetrics(peers, 1, 1, 1, 2, 0);
      Peer malformed = peers.connectClient("OPEN 1\r\n");
      assertEquals("ERR", malformed.readLine());
      assertMetrics(peers, 1, 1, 1, 2, 0);
    }
  }

  @Test
  void countsDisconnectedEagerAndLateClientsOnce() throws Exception {
    try (StubPeers peers = withManagementApi(1)) {
      Peer left = peers.connectClient(openRequest("left", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      assertMetrics(peers, 0, 0, 0, 1, 1);
      left.reset(); // during setup
      assertEquals("FIN", provider.readLine());
      assertMetrics(peers, 0, 1, 0, 1, 0);

      Peer eager = peers.connectClient(openRequest("eager", 3000, ""));
      Peer next = peers.acceptAtProvider(0);
      next.readLine();
      eager.send("M 1\r\n");
      assertEquals("ERR", eager.readLine());
      assertMetrics(peers, 0, 1, 1, 2, 0);

      Peer late = peers.connectClient(openRequest("late", 300, "")); // no provider answers in time
      peers.acceptAtProvider(0).readLine();
      assertTrue(late.readLine().startsWith("BUSY"));
      assertMetrics(peers, 0, 2, 1, 3, 0);
    }
  }

  @Test
  void isNotReadyDuringAStopAndStillReportsMetrics() throws Exception {
    try (StubPeers peers = withManagementApi(1)) {
      Peer unanswered = peers.connectClient(openRequest("owed", 8000, ""));
      peers.acceptAtProvider(0).readLine();
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      while (!exchange(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status().equals("503")) {
        Thread.onSpinWait();
      }
      JsonNode metrics = metrics(peers);
      assertEquals(1, metrics.path("in_flight").asInt());
      String line = unanswered.readLine();
      assertTrue(line.startsWith("BUSY"), line);
      stop.join();
    }
  }

  private static String putStatus(StubPeers peers, String id, String action) throws Exception {
    return exchange(peers, "PUT /v1/viewer-hosts/" + id + "/" + action + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        .status();
  }

  @Test
  void suspendedProviderIsDrainedAndUnusedUntilResumed() throws Exception {
    try (StubPeers peers = withManagementApi(2)) {
      Peer[] established = peers.establish("a", 0);
      Peer watch = peers.acceptWatchAndSend(peers.providerListJson(2, true));
      assertEquals("404", putStatus(peers, "p9", "suspend"));
      assertEquals("404", putStatus(peers, "p9", "resume"));
      assertEquals("200", putStatus(peers, "p%30", "suspend"));
      assertEquals("200", putStatus(peers, "p0", "suspend"));
      assertEquals(1, metrics(peers).path("viewer_hosts_excluded").asInt());
      assertEquals("MOVE", established[0].readLine());
      assertEquals("FIN", established[0].readLine());
      assertEquals("FIN", established[1].readLine());
      watch.send(StubPeers.httpChunk(peers.providerListJson(3, false, "active"))); // the directory lists it as active
      watch.send(StubPeers.httpChunk(peers.providerListJson(4, true)));
      for (int i = 0; i < 6; i++) {
        peers.connectClient(openRequest("k" + i, 3000, ""));
        assertTrue(peers.acceptAtProvider(1).send("UP 1\r\n").readLine().startsWith("OPEN"));
      }
      assertEquals("200", putStatus(peers, "p0", "resume"));
      assertEquals(0, metrics(peers).path("viewer_hosts_excluded").asInt());
      CountDownLatch resumed = new CountDownLatch(1);
      Thread acceptor = new Thread(() -> {
        try {
          peers.acceptAtProvider(0);
          resumed.countDown();
        } catch (Exception noConnection) {
          // the test fails below
        }
      });
      acceptor.start();
      long deadline = System.nanoTime() + StubPeers.TIMEOUT_MILLIS * 1_000_000L;
      for (int i = 0; resumed.getCount() > 0; i++) { // clients keep connecting
        peers.connectClient(openRequest("back" + i, 3000, ""));
        assertTrue(System.nanoTime() < deadline, "not used again after the resume");
        resumed.await(100, java.util.concurrent.TimeUnit.MILLISECONDS);
      }
      assertEquals("200", putStatus(peers, "p0", "resume"), "resuming a known provider that is not suspended succeeds");
    }
  }

  private static void assertMetrics(StubPeers peers, int served, int rejected, int failed, int attempts, int inFlight)
      throws Exception {
    JsonNode metrics = metrics(peers);
    String json = metrics.toString();
    assertEquals(served, metrics.path("served").path("chat").asInt(-1), json);
    assertEquals(rejected, metrics.path("refused").path("chat").asInt(-1), json);
    assertEquals(failed, metrics.path("failed").path("chat").asInt(-1), json);
    assertEquals(attempts, metrics.path("attempts").asInt(-1), json);
    assertEquals(inFlight, metrics.path("in_flight").asInt(-1), json);
    assertEquals(1, metrics.path("viewer_hosts_known").asInt(-1), json);
    assertTrue(metrics.path("viewer_hosts_excluded").isInt(), json);
    assertEquals(metrics.path("served").size(), 1, json);
  }
}
