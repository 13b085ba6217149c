package amberhoist.service;

import static amberhoist.service.StubPeers.openRequest;
import static org.junit.Assert.assertEquals;

import amberhoist.metrics.Counters.Count;
import amberhoist.service.StubPeers.Peer;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;

/** What each side of an established connection is owed when one of them ends it, over loopback sockets. */
public class ConnectionEndScenarioTest {
  private static final int MORE_LINES_THAN_SOCKETS_HOLD = 3000; // of the next length, a few hundred fill a socket
  private static final String LONG_LINE = "y".repeat(4000);

  private static void assertReads(Peer peer, String... lines) throws Exception {
    for (String line : lines) {
      assertEquals(line, peer.readLine());
    }
  }

  @Test
  public void clientThatEndedItsSendingSideGetsTheProvidersLastLines() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] ends = peers.establish("k", 0);
      ends[0].send("question\r\nhalf a line").socket.shutdownOutput();
      assertReads(ends[1], "question", "FIN");
      ends[1].send("answer\r\n").send("BYE\r\n").socket.shutdownOutput();
      assertReads(ends[0], "answer", "BYE", "FIN");
      assertEquals(1, peers.service.count(Count.CLIENT_LEFT));
    }
  }

  @Test
  public void clientFinThatCrossesTheProvidersLastLinesLosesNone() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (StubPeers peers = new StubPeers(1)) {
        Peer[] ends = peers.establish("k", 0);
        try (StubPeers.LoopPause pause = peers.pauseLoop()) {
          ends[0].socket.shutdownOutput();
          pause.awaitQueuedTask();
          ends[1].send("last\r\n");
          pause.awaitQueuedTask();
          if (reset) {
            ends[1].reset();
          } else {
            ends[1].send("BYE\r\n").socket.close();
          }
        }
        assertReads(ends[0], reset ? new String[] {"last", "RESET"} : new String[] {"last", "BYE", "FIN"});
      }
    }
  }

  @Test
  public void clientFinIsNotHeldAgainstAProviderThatNeverEnds() throws Exception {
    try (StubPeers peers = new StubPeers(1, 1024, "[sockets]\nlinger = \"100ms\"\n")) {
      Peer[] ends = peers.establish("k", 0);
      ends[0].socket.shutdownOutput();
      assertReads(ends[1], "FIN");
      assertReads(ends[0], "FIN");
      assertEquals(0, peers.service.count(Count.ENDED_RESET));
      DirectoryScenarioTest.awaitCount(peers, Count.RELAY_CLIENT_FIN, 1);
      assertEquals(0, peers.service.connections());
    }
  }

  @Test
  public void clientThatClosedWhollyEndsItsProviderByFin() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] ends = peers.establish("k", 0);
      ends[0].send("last\r\n").socket.close();
      assertReads(ends[1], "last", "FIN");
      ends[1].send("nobody\r\n").send("reads\r\n").send("this\r\n").socket.close();
      DirectoryScenarioTest.awaitCount(peers, Count.RELAY_CLIENT_FIN, 1);
      assertEquals(0, peers.service.connections());
    }
  }

  @Test
  public void linesWrittenBeforeAResetReachTheOtherSideBeforeIt() throws Exception {
    for (int lines : new int[] {1, 2, 3, 40, 400}) {
      for (int from = 0; from < 2; from++) {
        try (StubPeers peers = new StubPeers(1)) {
          Peer[] ends = peers.establish("k", 0);
          try (StubPeers.LoopPause pause = peers.pauseLoop()) {
            ends[from].send("x\r\n".repeat(lines)).reset();
            pause.awaitQueuedTask();
          }
          for (int i = 0; i < lines; i++) {
            assertEquals("line " + i + " of " + lines, "x", ends[1 - from].readLine());
          }
          assertEquals("RESET", ends[1 - from].readLine());
        }
      }
    }
  }

  @Test
  public void linesThatCrossACloseDoNotTurnItsFinIntoAReset() throws Exception {
    for (int from = 0; from < 2; from++) {
      try (StubPeers peers = new StubPeers(1)) {
        Peer[] ends = peers.establish("k", 0);
        try (StubPeers.LoopPause pause = peers.pauseLoop()) {
          ends[1 - from].send("crossing\r\nlines\r\n".repeat(20));
          pause.awaitQueuedTask();
          ends[from].send("a line\r\n");
          pause.awaitQueuedTask();
          ends[from].send("last\r\n").socket.close();
        }
        assertReads(ends[1 - from], "a line", "last", "FIN");
      }
    }
  }

  @Test
  public void moveComesAfterTheLinesThatTheProviderHasWritten() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] ends = peers.establish("k", 0);
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      int sent = 0;
      while (peers.service.count(Count.MOVED) == 0) {
        ends[1].send("x\r\n");
        sent++;
      }
      ends[1].send("under way\r\nBYE\r\n").socket.shutdownOutput();
      for (int i = 0; i < sent; i++) {
        assertEquals("line " + i + " of " + sent, "x", ends[0].readLine());
      }
      assertReads(ends[0], "under way", "MOVE", "FIN");
      stop.join();
    }
  }

  @Test
  public void moveDoesNotWaitForAProviderThatNeverEnds() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer[] ends = peers.establish("k", 0);
      Thread stop = new Thread(peers.service::stop);
      stop.start();
      assertReads(ends[1], "FIN");
      ends[0].send("too late\r\n");
      assertReads(ends[0], "MOVE", "FIN");
      stop.join();
      assertReads(ends[1], "FIN");
    }
  }

  /** Sends lines to a peer that reads nothing until the proxy has stopped reading them; returns their number. */
  private static int fillUp(StubPeers peers, Peer from, Count relayed) throws Exception {
    int sent = 0;
    long deadline = 0;
    do {
      from.send(LONG_LINE + "\r\n");
      sent++;
      deadline = System.nanoTime() + 300_000_000L;
      while (peers.service.count(relayed) < sent && System.nanoTime() < deadline) {
        Thread.onSpinWait();
      }
    } while (peers.service.count(relayed) >= sent);
    return sent;
  }

  @Test
  public void resetWaitsForASlowReaderToTakeTheLinesBeforeIt() throws Exception {
    for (int from = 0; from < 2; from++) {
      try (StubPeers peers = new StubPeers(1)) {
        Peer[] ends = peers.establish("k", 0);
        int lines = fillUp(peers, ends[from], from == 0 ? Count.LINES_TO_PROVIDERS : Count.LINES_TO_CLIENTS);
        ends[from].reset();
        for (int i = 0; i < lines; i++) {
          assertEquals("line " + i + " of " + lines, LONG_LINE, ends[1 - from].readLine());
        }
        assertEquals("RESET", ends[1 - from].readLine());
      }
    }
  }

  /** Waits for three times the linger time of these tests on the proxy's own clock. */
  private static void awaitLingerTimes(StubPeers peers) throws Exception {
    CountDownLatch passed = new CountDownLatch(1);
    peers.service.loop().post(() -> peers.service.loop().timerWheel()
        .arm(peers.service.loop().now() + 300_000, now -> passed.countDown()));
    passed.await();
  }

  @Test
  public void slowReaderGetsAllLinesWhateverEndsTheOtherSide() throws Exception {
    for (String end : new String[] {"FIN, lines in the queue", "FIN", "close", "crossing line", "client FIN"}) {
      boolean isQueued = end.startsWith("FIN,");
      try (StubPeers peers = new StubPeers(1, 1024, "[sockets]\nlinger = \"100ms\"\nqueue = \""
          + (isQueued ? "16MiB" : "16KiB") + "\"\n")) {
        Peer[] ends = peers.establish("k", 0);
        int lines = isQueued ? MORE_LINES_THAN_SOCKETS_HOLD : fillUp(peers, ends[1], Count.LINES_TO_CLIENTS);
        switch (end) {
          case "FIN, lines in the queue" -> {
            for (int i = 0; i < lines; i++) {
              ends[1].send(LONG_LINE + "\r\n");
            }
            ends[1].socket.shutdownOutput();
            assertReads(ends[1], "FIN");
          }
          case "FIN" -> ends[1].socket.shutdownOutput();
          case "close" -> ends[1].socket.close();
          case "crossing line" -> {
            ends[1].socket.close();
            ends[0].send("crossing\r\n".repeat(10));
            DirectoryScenarioTest.awaitCount(peers, Count.LINES_TO_PROVIDERS, 10);
          }
          default -> {
            ends[0].socket.shutdownOutput();
            assertReads(ends[1], "FIN");
            ends[1].socket.shutdownOutput();
          }
        }
        awaitLingerTimes(peers);
        for (int i = 0; i < lines; i++) {
          assertEquals(end + ", line " + i + " of " + lines, LONG_LINE, ends[0].readLine());
        }
        assertReads(ends[0], "FIN");
      }
    }
  }

  @Test
  public void crowdOfIdleClientsEvictsNobodyWhoseLinesAreStillQueued() throws Exception {
    try (StubPeers peers = new StubPeers(1, 24 + 24, "[sockets]\nqueue = \"16MiB\"\n")) {
      Peer[] ends = peers.establish("k", 0);
      for (int i = 0; i < MORE_LINES_THAN_SOCKETS_HOLD; i++) {
        ends[1].send(LONG_LINE + "\r\n");
      }
      ends[1].socket.shutdownOutput();
      assertReads(ends[1], "FIN");
      Peer firstIdle = peers.connectClient("");
      for (int i = 0; i < 40; i++) {
        peers.connectClient("");
      }
      assertReads(firstIdle, "BUSY 500");
      for (int i = 0; i < MORE_LINES_THAN_SOCKETS_HOLD; i++) {
        assertEquals("line " + i, LONG_LINE, ends[0].readLine());
      }
      assertReads(ends[0], "FIN");
    }
  }

  @Test
  public void slowReaderIsNotTakenForASilentProvider() throws Exception {
    String shortSilence = "[silence]\nalone = \"100ms\"\ntogether = \"50ms\"\n";
    try (StubPeers peers = new StubPeers(1, 1024, shortSilence + "[sockets]\nlinger = \"100ms\"\n")) {
      Peer[] slow = peers.establish("a", 0);
      Peer[] other = peers.establish("b", 0);
      int lines = fillUp(peers, slow[1], Count.LINES_TO_CLIENTS);
      slow[0].send("question\r\n");
      assertReads(slow[1], "question");
      awaitLingerTimes(peers);
      for (int i = 0; i < lines; i++) {
        assertEquals("line " + i + " of " + lines, LONG_LINE, slow[0].readLine());
      }
      slow[1].send("answer\r\n");
      assertReads(slow[0], "answer");
      other[0].send("question\r\n");
      assertReads(other[0], "MOVE", "FIN"); // this provider does not answer it
      assertEquals(1, peers.service.count(Count.SILENT));
    }
  }

  @Test
  public void clientWhoseProviderEndsWithinItsAnswerGetsAFinalAnswer() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (StubPeers peers = new StubPeers(1)) {
        Peer client = peers.connectClient(openRequest("k", 700, ""));
        Peer provider = peers.acceptAtProvider(0);
        provider.readLine();
        provider.send("UP half an answer");
        if (reset) {
          provider.reset();
        } else {
          provider.socket.close();
        }
        assertEquals("BUSY", client.readLine().replaceFirst(" .*", ""));
        assertReads(client, "FIN");
      }
    }
  }

  @Test
  public void clientThatEndsItsSendingSideBeforeUpGetsOneFinalAnswer() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Peer client = peers.connectClient(openRequest("k", 3000, ""));
      Peer provider = peers.acceptAtProvider(0);
      provider.readLine();
      try (StubPeers.LoopPause pause = peers.pauseLoop()) {
        client.socket.shutdownOutput();
        pause.awaitQueuedTask();
        provider.send("UP 1\r\n");
        pause.awaitQueuedTask();
      }
      assertReads(client, "ERR", "FIN");
      assertEquals(0, peers.service.count(Count.ANSWERED_UP));
    }
  }
}
