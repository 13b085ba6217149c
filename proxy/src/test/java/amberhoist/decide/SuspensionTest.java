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

/** Servers taken out by hand and called back. */
class SuspensionTest {
  private static Server active(String name) {
    return Bench.server(name, State.READY, 0);
  }

  private static void nothingGoesTo(Bench bench, String server, long firstId) {
    for (long id = firstId; id < firstId + 20; id++) {
      assertNotEquals(server, bench.open(id, "k" + id, null));
    }
  }

  @Test
  void aServerTakenOutGetsNothingWhateverTheListSaysOfIt() {
    Bench bench = Bench.safe("a", "b", "c");
    bench.balancer.suspend(bench.now, "a");
    nothingGoesTo(bench, "a", 100);
    bench.change(active("a"));
    nothingGoesTo(bench, "a", 200);
    bench.full("a", "b", "c");
    nothingGoesTo(bench, "a", 300);
    bench.full("b", "c");
    bench.pass(Policy.SWEEP);
    bench.full("a", "b", "c"); // it had left and is back
    nothingGoesTo(bench, "a", 400);
    bench.change(Bench.server("a", State.READY, bench.now)); // restarted while out
    nothingGoesTo(bench, "a", 500);
    bench.balancer.members(bench.now, ListKind.STALE, List.of(active("a"), active("b")));
    bench.balancer.configure(bench.now, Bench.settings(false, Bench.type(Balancer.Effect.SAFE, Balancer.Scope.ALL)));
    nothingGoesTo(bench, "a", 600);
    assertTrue(bench.balancer.avoids(bench.now, "a"));
    assertFalse(bench.balancer.avoids(bench.now, "b"));
  }

  @Test
  void oneTakenOutBeforeItIsListedIsOutOnceItIs() {
    Bench bench = Bench.safe("b", "c");
    bench.balancer.suspend(bench.now, "a");
    bench.full("a", "b", "c");
    nothingGoesTo(bench, "a", 100);
  }

  @Test
  void whatStandsThereIsMovedAtAnEvenPace() {
    Bench bench = Bench.safe("a");
    for (long id = 0; id < 200; id++) {
      assertEquals("a", bench.open(id, "k" + id, null));
    }
    bench.full("a", "b");
    bench.balancer.suspend(bench.now, "a");
    bench.pass(Policy.CLEAR / 2);
    long half = bench.count("move");
    assertTrue(half > 60 && half < 140, half + " by half the time");
    bench.pass(Policy.CLEAR / 2 + 2 * Policy.LOOK);
    assertEquals(200, bench.count("move"));
  }

  @Test
  void aSetUpThatIsOutIsLetToFinishAndThenMoved() {
    Bench bench = Bench.safe("a");
    assertEquals("a", bench.ask(1, "k", null));
    bench.full("a", "b");
    bench.balancer.suspend(bench.now, "a");
    bench.pass(Policy.CLEAR);
    assertEquals(0, bench.count("move"));
    bench.balancer.opened(bench.now, 1, 0, 10 * Bench.MS);
    bench.pass(2 * Policy.LOOK);
    assertEquals(1, bench.count("move", 1));
  }

  @Test
  void withAllTakenOutClientsAreToldAtOnce() {
    Bench bench = Bench.safe("a", "b");
    bench.balancer.suspend(bench.now, "a");
    bench.balancer.suspend(bench.now, "b");
    assertNull(bench.ask(1, "k", null));
    assertEquals(1, bench.count("refuse", 1));
  }

  @Test
  void calledBackItIsTriedSoonThoughManyOthersAreDue() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      names.add("s" + i);
    }
    Bench bench = Bench.safe(names.toArray(new String[0]));
    bench.balancer.suspend(bench.now, "s7");
    bench.balancer.suspend(bench.now, "s7"); // twice out needs one call back
    bench.balancer.resume(bench.now, "s7");
    Set<String> used = new HashSet<>();
    for (long id = 0; id < 10; id++) {
      bench.pass(Policy.CLEAR / 8);
      used.add(bench.open(id, "k" + id, "g" + id));
    }
    assertTrue(used.contains("s7"), used.toString());
  }

  @Test
  void calledBackItIsColdAndNothingOldIsHeldAgainstIt() {
    Bench bench = Bench.safe("a");
    for (long id = 0; id < 5; id++) { // strikes
      bench.ask(id, "k" + id, null);
      bench.fail(id, 0, Outcome.CONNECT_FAILED);
      bench.pass(10 * Bench.S);
    }
    bench.balancer.suspend(bench.now, "a");
    bench.balancer.resume(bench.now, "a");
    assertFalse(bench.balancer.avoids(bench.now, "a"));
    bench.pass(Policy.CLEAR);
    int sent = 0;
    for (long id = 100; id < 160; id++) { // a warm server takes all of them
      sent += bench.open(id, "k" + id, null) == null ? 0 : 1;
    }
    assertTrue(sent >= 1 && sent < 20, sent + " to a cold server at once");
  }

  @Test
  void callingBackWhatIsNotOutChangesNothing() {
    Bench bench = Bench.safe("a");
    bench.balancer.resume(bench.now, "a");
    bench.balancer.resume(bench.now, "nobody");
    for (long id = 0; id < 30; id++) {
      assertEquals("a", bench.open(id, "k" + id, null), "it is still warm");
    }
  }
}
