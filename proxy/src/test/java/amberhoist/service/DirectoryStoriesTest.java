package amberhoist.service;

import static amberhoist.service.Peers.chunk;
import static amberhoist.service.Peers.opening;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.metrics.Counters.Count;
import amberhoist.net.Signals;
import amberhoist.service.Peers.Peer;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;

/** The watch on the directory, reloads of the platform configuration, and a graceful stop, over loopback sockets. */
public class DirectoryStoriesTest {
  /** Waits until the counter has reached this number. */
  static void until(Peers peers, Count count, long number) {
    long deadline = System.nanoTime() + Peers.PATIENCE * 1_000_000L;
    while (peers.service.count(count) < number) {
      assertTrue("too few: " + count, System.nanoTime() < deadline);
    }
  }

  @Test
  public void sendsNoRequestOrRetryToALeavingProvider() throws Exception {
    try (Peers peers = new Peers(2)) {
      Peer watch = peers.watchTelling(peers.list(2, true, "leaving"));
      until(peers, Count.DIRECTORY_NEWS, 1);
      for (int i = 0; i < 4; i++) {
        Peer client = peers.client(opening("k" + i, 2000, ""));
        Peer provider = peers.provider(1);
        provider.line();
        provider.send(i % 2 == 0 ? "UP 1\r\n" : "ERR\r\n");
        assertEquals("no other provider may be tried", i % 2 == 0, client.line().equals("UP 1"));
      }
      watch.send(chunk("")).send(chunk(peers.list(3, false, "active", "left")));
      until(peers, Count.DIRECTORY_NEWS, 2);
      peers.client(opening("k9", 2000, ""));
      assertTrue(peers.provider(0).line().contains("k9"));
    }
  }

  @Test
  public void renewsTheWatchAfterAnErrorResetInvalidObjectOrSilence() throws Exception {
    try (Peers peers = new Peers(1)) {
      String[] query = new String[1];
      peers.watch(query).send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertEquals("GET /v1/servers?follow=1&since=1 HTTP/1.1", query[0]);
      peers.watch(query).reset();
      String invalid = "{\"index\":8,\"snapshot\":true,\"endpoints\":[{}]}";
      peers.watchTelling(peers.list(7, true)).send(chunk(invalid));
      Peer silent = peers.watch(query);
      assertTrue("from the last valid update", query[0].contains("&since=7 "));
      silent.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(""));
      peers.watch(query);
      assertEquals("the silent watch is closed", "FIN", silent.line());
      assertEquals(4, peers.service.count(Count.DIRECTORY_FAILURES));
      peers.client(opening("k", 2000, ""));
      assertTrue("the old list stays in use", peers.provider(0).line().contains("k"));
    }
  }

  @Test
  public void reloadChangesTheDirectoryAndKeepsListAndConnections() throws Exception {
    try (Peers peers = new Peers(1); ServerSocket other = Peers.listen()) {
      String[] query = new String[1];
      Peer old = peers.watchTelling(peers.list(9, true));
      until(peers, Count.DIRECTORY_NEWS, 1);
      Peer[] established = peers.joined("a", 0);
      peers.reload("{\"discovery\":");
      peers.reload(peers.config(peers.directory)); // no change: the watch stays
      until(peers, Count.RELOADS, 1);
      peers.reload(peers.config(other));
      Peer watch = peers.watch(other, query);
      assertTrue("indexes of the old directory do not apply: " + query[0], query[0].contains("&since=0 "));
      assertEquals("FIN", old.line());
      peers.client(opening("b", 2000, ""));
      assertTrue("the list stays in use", peers.provider(0).line().contains("b"));
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watch.send(chunk(peers.list(2, true, "leaving")));
      until(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue(peers.client(opening("c", 300, "")).line().startsWith("BUSY"));
      established[0].send("M 1\r\n");
      assertEquals("M 1", established[1].line());
      assertEquals("closing the old watch is no failure", 0, peers.service.count(Count.DIRECTORY_FAILURES));
      assertEquals(1, peers.service.count(Count.RELOADS_REFUSED));
    }
  }

  @Test
  public void reloadSkipsTheBackOffOfTheOldDirectory() throws Exception {
    String pause = "[directory]\npause = \"1m\"\npause_most = \"1m\"\n"; // longer than the timeout of this test
    try (Peers peers = new Peers(1, 1024, pause); ServerSocket other = Peers.listen()) {
      peers.directory.close();
      until(peers, Count.DIRECTORY_FAILURES, 1);
      peers.reload(peers.config(other));
      peers.watch(other, new String[1]);
      peers.service.stop();
      peers.reload(peers.config(other)); // has no effect after the stop
    }
  }

  @Test(timeout = Peers.PATIENCE)
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
    try (Peers peers = new Peers(1)) {
      Peer watch = peers.watchTelling(peers.list(2, true));
      Peer client = peers.client("PING\r\n");
      assertEquals("PONG", client.line());
      until(peers, Count.DIRECTORY_NEWS, 1);
      try (Peers.Hold pause = peers.hold()) {
        client.send(opening("k", 1000, ""));
        pause.next();
        watch.send(chunk(peers.list(3, true, "leaving")));
        pause.next();
      }
      assertTrue(client.line().startsWith("BUSY"));
      assertEquals(0, peers.service.count(Count.CALLS));
    }
  }

  @Test
  public void stopMovesClientsAnswersTheOthersAndEndsInTime() throws Exception {
    try (Peers peers = new Peers(1)) {
      Peer[] established = peers.joined("a", 0);
      Peer unanswered = peers.client(opening("b", 3000, ""));
      peers.provider(0).line();
      long start = System.nanoTime();
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      Peer late = peers.client(opening("c", 3000, ""));
      Peer provider = peers.provider(0);
      provider.line();
      provider.send("UP 3\r\n");
      assertEquals("still served", "UP 3", late.line());
      assertEquals("MOVE", established[0].line());
      assertTrue("not within 1.5 s: another proxy may still be starting",
          System.nanoTime() - start > 1_500_000_000L);
      assertEquals("FIN", established[0].line());
      assertEquals("FIN", established[1].line());
      assertEquals("MOVE", late.line());
      assertTrue(peers.client(opening("d", 3000, "")).line().startsWith("BUSY "));
      assertTrue(unanswered.line().startsWith("BUSY"));
      stop.join();
      assertTrue("within 3.7 s, before it would be killed", System.nanoTime() - start < 3_700_000_000L);
    }
  }
}
