package amberhoist.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Servers that an operator suspends and resumes. */
class SuspensionTest {
  private static Server ready(String name) {
    return BalancerHarness.server(name, ServerState.READY, 0);
  }

  /** Establishes 20 connections and checks that none goes to the server. */
  private static void assertNotUsed(BalancerHarness harness, String server, long firstId) {
    for (long id = firstId; id < firstId + 20; id++) {
      assertNotEquals(server, harness.establish(id, "k" + id, null));
    }
  }

  @Test
  void suspendedServerGetsNoRequestsWhateverTheServerListSays() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a", "b", "c");
    harness.balancer.suspend(harness.now, "a");
    assertNotUsed(harness, "a", 100);
    harness.updateServer(ready("a"));
    assertNotUsed(harness, "a", 200);
    harness.replaceWithReady("a", "b", "c");
    assertNotUsed(harness, "a", 300);
    harness.replaceWithReady("b", "c");
    harness.advance(Policy.SWEEP_INTERVAL_MICROS);
    harness.replaceWithReady("a", "b", "c"); // removed from the list and listed again
    assertNotUsed(harness, "a", 400);
    harness.updateServer(BalancerHarness.server("a", ServerState.READY, harness.now)); // restarted while suspended
    assertNotUsed(harness, "a", 500);
    harness.balancer.onServerList(harness.now, ListUpdateKind.STALE, List.of(ready("a"), ready("b")));
    harness.balancer.configure(harness.now,
        BalancerHarness.settings(false,
            BalancerHarness.requestClass(Balancer.Effect.IDEMPOTENT, Balancer.DedupScope.ALL)));
    assertNotUsed(harness, "a", 600);
    assertTrue(harness.balancer.isExcluded(harness.now, "a"));
    assertFalse(harness.balancer.isExcluded(harness.now, "b"));
  }

  @Test
  void serverSuspendedBeforeItIsListedStaysSuspended() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("b", "c");
    harness.balancer.suspend(harness.now, "a");
    harness.replaceWithReady("a", "b", "c");
    assertNotUsed(harness, "a", 100);
  }

  @Test
  void connectionsOfASuspendedServerAreMovedAtAnEvenPace() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a");
    for (long id = 0; id < 200; id++) {
      assertEquals("a", harness.establish(id, "k" + id, null));
    }
    harness.replaceWithReady("a", "b");
    harness.balancer.suspend(harness.now, "a");
    harness.advance(Policy.SUSPEND_DRAIN_MICROS / 2);
    long half = harness.count("move");
    assertTrue(half > 60 && half < 140, half + " of 200 moved after half the time");
    harness.advance(Policy.SUSPEND_DRAIN_MICROS / 2 + 2 * Policy.SCAN_INTERVAL_MICROS);
    assertEquals(200, harness.count("move"));
  }

  @Test
  void setupInFlightOnASuspendedServerFinishesAndIsThenMoved() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a");
    assertEquals("a", harness.submit(1, "k", null));
    harness.replaceWithReady("a", "b");
    harness.balancer.suspend(harness.now, "a");
    harness.advance(Policy.SUSPEND_DRAIN_MICROS);
    assertEquals(0, harness.count("move"));
    harness.balancer.onEstablished(harness.now, 1, 0, 10 * BalancerHarness.MILLIS);
    harness.advance(2 * Policy.SCAN_INTERVAL_MICROS);
    assertEquals(1, harness.count("move", 1));
  }

  @Test
  void requestsAreRejectedAtOnceWhenAllServersAreSuspended() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a", "b");
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
    BalancerHarness harness = BalancerHarness.withSafeRequests(names.toArray(new String[0]));
    harness.balancer.suspend(harness.now, "s7");
    harness.balancer.suspend(harness.now, "s7"); // suspended twice, one resume is enough
    harness.balancer.resume(harness.now, "s7");
    Set<String> used = new HashSet<>();
    for (long id = 0; id < 10; id++) {
      harness.advance(Policy.SUSPEND_DRAIN_MICROS / 8);
      used.add(harness.establish(id, "k" + id, "g" + id));
    }
    assertTrue(used.contains("s7"), used.toString());
  }

  @Test
  void resumedServerIsColdAndItsEarlierFailuresAreForgotten() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a");
    for (long id = 0; id < 5; id++) { // consecutive failures
      harness.submit(id, "k" + id, null);
      harness.failAttempt(id, 0, Outcome.CONNECT_FAILED);
      harness.advance(10 * BalancerHarness.SECOND);
    }
    harness.balancer.suspend(harness.now, "a");
    harness.balancer.resume(harness.now, "a");
    assertFalse(harness.balancer.isExcluded(harness.now, "a"));
    harness.advance(Policy.SUSPEND_DRAIN_MICROS);
    int sent = 0;
    for (long id = 100; id < 160; id++) { // a warm server would take all of them
      sent += harness.establish(id, "k" + id, null) == null ? 0 : 1;
    }
    assertTrue(sent >= 1 && sent < 20, sent + " to a cold server at once");
  }

  @Test
  void resumingAServerThatIsNotSuspendedHasNoEffect() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a");
    harness.balancer.resume(harness.now, "a");
    harness.balancer.resume(harness.now, "nobody");
    for (long id = 0; id < 30; id++) {
      assertEquals("a", harness.establish(id, "k" + id, null), "it is still warm");
    }
  }
}
