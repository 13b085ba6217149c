package amberhoist.service;

import static amberhoist.service.Peers.chunk;
import static amberhoist.service.Peers.opening;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.metrics.Counters.Count;
import amberhoist.net.WatchTiming;
import amberhoist.service.Peers.Peer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.Test;

/** Stories of what crosses on the way, in an order made certain: bytes that meet an end, news a connection. */
public class CrossingStoriesTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Failure met by reading: who rested at a proxy that ended was closed without a word, and so was its request. */
  @Test
  public void aClientThatRestsAtAProxyThatEndsHasItsAnswerBeforeTheClose() throws Exception {
    try (Peers peers = new Peers(1)) {
      Peer asksAfter = peers.client("");
      Peer asksBefore = peers.client("PING\r\n");
      assertEquals("PONG", asksBefore.line());
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      assertEquals("the request crosses this", "BUSY 300", asksAfter.line());
      asksAfter.send(opening("late", 3000, ""));
      assertEquals("and no reset takes it away", "FIN", asksAfter.line());
      assertEquals("BUSY 300", asksBefore.line());
      assertEquals("FIN", asksBefore.line());
      Peer comesLast = peers.client(opening("last", 3000, "")); // the address is open to the end
      assertEquals("BUSY 300", comesLast.line());
      stop.join();
    }
  }

  /** Failure met by reading: ERR at the end of a rest promised nothing to a request that crossed it. */
  @Test
  public void aRequestThatCrossesTheEndOfARestIsToldThatItNeverRan() throws Exception {
    try (Peers peers = new Peers(1, 1024, "[line]\nfirst_line = \"100ms\"\n")) {
      Peer rests = peers.client("");
      Peer begun = peers.client("OPEN");
      assertEquals("BUSY", rests.line());
      rests.send(opening("k", 3000, ""));
      assertEquals("FIN", rests.line());
      assertEquals("ERR", begun.line());
      assertEquals(0, peers.service.count(Count.CALLS));
    }
  }

  /** Failure met by reading: who had to make room was closed without a word. */
  @Test
  public void whoHasToMakeRoomIsToldSo() throws Exception {
    try (Peers peers = new Peers(1, 24 + 18)) {
      List<Peer> idle = new ArrayList<>();
      for (int i = 0; i < 19; i++) {
        idle.add(peers.client(""));
      }
      assertEquals("BUSY 500", idle.get(0).line());
    }
  }

  /** Failure met by reading: the oldest without a whole first line had to go, though it was about to ask. */
  @Test
  public void aSlowClientStaysWhereIdleOnesHaveToGo() throws Exception {
    try (Peers peers = new Peers(1, 24 + 24, "[line]\nfirst_line = \"20s\"\n")) {
      Peer slow = peers.client("");
      List<Peer> idle = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        idle.add(peers.client(""));
      }
      assertEquals("those before it are taken in", "PONG", peers.client("PING\r\n").line());
      slow.send("PING\r\nOPEN 9b1f");
      assertEquals("PONG", slow.line());
      for (int i = 0; i < 20; i++) {
        peers.client("");
      }
      assertEquals("BUSY 500", idle.get(0).line());
      slow.send("s s c=chat,t=acme,d=5000,g=5c0f\r\n");
      assertTrue(peers.provider(0).line().startsWith("OPEN 9b1fs s "));
    }
  }

  /** Failure met by reading: a write that failed ended both sides, over a farewell that had come before. */
  @Test
  public void whatAProviderSaidBeforeAWriteToItFailsIsPassedOn() throws Exception {
    try (Peers peers = new Peers(1)) {
      Peer[] ends = peers.joined("k", 0);
      try (Peers.Hold hold = peers.hold()) {
        ends[0].send("a question\r\n");
        hold.next();
        ends[1].send("a line\r\n");
        hold.next(); // it is read; what comes now waits in the socket
        ends[1].send("BYE\r\n");
        ends[1].reset(); // the question meets this
      }
      assertEquals("a line", ends[0].line());
      assertEquals("BYE", ends[0].line());
      assertEquals("the same way", "RESET", ends[0].line());
      assertEquals(1, peers.service.count(Count.ENDED_SERVED));
      assertEquals(0, peers.service.connections());
    }
  }

  /**
   * A provider whose queue of connections is full: one that the proxy begins comes up only when the system tries again,
   * after the news that came meanwhile.
   */
  @Test
  public void newsThatComesBeforeALateConnectionKeepsTheLineBack() throws Exception {
    try (Peers peers = new Peers(1); ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> before = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        before.add(new Socket(full.getInetAddress(), full.getLocalPort()));
      }
      peers.reload(peers.config(peers.directory).replace("250000", "5000000"));
      String address = "127.0.0.1:" + peers.providers.get(0).getLocalPort();
      String there = "127.0.0.1:" + full.getLocalPort();
      Peer watch = peers.watchTelling(peers.list(2, true).replace(address, there));
      until(peers, Count.DIRECTORY_NEWS, 1);
      Peer client = peers.client(opening("k", 6000, ""));
      until(peers, Count.CALLS, 1);
      watch.send(chunk(peers.list(3, true, "leaving").replace(address, there)));
      until(peers, Count.DIRECTORY_NEWS, 2);
      for (Socket socket : before) {
        full.accept();
        socket.close();
      }
      full.setSoTimeout(Peers.PATIENCE);
      Peer late = peers.accept(full);
      String line = late.line();
      assertTrue("no request: " + line, List.of("FIN", "RESET").contains(line));
      assertTrue(client.line().startsWith("BUSY"));
    }
  }

  /** Failure met by reading: any byte counted as life, so that an answer without end kept the watch for ever. */
  @Test
  public void aWatchWhoseLineNeverEndsIsGivenUp() throws Exception {
    for (String begun : List.of("", HEAD, HEAD + chunk("") + "ffff\r\n")) {
      try (Peers peers = new Peers(1, 1024, "[directory]\nfirst_answer = \"200ms\"\nsilence = \"200ms\"\n")) {
        Peer endless = peers.watch(new String[1]).send(begun);
        AtomicInteger bytes = new AtomicInteger();
        Thread drip = new Thread(() -> {
          try {
            while (true) {
              endless.send(begun.isEmpty() ? "H" : begun.equals(HEAD) ? "0" : " ");
              bytes.incrementAndGet();
              LockSupport.parkNanos(500_000); // slow enough for a sign of life each time
            }
          } catch (IOException given) {
            // up, as it should be
          }
        });
        drip.start();
        peers.watch(new String[1]);
        drip.join();
        assertTrue("given up by its time, not for its length", bytes.get() < 8000);
      }
    }
  }

  @Test
  public void whatADirectoryHasIsKnownWithinTheTimeAfterWhichItCountsAsTold() {
    WatchTiming times = WatchTiming.DEFAULT;
    // a call never answered, and the longest pause
    long most = times.firstLineTimeoutMicros() + 2 * times.maxPauseMicros();
    assertTrue("and a second for the next answer", most + 1_000_000 <= 6_000_000);
    assertTrue(times.silenceTimeoutMicros() + 2 * times.maxPauseMicros() + 1_000_000 <= 6_000_000);
  }

  @Test
  public void changesOfAnOlderIndexUndoNothingAndTheWholeListIsAskedFor() throws Exception {
    try (Peers peers = new Peers(2)) {
      String[] query = new String[1];
      Peer watch = peers.watchTelling(peers.list(8, true, "leaving", "active"));
      watch.send(chunk(peers.list(7, false, "active", "active")));
      Peer again = peers.watch(query).send(HEAD);
      assertTrue(query[0], query[0].contains("&since=0 "));
      for (int i = 0; i < 4; i++) {
        peers.client(opening("k" + i, 2000, ""));
        peers.provider(1).line();
      }
      again.send(chunk(peers.list(5, true, "active", "leaving"))); // whole: a directory that numbers anew
      until(peers, Count.DIRECTORY_NEWS, 2);
      peers.client(opening("k9", 2000, ""));
      assertTrue(peers.provider(0).line().contains("k9"));
    }
  }

  /** Failure met by reading: a client held up by its provider was not read from after its MOVE, and so was reset. */
  @Test
  public void whoWasHeldUpByAProviderEndsInGoodOrderAllTheSame() throws Exception {
    try (Peers peers = new Peers(1, 1024, "[sockets]\nlinger = \"1m\"\n")) { // longer than this story has patience
      peers.providers.get(0).setReceiveBufferSize(4096);
      Peer client = peers.joined("k", 0)[0];
      for (int sent = 1; passesOn(peers, sent - 1); sent++) {
        client.send("y".repeat(4000) + "\r\n"); // the provider reads none of it
      }
      assertEquals("MOVE", client.line());
      assertEquals("FIN", client.line());
      client.socket.shutdownOutput();
      long end = System.nanoTime() + Peers.PATIENCE * 1_000_000L;
      while (peers.service.connections() > 1) { // the provider's stays: it takes nothing in
        assertTrue("its end is not seen", System.nanoTime() < end);
      }
    }
  }

  /** Failure met by reading: one entry that could not be read took the news of all others with it, for good. */
  @Test
  public void anEntryThatCannotBeReadCostsNobodyElseItsNews() throws Exception {
    for (String odd : List.of("\"status\":\"resting\"", "\"status\":7", "\"address\":\"here\"",
        "\"address\":{\"a\":[1]}", "\"weight\":\"much\"", "\"group\":\"g\"", "\"since_ms\":[]")) {
      for (boolean whole : new boolean[] {true, false}) {
        try (Peers peers = new Peers(2)) {
          String list = peers.list(4, whole, "active", "leaving");
          int end = list.indexOf("},{");
          String key = odd.substring(0, odd.indexOf(':') + 1);
          int from = list.indexOf(key);
          int to = key.equals("\"since_ms\":") ? end : list.indexOf(',', from);
          peers.watchTelling(list.substring(0, from) + odd + list.substring(to));
          until(peers, Count.DIRECTORY_UNREAD, 1);
          for (int i = 0; i < 3; i++) {
            peers.client(opening("k" + i, 2000, ""));
            assertTrue(odd + ": it serves still, and the other drains", peers.provider(0).line().startsWith("OPEN "));
          }
          assertEquals(0, peers.service.count(Count.DIRECTORY_FAILURES));
        }
      }
    }
  }

  /** The address moves while an object of the old directory is half read: nothing of it counts, in either order. */
  @Test
  public void whatTheOldDirectoryStillSaysChangesNothingOnceTheAddressHasMoved() throws Exception {
    try (Peers peers = new Peers(1); ServerSocket other = Peers.listen()) {
      String[] query = new String[1];
      String news = chunk(peers.list(10, true, "leaving"));
      Peer old = peers.watch(query).send(HEAD + chunk(peers.list(9, true)) + news.substring(0, 60));
      until(peers, Count.DIRECTORY_NEWS, 1); // and with it the half has come
      try (Peers.Hold hold = peers.hold()) {
        peers.reload(peers.config(other));
        hold.next();
        old.send(news.substring(60)); // read, and waits behind the new settings
        hold.next();
      }
      Peer watch = peers.watch(other, query).send(HEAD);
      assertTrue(query[0], query[0].contains("&since=0 "));
      assertEquals("FIN", old.line());
      peers.client(opening("a", 2000, ""));
      assertTrue("it does not drain", peers.provider(0).line().contains("a"));
      watch.send(chunk(peers.list(2, true, "leaving")));
      until(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue(peers.client(opening("b", 300, "")).line().startsWith("BUSY"));
    }
  }

  /** What a provider says in one segment, and ends with or without a line's end. */
  @Test
  public void linesThatComeTogetherArePassedOnWholeAndInOrder() throws Exception {
    for (String[] crossing : new String[][] {
        {"UP 1\r\nBYE\r\n", "UP 1", "BYE", "FIN"},
        {"UP 1\r\nMOVE\r\n", "UP 1", "MOVE", "FIN"},
        {"UP 1\r\nUP 2\r\nhalf a line", "UP 1", "UP 2", "FIN"},
        {"UP 1\r\n", "UP 1", "FIN"},
        {"ERR\r\nUP 1\r\n", "BUSY", "FIN"},
        {"BUSY\r\nBYE\r\n", "BUSY", "FIN"},
        {"half an answer", "BUSY", "FIN"}}) {
      try (Peers peers = new Peers(1)) {
        Peer client = peers.client(opening("k", 500, ""));
        Peer provider = peers.provider(0);
        assertTrue(provider.line().startsWith("OPEN "));
        provider.send(crossing[0]).socket.shutdownOutput();
        for (int i = 1; i < crossing.length; i++) {
          assertEquals(crossing[0], crossing[i], client.line().replaceFirst(" [0-9]{3}.*", ""));
        }
      }
    }
  }

  /** Whether so many lines have been passed to providers; a line that has not been for a while is held up. */
  private static boolean passesOn(Peers peers, long lines) {
    long end = System.nanoTime() + 300_000_000L;
    while (peers.service.count(Count.LINES_TO_PROVIDERS) < lines) {
      if (System.nanoTime() > end) {
        return false;
      }
    }
    return true;
  }

  /** Failure met by reading: lists may come indented, and each line of one was taken for an object. */
  @Test
  public void aListMayComeIndentedAndOneThatBreaksOffIsAskedForAnew() throws Exception {
    try (Peers peers = new Peers(1)) {
      String[] query = new String[1];
      String indented = peers.list(4, true, "leaving").replace("[", "[\n    ").replace(",", ",\r\n      ")
          .replace("\"m\"", "\"an odd } \\\" kind {\"").replace("}]", "\n    }\n  ]\n");
      Peer watch = peers.watch(query).send(HEAD);
      for (int at = 0; at < indented.length(); at += 7) { // in chunks that end anywhere
        String part = indented.substring(at, Math.min(at + 7, indented.length()));
        watch.send(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
      }
      watch.send(chunk("")).send(chunk(peers.list(5, false, "leaving")));
      until(peers, Count.DIRECTORY_NEWS, 2);
      assertTrue("it drains", peers.client(opening("k", 300, "")).line().startsWith("BUSY"));
      watch.send(chunk("{\"index\":6,\"endpoints\":[{")).send(chunk(""));
      peers.watch(query);
      assertTrue(query[0], query[0].contains("&since=5 "));
      assertEquals(1, peers.service.count(Count.DIRECTORY_FAILURES));
    }
  }

  private static void until(Peers peers, Count count, long number) {
    DirectoryStoriesTest.until(peers, count, number);
  }
}
