package amberhoist.service;

import static amberhoist.service.StubPeers.httpChunk;
import static amberhoist.service.StubPeers.openRequest;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.metrics.Counters.Count;
import amberhoist.service.StubPeers.Peer;
import amberhoist.signal.Signals;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;

/** The watch on the directory, reloads of the platform configuration, and a graceful stop, over loopback sockets. */
public class DirectoryScenarioTest {
  /** Waits until the counter has reached this number. */
  static void awaitCount(StubPeers peers, Count count, long minCount) {
    awaitCount(peers.service, count, minCount);
  }

  /** Waits until the counter of this proxy has reached this number. */
  static void awaitCount(Service service, Count count, long minCount) {
    long deadline = System.nanoTime() + StubPeers.TIMEOUT_MILLIS * 1_000_000L;
    while (service.count(count) < minCount) {
      assertTrue("too few: " + count, System.nanoTime() < deadline);
    }
  }

  @Test
  public void sendsNoRequestOrRetryToALeavingProvider() throws Exception {
    try (StubPeers peers = new StubPeers(2)) {
      Peer watch = peers.acceptWatchAndSend(peers.providerListJson(2, true, "leaving"));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      for (int i = 0; i < 4; i++) {
        Peer client = peers.connectClient(openRequest("k" + i, 2000, ""));
        Peer provider = peers.acceptAtProvider(1);
        provider.readLine();
        provider.send(i % 2 == 0 ? "UP 1\r\n" : "ERR\r\n");
        assertEquals("no other provider may be tried", i % 2 == 0, client.readLine().equals("UP 1"));
      }
      watch.send(httpChunk("")).send(httpChunk(peers.providerListJson(3, false, "active", "left")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      peers.connectClient(openRequest("k9", 2000, ""));
      assertTrue(peers.acceptAtProvider(0).readLine().contains("k9"));
    }
  }

  /** Guards against an open connection that is failed before a slow directory has told its provider's address. */
  @Test
  public void handoverIsEstablishedOnceASlowDirectoryTellsItsProvider() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer client = peers.connectClient(openRequest("k", 99_999_999, ",at=late"));
      Peer watch = peers.acceptWatch(new String[1]);
      awaitCount(peers, Count.CALLS, 10); // tried every 250 ms, so for more than 2 s
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watch.send(httpChunk(peers.providerListJson(2, true).replace("\"p0\"", "\"late\"")));
      Peer provider = peers.acceptAtProvider(0);
      assertTrue(provider.readLine().contains("at=late"));
      provider.send("UP 5\r\n");
      assertEquals("UP 5", client.readLine());
    }
  }

  @Test
  public void renewsTheWatchAfterAnErrorResetInvalidObjectOrSilence() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      String[] query = new String[1];
      peers.acceptWatch(query).send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertEquals("GET /v1/servers?follow=1&since=1 HTTP/1.1", query[0]);
      peers.acceptWatch(query).reset();
      String invalid = "{\"index\":8,\"snapshot\":true,\"endpoints\":[{}]}";
      peers.acceptWatchAndSend(peers.providerListJson(7, true)).send(httpChunk(invalid));
      Peer silent = peers.acceptWatch(query);
      assertTrue("from the last valid update", query[0].contains("&since=7 "));
      silent.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + httpChunk(""));
      peers.acceptWatch(query);
      assertEquals("the silent watch is closed", "FIN", silent.readLine());
      assertEquals(4, peers.service.count(Count.DIRECTORY_FAILURES));
      peers.connectClient(openRequest("k", 2000, ""));
      assertTrue("the old list stays in use", peers.acceptAtProvider(0).readLine().contains("k"));
    }
  }

  /** Guards against an answer that is written slowly, given up each time, and so never heard. */
  @Test
  public void anAnswerThatIsStillBeingWrittenAtTheTimeoutIsHeard() throws Exception {
    String timing = "[directory]\nfirst_answer = \"1s\"\nsilence = \"3s\"\n";
    try (StubPeers peers = new StubPeers(1, 1024, timing)) {
      Peer slow = peers.acceptWatch(new String[1]).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      String answer = httpChunk(peers.providerListJson(2, true, "leaving"));
      slow.send(answer.substring(0, 40));
      Peer beside = peers.acceptWatch(new String[1]); // the timeout is over
      slow.send(answer.substring(40));
      assertEquals("the first one is heard", "FIN", beside.readLine());
      assertEquals(1, peers.service.count(Count.DIRECTORY_NEWS));
      assertTrue(peers.connectClient(openRequest("a", 300, "")).readLine().startsWith("BUSY"));
      slow.send(httpChunk(peers.providerListJson(3, false, "active")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      assertEquals(0, peers.service.count(Count.DIRECTORY_FAILURES));
    }
  }

  /** Guards against a line that never ends, which must not keep the proxy from the answer of another call. */
  @Test
  public void aLineThatNeverEndsIsReplacedByTheAnswerToAnotherCall() throws Exception {
    String timing = "[directory]\nfirst_answer = \"1s\"\nsilence = \"3s\"\n";
    try (StubPeers peers = new StubPeers(1, 1024, timing)) {
      Peer endless = peers.acceptWatch(new String[1]).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      endless.send("9999\r\n{\"index\":");
      peers.acceptWatchAndSend(peers.providerListJson(2, true, "leaving"));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      assertEquals("FIN", endless.readLine());
      assertTrue(peers.connectClient(openRequest("a", 300, "")).readLine().startsWith("BUSY"));
    }
  }

  @Test
  public void reloadChangesTheDirectoryAndKeepsListAndConnections() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket other = StubPeers.listen()) {
      String[] query = new String[1];
      Peer old = peers.acceptWatchAndSend(peers.providerListJson(9, true));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      Peer[] established = peers.establish("a", 0);
      peers.reloadPlatformConfig("{\"discovery\":");
      peers.reloadPlatformConfig(peers.platformConfig(peers.directory)); // no change: the watch stays
      awaitCount(peers, Count.RELOADS, 1);
      peers.reloadPlatformConfig(peers.platformConfig(other));
      Peer watch = peers.acceptWatch(other, query);
      assertTrue("indexes of the old directory do not apply: " + query[0], query[0].contains("&since=0 "));
      peers.connectClient(openRequest("b", 2000, ""));
      assertTrue("the list stays in use", peers.acceptAtProvider(0).readLine().contains("b"));
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watch.send(httpChunk(peers.providerListJson(2, true, "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      assertEquals("closed once the new directory has answered", "FIN", old.readLine());
      assertTrue(peers.connectClient(openRequest("c", 300, "")).readLine().startsWith("BUSY"));
      established[0].send("M 1\r\n");
      assertEquals("M 1", established[1].readLine());
      assertEquals("closing the old watch is no failure", 0, peers.service.count(Count.DIRECTORY_FAILURES));
      assertEquals(1, peers.service.count(Count.RELOADS_REFUSED));
    }
  }

  /** Guards against a drain that is never heard because each reload gives up the watch of the one before. */
  @Test
  public void quickReloadsKeepTheWatchThatIsAnsweredFirst() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket second = StubPeers.listen();
        ServerSocket third = StubPeers.listen(); ServerSocket fourth = StubPeers.listen()) {
      Peer first = peers.acceptWatchAndSend(peers.providerListJson(9, true));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      peers.reloadPlatformConfig(peers.platformConfig(second));
      Peer slow = peers.acceptWatch(second, new String[1]);
      first.socket.close(); // a directory that has moved closes what it still has open
      peers.reloadPlatformConfig(peers.platformConfig(third));
      Peer slower = peers.acceptWatch(third, new String[1]);
      peers.reloadPlatformConfig(peers.platformConfig(fourth));
      Peer newest = peers.acceptWatch(fourth, new String[1]);
      assertEquals("one watch between the oldest and the newest is enough", "FIN", slower.readLine());
      slow.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      slow.send(httpChunk(peers.providerListJson(2, true, "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue(peers.connectClient(openRequest("a", 300, "")).readLine().startsWith("BUSY"));
      newest.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      newest.send(httpChunk(peers.providerListJson(1, true)));
      assertEquals("an older address says nothing after a newer one", "FIN", slow.readLine());
      peers.connectClient(openRequest("b", 2000, ""));
      assertTrue(peers.acceptAtProvider(0).readLine().contains("b"));
      assertEquals("what the old addresses close is no failure", 0, peers.service.count(Count.DIRECTORY_FAILURES));
    }
  }

  /** Guards against a drain that the directory tells at its old address while the new one has not answered yet. */
  @Test
  public void oldWatchIsHeardUntilTheNewAddressAnswers() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket other = StubPeers.listen()) {
      String[] query = new String[1];
      Peer old = peers.acceptWatchAndSend(peers.providerListJson(9, true));
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      peers.reloadPlatformConfig(peers.platformConfig(other));
      peers.acceptWatch(other, query).reset(); // the new address fails first
      old.send(httpChunk(peers.providerListJson(10, false, "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue(peers.connectClient(openRequest("a", 300, "")).readLine().startsWith("BUSY"));
      Peer watch = peers.acceptWatch(other, query);
      assertTrue("indexes of the old directory do not apply: " + query[0], query[0].contains("&since=0 "));
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + httpChunk(""));
      old.send(httpChunk(peers.providerListJson(11, false, "active")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 3);
      watch.send(httpChunk(peers.providerListJson(2, true, "leaving")));
      awaitCount(peers, Count.DIRECTORY_NEWS, 4);
      assertEquals("FIN", old.readLine());
      assertTrue(peers.connectClient(openRequest("b", 300, "")).readLine().startsWith("BUSY"));
    }
  }

  @Test
  public void reloadSkipsTheBackOffOfTheOldDirectory() throws Exception {
    String pause = "[directory]\npause = \"1m\"\npause_most = \"1m\"\n"; // longer than the timeout of this test
    try (StubPeers peers = new StubPeers(1, 1024, pause); ServerSocket other = StubPeers.listen()) {
      peers.directory.close();
      awaitCount(peers, Count.DIRECTORY_FAILURES, 1);
      peers.reloadPlatformConfig(peers.platformConfig(other));
      peers.acceptWatch(other, new String[1]);
      peers.service.stop();
      peers.reloadPlatformConfig(peers.platformConfig(other)); // has no effect after the stop
    }
  }

  @Test(timeout = StubPeers.TIMEOUT_MILLIS)
  public void handlesHangupSignalsWithoutExiting() throws Exception {
    CountDownLatch unhandled = new CountDownLatch(2);
    Signals.onHangup(unhandled::countDown);
    for (long remaining = 2; remaining > 0; remaining--) {
      new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid())).start().waitFor();
      while (unhandled.getCount() >= remaining) {
        Thread.onSpinWait();
      }
    }
    assertEquals(0, unhandled.getCount());
  }

  @Test
  public void appliesADirectoryUpdateBeforeAnEarlierInvocation() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer watch = peers.acceptWatchAndSend(peers.providerListJson(2, true));
      Peer client = peers.connectClient("PING\r\n");
      assertEquals("PONG", client.readLine());
      awaitCount(peers, Count.DIRECTORY_NEWS, 1);
      try (StubPeers.LoopPause pause = peers.pauseLoop()) {
        client.send(openRequest("k", 1000, ""));
        pause.awaitQueuedTask();
        watch.send(httpChunk(peers.providerListJson(3, true, "leaving")));
        pause.awaitQueuedTask();
      }
      assertTrue(client.readLine().startsWith("BUSY"));
      assertEquals(0, peers.service.count(Count.CALLS));
    }
  }

  @Test
  public void stopMovesClientsAnswersTheOthersAndEndsInTime() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] established = peers.establish("a", 0);
      Peer unanswered = peers.connectClient(openRequest("b", 3000, ""));
      peers.acceptAtProvider(0).readLine();
      long start = System.nanoTime();
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      Peer late = peers.connectClient(openRequest("c", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      provider.send("UP 3\r\n");
      assertEquals("still served", "UP 3", late.readLine());
      assertEquals("MOVE", established[0].readLine());
      assertTrue("not within 1.5 s: another proxy may still be starting", System.nanoTime() - start > 1_500_000_000L);
      assertEquals("FIN", established[0].readLine());
      assertEquals("FIN", established[1].readLine());
      assertEquals("MOVE", late.readLine());
      assertTrue(peers.connectClient(openRequest("d", 3000, "")).readLine().startsWith("BUSY "));
      assertTrue(unanswered.readLine().startsWith("BUSY"));
      stop.join();
      assertTrue("within 3.7 s, before it would be killed", System.nanoTime() - start < 3_700_000_000L);
    }
  }
}
