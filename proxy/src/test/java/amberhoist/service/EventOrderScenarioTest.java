package amberhoist.service;

import static amberhoist.service.StubPeers.httpChunk;
import static amberhoist.service.StubPeers.openRequest;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.metrics.Counters.Count;
import amberhoist.net.watch.WatchTiming;
import amberhoist.service.StubPeers.Peer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.Test;

/**
 * Events that meet in either order, over loopback sockets: data and the end of a connection, directory updates and new
 * connections. Each test forces the order that it checks.
 */
public class EventOrderScenarioTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /**
   * Without an answer at the end of the process, a client that has not sent its request yet would be closed silently,
   * and a request that crosses the close would be lost in the same way.
   */
  @Test
  public void answersClientsWithoutARequestBeforeClosingOnStop() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer requestAfter = peers.connectClient("");
      Peer pingBefore = peers.connectClient("PING\r\n");
      assertEquals("PONG", pingBefore.readLine());
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      assertEquals("sent before the request arrives", "BUSY 300", requestAfter.readLine());
      requestAfter.send(openRequest("late", 3000, ""));
      assertEquals("a reset would discard the answer", "FIN", requestAfter.readLine());
      assertEquals("BUSY 300", pingBefore.readLine());
      assertEquals("FIN", pingBefore.readLine());
      Peer lastClient = peers.connectClient(openRequest("last", 3000, "")); // the listener stays open to the end
      assertEquals("BUSY 300", lastClient.readLine());
      stop.join();
    }
  }

  /**
   * When a first line takes too long, a request may already be on its way. {@code ERR} leaves open whether it ran;
   * {@code BUSY} says that it did not.
   */
  @Test
  public void answersBusyToARequestThatCrossesTheFirstLineTimeout() throws Exception {
    try (StubPeers peers = new StubPeers(1, 1024, "[line]\nfirst_line = \"100ms\"\n")) {
      Peer idle = peers.connectClient("");
      Peer partial = peers.connectClient("OPEN");
      assertEquals("BUSY", idle.readLine());
      idle.send(openRequest("k", 3000, ""));
      assertEquals("FIN", idle.readLine());
      assertEquals("ERR", partial.readLine());
      assertEquals(0, peers.service.count(Count.CALLS));
    }
  }

  /** A client that is evicted to make room must get an answer; it would otherwise be closed silently. */
  @Test
  public void answersBusyToAnEvictedClient() throws Exception {
    try (StubPeers peers = new StubPeers(1, 24 + 18)) {
      List<Peer> idle = new ArrayList<>();
      for (int i = 0; i < 19; i++) {
        idle.add(peers.connectClient(""));
      }
      assertEquals("BUSY 500", idle.get(0).readLine());
    }
  }

  /**
   * Idle clients are evicted before one that is sending its request. Evicting the oldest connection without a whole
   * first line would close the slow client in the middle of its request.
   */
  @Test
  public void evictsIdleClientsBeforeASlowRequest() throws Exception {
    try (StubPeers peers = new StubPeers(1, 24 + 24, "[line]\nfirst_line = \"20s\"\n")) {
      Peer slow = peers.connectClient("");
      List<Peer> idle = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        idle.add(peers.connectClient(""));
      }
      assertEquals("all earlier connections are accepted", "PONG", peers.connectClient("PING\r\n").readLine());
      slow.send("PING\r\nOPEN 9b1f");
      assertEquals("PONG", slow.readLine());
      for (int i = 0; i < 20; i++) {
        peers.connectClient("");
      }
      assertEquals("BUSY 500", idle.get(0).readLine());
      slow.send("s s c=chat,t=acme,d=5000,g=5c0f\r\n");
      assertTrue(peers.acceptAtProvider(0).readLine().startsWith("OPEN 9b1fs s "));
    }
  }

  /**
   * A failed write to a provider must not end both sides while lines of the provider, its closing line among them, are
   * still unread.
   */
  @Test
  public void forwardsProviderLinesReceivedBeforeAFailedWrite() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] ends = peers.establish("k", 0);
      try (StubPeers.LoopPause pause = peers.pauseLoop()) {
        ends[0].send("a question\r\n");
        pause.awaitQueuedTask();
        ends[1].send("a line\r\n");
        pause.awaitQueuedTask(); // it is read; later data stays in the socket
        ends[1].send("BYE\r\n");
        ends[1].reset(); // the write of the question fails
      }
      assertEquals("a line", ends[0].readLine());
      assertEquals("BYE", ends[0].readLine());
      assertEquals("ends in the same way as the provider", "RESET", ends[0].readLine());
      assertEquals(1, peers.service.count(Count.ENDED_SERVED));
      assertEquals(0, peers.service.connections());
    }
  }

  /**
   * A request must not go to a provider that started leaving while the proxy connected. The provider's backlog is full,
   * so the connection is established only when the system retries, after the directory update.
   */
  @Test
  public void sendsNoRequestToAProviderThatLeftBeforeItConnected() throws Exception {
    try (StubPeers peers = new StubPeers(1);
        ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> backlog = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        backlog.add(new Socket(full.getInetAddress(), full.getLocalPort()));
      }
      peers.reloadPlatformConfig(peers.platformConfig(peers.directory).replace("250000", "5000000"));
      String address = "127.0.0.1:" + peers.providers.get(0).getLocalPort();
      String blockedAddress = "127.0.0.1:" + full.getLocalPort();
      Peer watch = peers.acceptWatchAndSend(peers.providerListJson(2, true).replace(address, blockedAddress));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      Peer client = peers.connectClient(openRequest("k", 6000, ""));
      awaitCount(peers, Count.CALLS, 1);
      watch.send(httpChunk(peers.providerListJson(3, true, "leaving").replace(address, blockedAddress)));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      for (Socket socket : backlog) {
        full.accept();
        socket.close();
      }
      full.setSoTimeout(StubPeers.TIMEOUT_MILLIS);
      Peer late = peers.accept(full);
      String line = late.readLine();
      assertTrue("no request: " + line, List.of("FIN", "RESET").contains(line));
      assertTrue(client.readLine().startsWith("BUSY"));
    }
  }

  /** An answer that never completes a line would keep the watch open for ever if every byte counted as activity. */
  @Test
  public void closesAWatchWhoseLineNeverEnds() throws Exception {
    for (String sent : List.of("", HEAD, HEAD + httpChunk("") + "ffff\r\n")) {
      try (StubPeers peers = new StubPeers(1, 1024, "[directory]\nfirst_answer = \"200ms\"\nsilence = \"200ms\"\n")) {
        Peer endless = peers.acceptWatch(new String[1]).send(sent);
        AtomicInteger bytes = new AtomicInteger();
        Thread writer = new Thread(() -> {
          try {
            while (true) {
              endless.send(sent.isEmpty() ? "H" : sent.equals(HEAD) ? "0" : " ");
              bytes.incrementAndGet();
              LockSupport.parkNanos(500_000); // slow enough that each byte arrives on its own
            }
          } catch (IOException closed) {
            // expected: the proxy closed the watch
          }
        });
        writer.start();
        peers.acceptWatch(new String[1]);
        writer.join();
        assertTrue("closed by its timeout, not for its length", bytes.get() < 8000);
      }
    }
  }

  /** Six seconds after a change, the directory assumes that every proxy knows of it. */
  @Test
  public void defaultWatchTimingDeliversAnUpdateWithin6Seconds() {
    WatchTiming timing = WatchTiming.DEFAULT;
    // a request that is never answered, and the longest pause
    long maxMicros = timing.firstLineTimeoutMicros() + 2 * timing.maxPauseMicros();
    assertTrue("with one second for the next answer", maxMicros + 1_000_000 <= 6_000_000);
    assertTrue(timing.silenceTimeoutMicros() + 2 * timing.maxPauseMicros() + 1_000_000 <= 6_000_000);
  }

  /** Guards against a drain that is heard late because the call after an outage waits for a pause of up to a second. */
  @Test
  public void pushedListsAreAskedForWithinTheDrainLimitAfterAnOutage() {
    for (long drainLimitMicros : List.of(250_000L, 500_000L)) {
      WatchTiming timing = WatchTiming.DEFAULT.forPushedLists(drainLimitMicros);
      assertTrue("half of the limit is left for the answer", 2 * timing.maxPauseMicros() <= drainLimitMicros / 2);
      assertTrue(timing.initialPauseMicros() <= timing.maxPauseMicros());
    }
    assertEquals("asked for, not pushed", WatchTiming.DEFAULT, WatchTiming.DEFAULT.forPushedLists(0));
  }

  @Test
  public void ignoresAnUpdateOfAnOlderIndexAndRequestsASnapshot() throws Exception {
    try (StubPeers peers = new StubPeers(2)) {
      String[] query = new String[1];
      Peer watch = peers.acceptWatchAndSend(peers.providerListJson(8, true, "leaving", "active"));
      watch.send(httpChunk(peers.providerListJson(7, false, "active", "active")));
      Peer newWatch = peers.acceptWatch(query).send(HEAD);
      assertTrue(query[0], query[0].contains("&since=0 "));
      for (int i = 0; i < 4; i++) {
        peers.connectClient(openRequest("k" + i, 2000, ""));
        peers.acceptAtProvider(1).readLine();
      }
      // a snapshot of a lower index: the directory restarted its numbering
      newWatch.send(httpChunk(peers.providerListJson(5, true, "active", "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      peers.connectClient(openRequest("k9", 2000, ""));
      assertTrue(peers.acceptAtProvider(0).readLine().contains("k9"));
    }
  }

  /** A client whose provider takes no data must still be read after its MOVE, or it is reset instead of closed. */
  @Test
  public void closesABlockedClientInOrderAfterMove() throws Exception {
    // the linger time is longer than the timeout of this test
    try (StubPeers peers = new StubPeers(1, 1024, "[sockets]\nlinger = \"1m\"\n")) {
      peers.providers.get(0).setReceiveBufferSize(4096);
      Peer client = peers.establish("k", 0)[0];
      for (int sent = 1; areForwarded(peers, sent - 1); sent++) {
        client.send("y".repeat(4000) + "\r\n"); // the provider reads none of it
      }
      assertEquals("MOVE", client.readLine());
      assertEquals("FIN", client.readLine());
      client.socket.shutdownOutput();
      long deadline = System.nanoTime() + StubPeers.TIMEOUT_MILLIS * 1_000_000L;
      while (peers.service.connections() > 1) { // the provider's connection stays: it takes no data
        assertTrue("the client's end was not seen", System.nanoTime() < deadline);
      }
    }
  }

  /** An entry that cannot be parsed must not make the proxy discard the update of the other providers as well. */
  @Test
  public void appliesTheReadableEntriesOfAListWithAMalformedOne() throws Exception {
    for (String malformed : List.of("\"status\":\"resting\"", "\"status\":7", "\"address\":\"here\"",
        "\"address\":{\"a\":[1]}", "\"weight\":\"much\"", "\"group\":\"g\"", "\"since_ms\":[]")) {
      for (boolean snapshot : new boolean[] {true, false}) {
        try (StubPeers peers = new StubPeers(2)) {
          String list = peers.providerListJson(4, snapshot, "active", "leaving");
          int end = list.indexOf("},{");
          String key = malformed.substring(0, malformed.indexOf(':') + 1);
          int from = list.indexOf(key);
          int to = key.equals("\"since_ms\":") ? end : list.indexOf(',', from);
          peers.acceptWatchAndSend(list.substring(0, from) + malformed + list.substring(to));
          awaitCount(peers, Count.DIRECTORY_UNREAD, 1);
          for (int i = 0; i < 3; i++) {
            peers.connectClient(openRequest("k" + i, 2000, ""));
            assertTrue(malformed + ": it still serves, and the other drains",
                peers.acceptAtProvider(0).readLine().startsWith("OPEN "));
          }
          assertEquals(0, peers.service.count(Count.DIRECTORY_FAILURES));
        }
      }
    }
  }

  /**
   * The directory's address changes while an object of the old directory is partly read. The rest of that object counts
   * although the change is applied first: the new directory has said nothing yet.
   */
  @Test
  public void hearsTheOldDirectoryUntilTheNewOneHasAnswered() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket other = StubPeers.listen()) {
      String[] query = new String[1];
      String update = httpChunk(peers.providerListJson(10, true, "leaving"));
      Peer old = peers.acceptWatch(query)
          .send(HEAD + httpChunk(peers.providerListJson(9, true)) + update.substring(0, 60));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1); // the partial object has been read too
      try (StubPeers.LoopPause pause = peers.pauseLoop()) {
        peers.reloadPlatformConfig(peers.platformConfig(other));
        pause.awaitQueuedTask();
        old.send(update.substring(60)); // read, and queued behind the new settings
        pause.awaitQueuedTask();
      }
      peers.acceptWatch(other, query);
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue(peers.connectClient(openRequest("a", 300, "")).readLine().startsWith("BUSY"));
    }
  }

  /**
   * The new directory answers while an object of the old directory is partly read. The rest of that object must have no
   * effect, although it arrives before the answer is handled.
   */
  @Test
  public void ignoresTheOldDirectoryOnceTheNewOneHasAnswered() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket other = StubPeers.listen()) {
      String[] query = new String[1];
      String update = httpChunk(peers.providerListJson(10, true, "leaving"));
      Peer old = peers.acceptWatch(query)
          .send(HEAD + httpChunk(peers.providerListJson(9, true)) + update.substring(0, 60));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      peers.reloadPlatformConfig(peers.platformConfig(other));
      Peer watch = peers.acceptWatch(other, query);
      assertTrue(query[0], query[0].contains("&since=0 "));
      awaitCount(peers, Count.DIRECTORY_WATCHES, 2); // a turn of the loop, so that it reads what this watch will bring
      try (StubPeers.LoopPause pause = peers.pauseLoop()) {
        watch.send(HEAD + httpChunk(peers.providerListJson(2, true)));
        pause.awaitQueuedTask();
        old.send(update.substring(60)); // read, and queued behind the new directory's answer
        pause.awaitQueuedTask();
      }
      assertEquals("FIN", old.readLine());
      peers.connectClient(openRequest("a", 2000, ""));
      assertTrue("the provider does not drain", peers.acceptAtProvider(0).readLine().contains("a"));
      assertEquals(2, peers.service.count(Count.DIRECTORY_NEWS));
      watch.send(httpChunk(peers.providerListJson(3, true, "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 3);
      assertTrue(peers.connectClient(openRequest("b", 300, "")).readLine().startsWith("BUSY"));
    }
  }

  /** Lines that a provider sends in one segment before it closes, the last one with or without its line end. */
  @Test
  public void forwardsLinesOfOneSegmentWholeAndInOrder() throws Exception {
    for (String[] exchange : new String[][] {
        {"UP 1\r\nBYE\r\n", "UP 1", "BYE", "FIN"},
        {"UP 1\r\nMOVE\r\n", "UP 1", "MOVE", "FIN"},
        {"UP 1\r\nUP 2\r\nhalf a line", "UP 1", "UP 2", "FIN"},
        {"UP 1\r\n", "UP 1", "FIN"},
        {"ERR\r\nUP 1\r\n", "BUSY", "FIN"},
        {"BUSY\r\nBYE\r\n", "BUSY", "FIN"},
        {"half an answer", "BUSY", "FIN"}}) {
      try (StubPeers peers = new StubPeers(1)) {
        Peer client = peers.connectClient(openRequest("k", 500, ""));
        Peer provider = peers.acceptAtProvider(0);
        assertTrue(provider.readLine().startsWith("OPEN "));
        provider.send(exchange[0]).socket.shutdownOutput();
        for (int i = 1; i < exchange.length; i++) {
          assertEquals(exchange[0], exchange[i], client.readLine().replaceFirst(" [0-9]{3}.*", ""));
        }
      }
    }
  }

  /** Whether this number of lines is forwarded to providers within 300 ms; a line that is not is blocked. */
  private static boolean areForwarded(StubPeers peers, long lines) {
    long deadline = System.nanoTime() + 300_000_000L;
    while (peers.service.count(Count.LINES_TO_PROVIDERS) < lines) {
      if (System.nanoTime() > deadline) {
        return false;
      }
    }
    return true;
  }

  /** Provider lists may be indented: an object may span lines, and a line is not an object. */
  @Test
  public void parsesAnIndentedListAndReconnectsAfterATruncatedOne() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      String[] query = new String[1];
      String indented = peers.providerListJson(4, true, "leaving").replace("[", "[\n    ").replace(",", ",\r\n      ")
          .replace("\"m\"", "\"an odd } \\\" kind {\"").replace("}]", "\n    }\n  ]\n");
      Peer watch = peers.acceptWatch(query).send(HEAD);
      for (int at = 0; at < indented.length(); at += 7) { // chunk boundaries anywhere
        String part = indented.substring(at, Math.min(at + 7, indented.length()));
        watch.send(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
      }
      watch.send(httpChunk("")).send(httpChunk(peers.providerListJson(5, false, "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue("the provider drains", peers.connectClient(openRequest("k", 300, "")).readLine().startsWith("BUSY"));
      watch.send(httpChunk("{\"index\":6,\"endpoints\":[{")).send(httpChunk(""));
      peers.acceptWatch(query);
      assertTrue(query[0], query[0].contains("&since=5 "));
      assertEquals(1, peers.service.count(Count.DIRECTORY_FAILURES));
    }
  }

  private static void awaitCount(StubPeers peers, Count count, long number) {
    DirectoryScenarioTest.awaitCount(peers, count, number);
  }
}
