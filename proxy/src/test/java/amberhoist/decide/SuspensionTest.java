package amberhoist.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.ListKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Servers that an operator suspends and resumes. */
class SuspensionTest {
  private static Server ready(String name) {
    return Bench.server(name, State.READY, 0);
  }

  /** Establishes 20 connections and checks that none goes to the server. */
  private static void assertNotUsed(Bench harness, String server, long firstId) {
    for (long id = firstId; id < firstId + 20; id++) {
      assertNotEquals(server, harness.open(id, "k" + id, null));
    }
  }

  @Test
  void suspendedServerGetsNoRequestsWhateverTheServerListSays() {
    Bench harness = Bench.safe("a", "b", "c");
    harness.balancer.suspend(harness.now, "a");
    assertNotUsed(harness, "a", 100);
    harness.change(ready("a"));
    assertNotUsed(harness, "a", 200);
    harness.full("a", "b", "c");
    assertNotUsed(harness, "a", 300);
    harness.full("b", "c");
    harness.pass(Policy.SWEEP);
    harness.full("a", "b", "c"); // removed from the list and listed again
    assertNotUsed(harness, "a", 400);
    harness.change(Bench.server("a", State.READY, harness.now)); // restarted while suspended
    assertNotUsed(harness, "a", 500);
    harness.balancer.members(harness.now, ListKind.STALE, List.of(ready("a"), ready("b")));
    harness.balancer.configure(harness.now,
        Bench.settings(false, Bench.type(Balancer.Effect.SAFE, Balancer.Scope.ALL)));
    assertNotUsed(harness, "a", 600);
    assertTrue(harness.balancer.avoids(harness.now, "a"));
    assertFalse(harness.balancer.avoids(harness.now, "b"));
  }

  @Test
  void serverSuspendedBeforeItIsListedStaysSuspended() {
    Bench harness = Bench.safe("b", "c");
    harness.balancer.suspend(harness.now, "a");
    harness.full("a", "b", "c");
    assertNotUsed(harness, "a", 100);
  }

  @Test
  void connectionsOfASuspendedServerAreMovedAtAnEvenPace() {
    Bench harness = Bench.safe("a");
    for (long id = 0; id < 200; id++) {
      assertEquals("a", harness.open(id, "k" + id, null));
    }
    harness.full("a", "b");
    harness.balancer.suspend(harness.now, "a");
    harness.pass(Policy.CLEAR / 2);
    long half = harness.count("move");
    assertTrue(half > 60 && half < 140, half + " of 200 moved after half the time");
    harness.pass(Policy.CLEAR / 2 + 2 * Policy.LOOK);
    assertEquals(200, harness.count("move"));
  }

  @Test
  void setupInFlightOnASuspendedServerFinishesAndIsThenMoved() {
    Bench harness = Bench.safe("a");
    assertEquals("a", harness.submit(1, "k", null));
    harness.full("a", "b");
    harness.balancer.suspend(harness.now, "a");
    harness.pass(Policy.CLEAR);
    assertEquals(0, harness.count("move"));
    harness.balancer.opened(harness.now, 1, 0, 10 * Bench.MS);
    harness.pass(2 * Policy.LOOK);
    assertEquals(1, harness.count("move", 1));
  }

  @Test
  void requestsAreRejectedAtOnceWhenAllServersAreSuspended() {
    Bench harness = Bench.safe("a", "b");
    harness.balancer.suspend(harness.now, "a");
    harness.balancer.suspend(harness.now, "b");
    assertNull(harness.submit(1, "k", null));
    assertEquals(1, harness.count("refuse", 1));
  }

  @Test
  void resumedServerIsProbedSoonEvenAmongManyServers() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      names.add("s" + i);
    }
    Bench harness = Bench.safe(names.toArray(new String[0]));
    harness.balancer.suspend(harness.now, "s7");
    harness.balancer.suspend(harness.now, "s7"); // suspended twice, one resume is enough
    harness.balancer.resume(harness.now, "s7");
    Set<String> used = new HashSet<>();
    for (long id = 0; id < 10; id++) {
      harness.pass(Policy.CLEAR / 8);
      used.add(harness.open(id, "k" + id, "g" + id));
    }
    assertTrue(used.contains("s7"), used.toString());
  }

  @Test
  void resumedServerIsColdAndItsEarlierFailuresAreForgotten() {
    Bench harness = Bench.safe("a");
    for (long id = 0; id < 5; id++) { // consecutive failures
      harness.submit(id, "k" + id, null);
      harness.failAttempt(id, 0, Outcome.CONNECT_FAILED);
      harness.pass(10 * Bench.S);
    }
    harness.balancer.suspend(harness.now, "a");
    harness.balancer.resume(harness.now, "a");
    assertFalse(harness.balancer.avoids(harness.now, "a"));
    harness.pass(Policy.CLEAR);
    int sent = 0;
    for (long id = 100; id < 160; id++) { // a warm server would take all of them
      sent += harness.open(id, "k" + id, null) == null ? 0 : 1;
    }
    assertTrue(sent >= 1 && sent < 20, sent + " to a cold server at once");
  }

  @Test
  void resumingAServerThatIsNotSuspendedHasNoEffect() {
    Bench harness = Bench.safe("a");
    harness.balancer.resume(harness.now, "a");
    harness.balancer.resume(harness.now, "nobody");
    for (long id = 0; id < 30; id++) {
      assertEquals("a", harness.open(id, "k" + id, null), "it is still warm");
    }
  }
}
