package amberhoist.service;

import static amberhoist.service.StubPeers.openRequest;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.metrics.Counters.Count;
import amberhoist.service.StubPeers.Peer;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Client connections through a proxy over loopback sockets, each test with one failure that must not occur. */
public class ProxyScenarioTest {
  @Test
  public void relaysLinesBothWaysAndPropagatesTheEnd() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      assertEquals("PONG", peers.connectClient("PING\r\n").readLine());
      Peer client = peers.connectClient(openRequest("7f3a", 2000, ",h=1,x=y"));
      Peer provider = peers.acceptAtProvider(0);
      String line = provider.readLine();
      assertTrue(line, line.matches("OPEN 9b1f7f3a 7f3a c=chat,t=acme,d=[0-9]+,g=5c0f,h=1,x=y"));
      int wait = Integer.parseInt(line.replaceAll(".*d=([0-9]+).*", "$1"));
      assertTrue("forwarded wait " + wait, wait > 100 && wait < 2000);
      provider.send("UP 77\r\nLOAD 5\r\n");
      assertEquals("UP 77", client.readLine());
      assertEquals("LOAD 5", client.readLine());
      client.send("M 1 a").send("b\r\nM 2\r\n");
      assertEquals("M 1 ab", provider.readLine());
      assertEquals("M 2", provider.readLine());
      provider.send("BYE\r\n").socket.shutdownOutput();
      assertEquals("BYE", client.readLine());
      assertEquals("FIN", client.readLine());
      client.socket.close();
      assertEquals("FIN", provider.readLine());
    }
  }

  @Test
  public void propagatesAResetInBothDirections() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] first = peers.establish("a", 0);
      first[0].reset();
      assertEquals("RESET", first[1].readLine());
      Peer[] second = peers.establish("b", 0);
      second[1].reset();
      assertEquals("RESET", second[0].readLine());
    }
  }

  @Test
  public void answersErrToInvalidFirstLinesAndContactsNoProvider() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      peers.acceptWatchAndSend(peers.providerListJson(2, true)); // or else at=nobody might still be told
      DirectoryScenarioTest.awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      String valid = openRequest("k", 2000, "").trim();
      List<String> invalid = List.of("\r\n", "HELLO\r\n", "OPEN\r\n", "OPEN a\r\n", "OPEN a b\r\n",
          "OPEN a b c\r\n", "OPEN  b c=chat,d=5\r\n", "OPEN a b c=chat,d=x\r\n", "OPEN a b c=chat,d=-5\r\n",
          "OPEN a b d=5\r\n", "OPEN a b c=chat,d=5,d=6\r\n", "OPEN a b c=chat,,d=5\r\n", valid + "\n",
          valid + " more\r\n", valid + "\r\nMORE\r\n", "OPEN a b c=none,t=acme,d=9\r\n",
          "OPEN a b c=chat,t=none,d=9\r\n", "OPEN a b c=chat,d=900\r\n",
          valid + ",x=\u00e9\r\n", valid + ",h=-1\r\n", valid + ",h=1e300\r\n",
          "OPEN a b c=chat,t=acme,d=99999999999999999999\r\n", "OPEN a b c=chat,t=acme,d=900000000\r\n",
          valid + ",at=\r\n", openRequest("k", 3000, ",at=nobody"), "OPEN a b c=chat,d=5,x=\u0001\r\n",
          valid + ",x=" + "y".repeat(4096) + "\r\n", "z".repeat(5000));
      for (String line : invalid) {
        Peer client = peers.connectClient(line);
        assertEquals(line, "ERR", client.readLine());
        assertTrue(line, List.of("FIN", "RESET").contains(client.readLine()));
      }
      Peer unfinished = peers.connectClient(valid);
      unfinished.socket.shutdownOutput();
      assertEquals("ERR", unfinished.readLine());
      peers.providers.get(0).setSoTimeout(100);
      try {
        peers.acceptAtProvider(0);
        throw new AssertionError("a provider was contacted");
      } catch (SocketTimeoutException noConnection) {
        assertEquals("all but the one with at=nobody", invalid.size(), peers.service.count(Count.MALFORMED));
      }
    }
  }

  @Test
  public void answersErrToDataBeforeUpAndToAnIdInUse() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer eager = peers.connectClient(openRequest("k", 2000, ""));
      Peer firstAttempt = peers.acceptAtProvider(0);
      firstAttempt.readLine();
      Peer duplicate = peers.connectClient(openRequest("k", 2000, ""));
      assertEquals("ERR", duplicate.readLine());
      eager.send("M 1\r\n");
      assertEquals("ERR", eager.readLine());
      assertEquals("FIN", firstAttempt.readLine());
      assertEquals("the duplicate started no attempt", 1, peers.service.count(Count.CALLS));
      assertEquals("it may have run", "ERR", peers.connectClient(openRequest("k", 2000, "")).readLine());
      assertEquals(1, peers.service.count(Count.CALLS));
    }
  }

  /** Guards against a request that runs twice when its id comes again after its client has left. */
  @Test
  public void anIdThatMayHaveRunIsNotForwardedAgain() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer leaving = peers.connectClient(openRequest("a", 2000, ""));
      Peer attempt = peers.acceptAtProvider(0);
      attempt.readLine();
      leaving.socket.close();
      assertEquals("FIN", attempt.readLine());
      assertEquals("ERR", peers.connectClient(openRequest("a", 2000, "")).readLine());
      Peer served = peers.connectClient(openRequest("b", 2000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      provider.send("UP 4\r\nBYE\r\n").socket.shutdownOutput();
      assertEquals("UP 4", served.readLine());
      assertEquals("BYE", served.readLine());
      assertEquals("FIN", served.readLine());
      assertEquals("ERR", peers.connectClient(openRequest("b", 2000, "")).readLine());
      assertEquals(2, peers.service.count(Count.CALLS));
    }
  }

  /** Guards against an id that is refused although nothing can have run under it. */
  @Test
  public void anIdThatHasNotRunMayComeAgain() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer refused = peers.connectClient(openRequest("a", 600, ""));
      Peer attempt = peers.acceptAtProvider(0);
      attempt.readLine();
      attempt.send("BUSY\r\n");
      assertTrue(refused.readLine().startsWith("BUSY"));
      Peer again = peers.connectClient(openRequest("a", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      provider.send("UP 4\r\n");
      assertEquals("UP 4", again.readLine());
    }
  }

  @Test
  public void closesClientsWithoutAFirstLineWithin3Seconds() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      long start = System.nanoTime();
      Peer silent = peers.connectClient("");
      Peer pinging = peers.connectClient("");
      Peer trickling = peers.connectClient("OPEN");
      Peer flooding = peers.connectClient("PING\r\n".repeat(400));
      for (int i = 0; i < 5; i++) {
        assertEquals("PONG", pinging.send("PING\r\n").readLine());
        trickling.send(" ");
        silent.socket.setSoTimeout(300);
        try {
          silent.readLine();
        } catch (SocketTimeoutException waiting) {
          // the other clients send again after this pause
        }
      }
      silent.socket.setSoTimeout(StubPeers.TIMEOUT_MILLIS);
      for (Peer peer : List.of(silent, pinging, trickling)) {
        assertEquals("a first line may follow where none has begun", peer == trickling ? "ERR" : "BUSY",
            peer.readLine());
        assertTrue(List.of("FIN", "RESET").contains(peer.readLine()));
      }
      assertTrue("within 3 s of connecting", System.nanoTime() - start < 2_900_000_000L);
      String last = flooding.readLine();
      for (String line = last; line.equals("PONG"); line = flooding.readLine()) {
        last = line;
      }
      assertEquals("the number of answers to PING is bounded", 1, peers.service.count(Count.PINGED) / 17);
    }
  }

  @Test
  public void closesAClientWhoseFirstLineNeverEnds() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer client = peers.connectClient("OPEN a b c=chat,t=acme,d=900,x=");
      byte[] part = "y".repeat(1 << 16).getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
      int parts = 0;
      try {
        for (; parts < 60 << 4; parts++) {
          client.socket.getOutputStream().write(part);
        }
      } catch (java.io.IOException closed) {
        assertTrue("little more is taken than the sockets buffer", parts < 60 << 3);
      }
      assertTrue("the connection is closed", parts < 60 << 4);
    }
  }

  @Test
  public void evictsSilentClientsToMakeRoomForRequests() throws Exception {
    try (StubPeers peers = new StubPeers(1, 24 + 24)) {
      List<Peer> silent = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        silent.add(peers.connectClient(""));
        Peer requesting = peers.connectClient(openRequest("k" + i, 2000, ""));
        Peer provider = peers.acceptAtProvider(0);
        provider.readLine();
        provider.send("UP 1\r\n");
        assertEquals("UP 1", requesting.readLine());
        requesting.socket.close();
        assertEquals("the client closed the connection", "FIN", provider.readLine());
        provider.socket.close();
      }
      assertEquals("the oldest is evicted first and gets an answer", "BUSY 500", silent.get(0).readLine());
      assertTrue(List.of("FIN", "RESET").contains(silent.get(0).readLine()));
      assertEquals(0, peers.service.count(Count.CROWDED_OUT));
    }
  }

  @Test
  public void retriesElsewhereAfterAMalformedAnswerWasClosed() throws Exception {
    try (StubPeers peers = new StubPeers(2)) {
      Peer client = peers.connectClient(openRequest("k", 2000, ""));
      List<Peer> attempts = new ArrayList<>();
      int firstProvider = acceptAtEitherProvider(peers, attempts);
      attempts.get(0).send("WHAT IS THIS\r\n");
      assertTrue(List.of("FIN", "RESET").contains(attempts.get(0).readLine()));
      Peer next = peers.acceptAtProvider(1 - firstProvider);
      next.readLine();
      next.send("UP 5\r\n");
      assertEquals("UP 5", client.readLine());
    }
  }

  /** Accepts the next attempt at either of two providers, reads its request, and returns the provider's index. */
  private static int acceptAtEitherProvider(StubPeers peers, List<Peer> attempts) throws Exception {
    for (int i = 0; i < StubPeers.TIMEOUT_MILLIS / 20; i++) {
      peers.providers.get(i % 2).setSoTimeout(20);
      try {
        Peer peer = peers.acceptAtProvider(i % 2);
        peers.providers.get(i % 2).setSoTimeout(StubPeers.TIMEOUT_MILLIS);
        peers.providers.get(1 - i % 2).setSoTimeout(StubPeers.TIMEOUT_MILLIS);
        peer.readLine();
        attempts.add(peer);
        return i % 2;
      } catch (SocketTimeoutException noConnection) {
        continue;
      }
    }
    throw new AssertionError("no attempt was started");
  }

  @Test
  public void rejectsAtOnceWithARetryAfter() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      long start = System.nanoTime();
      Peer client = peers.connectClient(openRequest("k", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      provider.send("BUSY\r\n");
      String answer = client.readLine();
      long millis = (System.nanoTime() - start) / 1_000_000;
      assertTrue(answer, answer.matches("BUSY [1-9][0-9]*"));
      assertTrue("after " + millis + " ms", millis < 1500);
      assertEquals("FIN", client.readLine());
    }
  }

  @Test
  public void answersBusyBeforeTheDeadlineIfTheProviderNeverAnswers() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      long start = System.nanoTime();
      Peer client = peers.connectClient(openRequest("k", 700, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      assertTrue(client.readLine().startsWith("BUSY"));
      assertTrue("before its deadline", System.nanoTime() - start < 700_000_000L);
      assertEquals("the attempt is closed", "FIN", provider.readLine());
    }
  }

  @Test
  public void clientThatClosesItsOutputGetsErrAndItsAttemptEnds() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer client = peers.connectClient(openRequest("k", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      client.socket.shutdownOutput();
      assertEquals("the request may have run, so no BUSY", "ERR", client.readLine());
      assertEquals("FIN", client.readLine());
      assertEquals("FIN", provider.readLine());
      assertEquals(1, peers.service.count(Count.CLIENT_LEFT));
    }
  }

  /** Clients of a silent provider must move within 7 s; this allows 5 s after the last returned line. */
  @Test
  public void movesClientsOfASilentProviderInTime() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] pair = peers.establish("k", 0);
      pair[0].send("M 1\r\n");
      assertEquals("M 1", pair[1].readLine());
      long start = System.nanoTime();
      pair[1].send("LOAD 12\r\n"); // still reports its load, but returns no line
      assertEquals("LOAD 12", pair[0].readLine());
      assertEquals("MOVE", pair[0].readLine());
      assertTrue(System.nanoTime() - start < 5_000_000_000L);
      assertEquals("FIN", pair[0].readLine());
      assertEquals("FIN", pair[1].readLine());
    }
  }

  @Test
  public void movesAllClientsOfAProviderOnceTwoLinesAreUnanswered() throws Exception {
    try (StubPeers peers = new StubPeers(2)) {
      List<Peer[]> pairs = List.of(peers.establish("a", 0), peers.establish("b", 0), peers.establish("c", 0));
      Peer[] elsewhere = peers.establish("d", 1);
      long start = System.nanoTime();
      pairs.get(0)[0].send("M 1\r\n");
      pairs.get(1)[0].send("M 1\r\n");
      for (Peer[] pair : pairs) {
        assertEquals("MOVE", pair[0].readLine());
      }
      assertTrue(System.nanoTime() - start < 1_100_000_000L);
      elsewhere[0].send("M 1\r\n");
      assertEquals("M 1", elsewhere[1].readLine());
    }
  }

  @Test
  public void relaysManyLinesToASlowReaderWhole() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] pair = peers.establish("k", 0);
      String line = "M " + "x".repeat(3000);
      int count = 4000;
      Thread writer = new Thread(() -> {
        try {
          for (int i = 0; i < count; i++) {
            pair[0].send(line + i + "\r\n");
          }
        } catch (java.io.IOException closed) {
          // the reader then misses lines
        }
      });
      writer.start();
      for (int i = 0; i < count; i++) {
        assertEquals(line + i, pair[1].readLine());
        if (i % 1000 == 0) {
          pair[1].send("E " + i + "\r\n");
          assertEquals("the other direction is not blocked", "E " + i, pair[0].readLine());
        }
      }
      writer.join();
    }
  }

  @Test
  public void rejectsClientsBeyondTheDescriptorLimitUntilOthersEnd() throws Exception {
    try (StubPeers peers = new StubPeers(1, 24 + 16 + 6)) {
      List<Peer[]> pairs = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        pairs.add(peers.establish("k" + i, 0));
      }
      assertTrue(peers.connectClient(openRequest("more", 2000, "")).readLine().startsWith("BUSY "));
      for (Peer[] pair : pairs) {
        pair[0].socket.close();
        assertEquals("FIN", pair[1].readLine());
        pair[1].socket.close();
      }
      for (int tries = 0; tries < 100; tries++) { // until the proxy has processed all closed connections
        Peer client = peers.connectClient("PING\r\n");
        assertEquals("PONG", client.readLine());
        client.socket.close();
        if (peers.service.connections() < 4) {
          break;
        }
      }
      peers.connectClient(openRequest("again", 2000, ""));
      assertTrue(peers.acceptAtProvider(0).readLine().contains("again"));
    }
  }

  @Test
  public void fetchesLoadReportsSeparatelyAndIgnoresInvalidOnes() throws Exception {
    try (StubPeers peers = new StubPeers(3)) {
      String config = peers.platformConfig(peers.directory).replace("\"settings\":{", "\"settings\":{\"balancers\":50,"
          + "\"reporting\":{\"fields\":[\"x0\"],\"source\":\"probe\"},")
          .replace("\"max-attempts\"", "\"probing\":true,\"max-attempts\"");
      peers.reloadPlatformConfig(config);
      peers.connectClient(openRequest("k", 3000, ""));
      List<String> answers = List.of("PONG x0=0.5\r\n", "PONG what\r\n", "x".repeat(5000));
      for (int i = 0; i < answers.size(); i++) {
        Peer reportConnection = peers.acceptAtProvider(i);
        assertEquals("STATS", reportConnection.readLine());
        reportConnection.send(answers.get(i));
        String end = reportConnection.readLine();
        assertTrue(end, List.of("FIN", "RESET").contains(end));
      }
      while (peers.service.count(Count.REPORTS) < 1) {
        Thread.onSpinWait();
      }
      assertEquals(3, peers.service.count(Count.REPORTS_ASKED));
      assertEquals(1, peers.service.count(Count.REPORTS));
    }
  }
}
