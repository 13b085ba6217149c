package amberhoist.service;

import static amberhoist.service.Peers.opening;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.service.Peers.Peer;
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
class ManagementStoriesTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A response: status code, head (status line and headers) and body, as received. */
  record Said(String status, String head, String body) {}

  private static Socket connect(Peers peers) throws Exception {
    return connect(peers.service);
  }

  private static Socket connect(Service service) throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), service.managementAddress().getPort());
    socket.setSoTimeout(Peers.PATIENCE);
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Said readResponse(Socket socket) throws Exception {
    String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int headEnd = text.indexOf("\r\n\r\n");
    return new Said(text.substring(9, 12), text.substring(0, headEnd), text.substring(headEnd + 4));
  }

  private static Said call(Peers peers, String text) throws Exception {
    return call(peers.service, text);
  }

  static Said call(Service service, String text) throws Exception {
    try (Socket socket = connect(service)) {
      send(socket, text);
      return readResponse(socket);
    }
  }

  private static JsonNode figures(Peers peers) throws Exception {
    return figures(peers.service);
  }

  static JsonNode figures(Service service) throws Exception {
    return JSON.readTree(call(service, "GET /v1/metrics HTTP/1.1\r\n\r\n").body());
  }

  private static Peers withManagementApi(int providers) throws Exception {
    return new Peers(providers, 1024, "[instance]\nmgmt = \"127.0.0.1:0\"\n");
  }

  @Test
  void answersInvalidRequestsWithTheMatchingStatus() throws Exception {
    try (Peers peers = withManagementApi(1)) {
      assertEquals("200", call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status());
      assertEquals("404", call(peers, "GET /v1/nothing HTTP/1.1\r\n\r\n").status());
      Said notAllowed = call(peers, "POST /v1/readyz HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
      assertEquals("405", notAllowed.status());
      assertTrue(notAllowed.head().contains("\r\nAllow: GET"), notAllowed.head());
      assertEquals("400", call(peers, "HELLO\r\n\r\n").status());
      assertEquals("431", call(peers, "GET / HTTP/1.1\r\nX: " + "y".repeat(9000)).status());
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
    try (Peers peers = withManagementApi(0)) {
      Said response = call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n");
      assertEquals("503", response.status());
      assertTrue(response.body().contains("no list"), response.body());
      assertEquals(0, figures(peers).path("served").path("chat").asInt(-1), "every class is listed, starting at 0");
    }
  }

  @Test
  void closesTheOldestSlowConnectionsToServeNewOnes() throws Exception {
    try (Peers peers = withManagementApi(1)) {
      List<Socket> slowConnections = new ArrayList<>();
      for (int i = 0; i < 60; i++) { // more than the server keeps open
        Socket slow = connect(peers);
        send(slow, "GET /v1/re");
        slowConnections.add(slow);
      }
      assertEquals("200", call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status());
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
    try (Peers peers = withManagementApi(1)) {
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
    try (Peers peers = withManagementApi(1)) {
      Peer up = peers.client(opening("up", 3000, ""));
      Peer provider = peers.provider(0);
      provider.line();
      provider.send("UP r\r\n");
      assertEquals("UP r", up.line());
      assertMetrics(peers, 1, 0, 0, 1, 1);
      up.socket.close(); // after UP
      assertEquals("FIN", provider.line());
      assertMetrics(peers, 1, 0, 0, 1, 0);

      Peer busy = peers.client(opening("busy", 700, ""));
      Peer rejecting = peers.provider(0);
      rejecting.line();
      rejecting.send("BUSY\r\n");
      assertTrue(busy.line().startsWith("BUSY"));
      assertMetrics(peers, 1, 1, 0, 2, 0);

      Peer unknown = peers.client("OPEN 1 1 c=chat,t=nobody,d=2000,g=1\r\n");
      assertEquals("ERR", unknown.line());
      assertMetrics(peers, 1, 1, 1, 2, 0);
      Peer malformed = peers.client("OPEN 1\r\n");
      assertEquals("ERR", malformed.line());
      assertMetrics(peers, 1, 1, 1, 2, 0);
    }
  }

  @Test
  void countsDisconnectedEagerAndLateClientsOnce() throws Exception {
    try (Peers peers = withManagementApi(1)) {
      Peer left = peers.client(opening("left", 3000, ""));
      Peer provider = peers.provider(0);
      provider.line();
      assertMetrics(peers, 0, 0, 0, 1, 1);
      left.reset(); // during setup
      assertEquals("FIN", provider.line());
      assertMetrics(peers, 0, 1, 0, 1, 0);

      Peer eager = peers.client(opening("eager", 3000, ""));
      Peer next = peers.provider(0);
      next.line();
      eager.send("M 1\r\n");
      assertEquals("ERR", eager.line());
      assertMetrics(peers, 0, 1, 1, 2, 0);

      Peer late = peers.client(opening("late", 300, "")); // no provider answers in time
      peers.provider(0).line();
      assertTrue(late.line().startsWith("BUSY"));
      assertMetrics(peers, 0, 2, 1, 3, 0);
    }
  }

  @Test
  void isNotReadyDuringAStopAndStillReportsMetrics() throws Exception {
    try (Peers peers = withManagementApi(1)) {
      Peer unanswered = peers.client(opening("owed", 8000, ""));
      peers.provider(0).line();
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      while (!call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status().equals("503")) {
        Thread.onSpinWait();
      }
      JsonNode metrics = figures(peers);
      assertEquals(1, metrics.path("in_flight").asInt());
      String line = unanswered.line();
      assertTrue(line.startsWith("BUSY"), line);
      stop.join();
    }
  }

  private static String putStatus(Peers peers, String id, String action) throws Exception {
    return call(peers, "PUT /v1/viewer-hosts/" + id + "/" + action + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        .status();
  }

  @Test
  void suspendedProviderIsDrainedAndUnusedUntilResumed() throws Exception {
    try (Peers peers = withManagementApi(2)) {
      Peer[] established = peers.joined("a", 0);
      Peer watch = peers.watchTelling(peers.list(2, true));
      assertEquals("404", putStatus(peers, "p9", "suspend"));
      assertEquals("404", putStatus(peers, "p9", "resume"));
      assertEquals("200", putStatus(peers, "p%30", "suspend"));
      assertEquals("200", putStatus(peers, "p0", "suspend"));
      assertEquals(1, figures(peers).path("viewer_hosts_excluded").asInt());
      assertEquals("MOVE", established[0].line());
      assertEquals("FIN", established[0].line());
      assertEquals("FIN", established[1].line());
      watch.send(Peers.chunk(peers.list(3, false, "active"))); // the directory lists it as active
      watch.send(Peers.chunk(peers.list(4, true)));
      for (int i = 0; i < 6; i++) {
        peers.client(opening("k" + i, 3000, ""));
        assertTrue(peers.provider(1).send("UP 1\r\n").line().startsWith("OPEN"));
      }
      assertEquals("200", putStatus(peers, "p0", "resume"));
      assertEquals(0, figures(peers).path("viewer_hosts_excluded").asInt());
      CountDownLatch resumed = new CountDownLatch(1);
      Thread acceptor = new Thread(() -> {
        try {
          peers.provider(0);
          resumed.countDown();
        } catch (Exception noConnection) {
          // the test fails below
        }
      });
      acceptor.start();
      long deadline = System.nanoTime() + Peers.PATIENCE * 1_000_000L;
      for (int i = 0; resumed.getCount() > 0; i++) { // clients keep connecting
        peers.client(opening("back" + i, 3000, ""));
        assertTrue(System.nanoTime() < deadline, "not used again after the resume");
        resumed.await(100, java.util.concurrent.TimeUnit.MILLISECONDS);
      }
      assertEquals("200", putStatus(peers, "p0", "resume"), "resuming a known provider that is not suspended succeeds");
    }
  }

  private static void assertMetrics(Peers peers, int served, int rejected, int failed, int attempts, int inFlight)
      throws Exception {
    JsonNode metrics = figures(peers);
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
