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

/** Stories at the operators' door. */
@Timeout(60)
class ManagementStoriesTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** An answer: status line, headers and body as they came. */
  record Said(String status, String head, String body) {}

  private static Socket caller(Peers peers) throws Exception {
    return caller(peers.service);
  }

  private static Socket caller(Service service) throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), service.managementAddress().getPort());
    socket.setSoTimeout(Peers.PATIENCE);
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Said answer(Socket socket) throws Exception {
    String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int body = text.indexOf("\r\n\r\n");
    return new Said(text.substring(9, 12), text.substring(0, body), text.substring(body + 4));
  }

  private static Said call(Peers peers, String text) throws Exception {
    return call(peers.service, text);
  }

  static Said call(Service service, String text) throws Exception {
    try (Socket socket = caller(service)) {
      send(socket, text);
      return answer(socket);
    }
  }

  private static JsonNode figures(Peers peers) throws Exception {
    return figures(peers.service);
  }

  static JsonNode figures(Service service) throws Exception {
    return JSON.readTree(call(service, "GET /v1/metrics HTTP/1.1\r\n\r\n").body());
  }

  private static Peers withDoor(int providers) throws Exception {
    return new Peers(providers, 1024, "[instance]\nmgmt = \"127.0.0.1:0\"\n");
  }

  @Test
  void whatIsAskedWronglyIsToldPlainly() throws Exception {
    try (Peers peers = withDoor(1)) {
      assertEquals("200", call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status());
      assertEquals("404", call(peers, "GET /v1/nothing HTTP/1.1\r\n\r\n").status());
      Said wrong = call(peers, "POST /v1/readyz HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
      assertEquals("405", wrong.status());
      assertTrue(wrong.head().contains("\r\nAllow: GET"), wrong.head());
      assertEquals("400", call(peers, "HELLO\r\n\r\n").status());
      assertEquals("431", call(peers, "GET / HTTP/1.1\r\nX: " + "y".repeat(9000)).status());
      try (Socket pieces = caller(peers)) {
        send(pieces, "GET /v1/rea");
        send(pieces, "dyz HTTP/1.1\r\n");
        send(pieces, "\r\n");
        pieces.shutdownOutput();
        assertEquals("200", answer(pieces).status());
      }
    }
  }

  @Test
  void withoutAListItIsNotReady() throws Exception {
    try (Peers peers = withDoor(0)) {
      Said said = call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n");
      assertEquals("503", said.status());
      assertTrue(said.body().contains("no list"), said.body());
      assertEquals(0, figures(peers).path("served").path("chat").asInt(-1), "every class is there from 0 on");
    }
  }

  @Test
  void callersThatDawdleKeepNobodyWaitingAndMakeRoom() throws Exception {
    try (Peers peers = withDoor(1)) {
      List<Socket> dawdlers = new ArrayList<>();
      for (int i = 0; i < 60; i++) { // more than are held at once
        Socket dawdler = caller(peers);
        send(dawdler, "GET /v1/re");
        dawdlers.add(dawdler);
      }
      assertEquals("200", call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status());
      Socket last = dawdlers.get(59);
      send(last, "adyz HTTP/1.1\r\n\r\n");
      assertEquals("200", answer(last).status(), "one that is not the oldest is waited for");
      assertEquals(-1, dawdlers.get(0).getInputStream().read(), "the oldest had to go");
      for (Socket dawdler : dawdlers) {
        dawdler.close();
      }
    }
  }

  /** Guards against operators waiting behind the clients' tasks: the loop is held, and then has much to do. */
  @Test
  void aCallGoesAheadOfAllThatWaitsOnTheLoop() throws Exception {
    try (Peers peers = withDoor(1)) {
      CountDownLatch held = new CountDownLatch(1);
      CountDownLatch go = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      peers.service.loop().post(() -> {
        held.countDown();
        await(go);
      });
      held.await();
      peers.service.loop().post(() -> await(answered)); // what came before the call would never end
      try (Socket socket = caller(peers)) {
        send(socket, "GET /v1/metrics HTTP/1.1\r\n\r\n");
        while (peers.service.loop().urgentTaskCount() == 0) {
          Thread.onSpinWait();
        }
        go.countDown();
        assertEquals("200", answer(socket).status());
      } finally {
        answered.countDown();
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Every ending that a connection can have: what was taken is what ended and what is in set-up. */
  @Test
  void eachConnectionIsCountedOnceHoweverItEnds() throws Exception {
    try (Peers peers = withDoor(1)) {
      Peer up = peers.client(opening("up", 3000, ""));
      Peer there = peers.provider(0);
      there.line();
      there.send("UP r\r\n");
      assertEquals("UP r", up.line());
      check(peers, 1, 0, 0, 1, 1);
      up.socket.close(); // after UP
      assertEquals("FIN", there.line());
      check(peers, 1, 0, 0, 1, 0);

      Peer busy = peers.client(opening("busy", 700, ""));
      Peer first = peers.provider(0);
      first.line();
      first.send("BUSY\r\n");
      assertTrue(busy.line().startsWith("BUSY"));
      check(peers, 1, 1, 0, 2, 0);

      Peer unknown = peers.client("OPEN 1 1 c=chat,t=nobody,d=2000,g=1\r\n");
      assertEquals("ERR", unknown.line());
      check(peers, 1, 1, 1, 2, 0);
      Peer malformed = peers.client("OPEN 1\r\n");
      assertEquals("ERR", malformed.line());
      check(peers, 1, 1, 1, 2, 0);
    }
  }

  @Test
  void thoseThatLeaveOrDoNotWaitAreCountedOnceToo() throws Exception {
    try (Peers peers = withDoor(1)) {
      Peer left = peers.client(opening("left", 3000, ""));
      Peer called = peers.provider(0);
      called.line();
      check(peers, 0, 0, 0, 1, 1);
      left.reset(); // in set-up
      assertEquals("FIN", called.line());
      check(peers, 0, 1, 0, 1, 0);

      Peer eager = peers.client(opening("eager", 3000, ""));
      Peer again = peers.provider(0);
      again.line();
      eager.send("M 1\r\n");
      assertEquals("ERR", eager.line());
      check(peers, 0, 1, 1, 2, 0);

      Peer late = peers.client(opening("late", 300, "")); // nobody answers in time
      peers.provider(0).line();
      assertTrue(late.line().startsWith("BUSY"));
      check(peers, 0, 2, 1, 3, 0);
    }
  }

  @Test
  void aStopCountsWhatItRejectsAndIsNotReady() throws Exception {
    try (Peers peers = withDoor(1)) {
      Peer owed = peers.client(opening("owed", 8000, ""));
      peers.provider(0).line();
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      while (!call(peers, "GET /v1/readyz HTTP/1.1\r\n\r\n").status().equals("503")) {
        Thread.onSpinWait();
      }
      JsonNode before = figures(peers);
      assertEquals(1, before.path("in_flight").asInt());
      String line = owed.line();
      assertTrue(line.startsWith("BUSY"), line);
      stop.join();
    }
  }

  private static String put(Peers peers, String id, String what) throws Exception {
    return call(peers, "PUT /v1/viewer-hosts/" + id + "/" + what + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n").status();
  }

  @Test
  void aSuspendedProviderIsClearedAndPassedByUntilItIsCalledBack() throws Exception {
    try (Peers peers = withDoor(2)) {
      Peer[] standing = peers.joined("a", 0);
      Peer watch = peers.watchTelling(peers.list(2, true));
      assertEquals("404", put(peers, "p9", "suspend"));
      assertEquals("404", put(peers, "p9", "resume"));
      assertEquals("200", put(peers, "p%30", "suspend"));
      assertEquals("200", put(peers, "p0", "suspend"));
      assertEquals(1, figures(peers).path("viewer_hosts_excluded").asInt());
      assertEquals("MOVE", standing[0].line());
      assertEquals("FIN", standing[0].line());
      assertEquals("FIN", standing[1].line());
      watch.send(Peers.chunk(peers.list(3, false, "active"))); // whatever the directory says
      watch.send(Peers.chunk(peers.list(4, true)));
      for (int i = 0; i < 6; i++) {
        peers.client(opening("k" + i, 3000, ""));
        assertTrue(peers.provider(1).send("UP 1\r\n").line().startsWith("OPEN"));
      }
      assertEquals("200", put(peers, "p0", "resume"));
      assertEquals(0, figures(peers).path("viewer_hosts_excluded").asInt());
      CountDownLatch used = new CountDownLatch(1);
      Thread waiting = new Thread(() -> {
        try {
          peers.provider(0);
          used.countDown();
        } catch (Exception none) {
          // the story fails below
        }
      });
      waiting.start();
      long end = System.nanoTime() + Peers.PATIENCE * 1_000_000L;
      for (int i = 0; used.getCount() > 0; i++) { // clients go on coming
        peers.client(opening("back" + i, 3000, ""));
        assertTrue(System.nanoTime() < end, "never used again");
        used.await(100, java.util.concurrent.TimeUnit.MILLISECONDS);
      }
      assertEquals("200", put(peers, "p0", "resume"), "not suspended, but known");
    }
  }

  private static void check(Peers peers, int served, int refused, int failed, int attempts, int inFlight)
      throws Exception {
    JsonNode figures = figures(peers);
    String all = figures.toString();
    assertEquals(served, figures.path("served").path("chat").asInt(-1), all);
    assertEquals(refused, figures.path("refused").path("chat").asInt(-1), all);
    assertEquals(failed, figures.path("failed").path("chat").asInt(-1), all);
    assertEquals(attempts, figures.path("attempts").asInt(-1), all);
    assertEquals(inFlight, figures.path("in_flight").asInt(-1), all);
    assertEquals(1, figures.path("viewer_hosts_known").asInt(-1), all);
    assertTrue(figures.path("viewer_hosts_excluded").isInt(), all);
    assertEquals(figures.path("served").size(), 1, all);
  }
}
