package amberhoist.decide;

import static amberhoist.decide.Bench.MS;
import static amberhoist.decide.Bench.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Scope;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Balancer.Value;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A balancer of a large fleet has few connections of its own and decides by the load reports of the servers. */
class ReportsTest {
  private static final int LARGE_FLEET = 50;

  private static Bench newHarness(int balancers, boolean reports) {
    Bench harness = new Bench();
    harness.start(new Settings("z", 0, balancers, List.of(Bench.type(Effect.SAFE, Scope.ALL)),
        false, 10 * S, 4, 600 * MS, 0.02, 0.02, 0.3, 9 * S, 2.5, 3 * S, Value.NONE, reports));
    harness.full("a", "b", "c", "d", "e");
    return harness;
  }

  /** The servers that were asked for a load report, in order. */
  private static List<String> reportsRequested(Bench harness) {
    return harness.acts.stream().filter(action -> action.what().equals("ask"))
        .map(Bench.Act::server).toList();
  }

  /**
   * Number of moves off a server that reports this utilization, with 60 connections of one group as after a start. The
   * other servers report 0.3.
   */
  private static long movesAtUtilization(double utilization) {
    Bench harness = newHarness(LARGE_FLEET, true);
    for (long id = 0; id < 60; id++) {
      harness.balancer.handover(harness.now, Bench.request(id, "k" + id, "g", 0), "a");
      harness.balancer.load(harness.now, id, 0, 20 * MS);
    }
    for (String other : List.of("b", "c", "d", "e")) {
      harness.balancer.report(harness.now, other, 0.3);
    }
    harness.balancer.report(harness.now, "a", utilization);
    return harness.count("move");
  }

  @Test
  void requestWaitsForReportsOfItsPreferredServersAndGoesToTheLeastUtilized() {
    for (int leastUtilized = 0; leastUtilized < Policy.LEAST_HOMES; leastUtilized++) {
      Bench harness = newHarness(LARGE_FLEET, true);
      assertEquals(null, harness.submit(1, "k", "g"), "queued");
      List<String> preferred = reportsRequested(harness);
      assertEquals(Policy.LEAST_HOMES, preferred.size());
      for (int i = 0; i < preferred.size(); i++) {
        assertEquals(0, harness.count("send"), "still queued");
        harness.balancer.report(harness.now, preferred.get(i), i == leastUtilized ? 0.2 : 0.4);
      }
      assertEquals(preferred.get(leastUtilized), harness.sentSince(0, 1));
    }
  }

  @Test
  void serverWithoutReportDelaysARequestOnlyForTheReportTimeout() {
    Bench harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    harness.pass(Policy.ASK_WAIT + 2 * Policy.TICK);
    assertEquals(1, harness.count("send"));
    assertTrue(harness.acts.stream().noneMatch(action -> action.what().equals("refuse")));
  }

  @Test
  void freshReportIsNotRequestedAgain() {
    Bench harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    reportsRequested(harness).forEach(server -> harness.balancer.report(harness.now, server, 0.2));
    harness.balancer.opened(harness.now, 1, 0, 10 * MS);
    harness.pass(100 * MS); // a balancer of a large fleet spaces its setups
    int before = reportsRequested(harness).size();
    assertTrue(harness.submit(2, "other", "g") != null, "sent at once");
    assertEquals(before, reportsRequested(harness).size());
    harness.pass(Policy.FRESH + Policy.TICK);
    harness.submit(3, "third", "g");
    assertTrue(reportsRequested(harness).size() > before);
  }

  @Test
  void smallFleetOrSettingsWithoutReportsRequestNone() {
    for (Bench harness : List.of(newHarness((int) Policy.FEW, true), newHarness(LARGE_FLEET, false))) {
      assertTrue(harness.submit(1, "k", "g") != null, "sent at once");
      harness.balancer.opened(harness.now, 1, 0, 10 * MS);
      harness.pass(20 * S);
      assertEquals(0, harness.count("ask"));
    }
  }

  @Test
  void preferredServerWithHighUtilizationIsSkipped() {
    Bench harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    List<String> preferred = reportsRequested(harness);
    harness.balancer.report(harness.now, preferred.get(0), 1.2);
    harness.balancer.report(harness.now, preferred.get(1), Policy.HOT);
    harness.balancer.report(harness.now, preferred.get(2), Policy.HOT - 0.01);
    assertEquals(preferred.get(2), harness.sentSince(0, 1));
  }

  @Test
  void leastUtilizedServerIsTakenWhenAllPreferredOnesAreHigh() {
    Bench harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    List<String> preferred = reportsRequested(harness);
    harness.balancer.report(harness.now, preferred.get(0), 1.4);
    harness.balancer.report(harness.now, preferred.get(1), 1.1);
    harness.balancer.report(harness.now, preferred.get(2), 1.3);
    assertEquals(preferred.get(1), harness.sentSince(0, 1));
  }

  @Test
  void serverWithHighUtilizationLosesItsExcessLoad() {
    assertEquals(0, movesAtUtilization(Policy.HOT), "at the threshold nothing is moved");
    long half = movesAtUtilization(2 * Policy.COOL);
    assertTrue(half >= 28 && half <= 32, half + " of 60 moved where half is excess");
    long quarter = movesAtUtilization(Policy.COOL / 0.75);
    assertTrue(quarter >= 14 && quarter <= 16, quarter + " of 60 moved where a quarter is excess");
  }

  @Test
  void nothingIsMovedWhenThePreferredServersHaveTheSameHighUtilization() {
    Bench harness = newHarness(LARGE_FLEET, true);
    harness.balancer.handover(harness.now, Bench.request(1, "k", "g", 0), "a");
    harness.balancer.load(harness.now, 1, 0, 20 * MS);
    for (String server : List.of("b", "c", "d", "e", "a")) {
      harness.balancer.report(harness.now, server, 3);
    }
    assertEquals(0, harness.count("move"));
  }

  @Test
  void reportsAreRequestedPeriodicallyAndOnlyFromServersWithConnections() {
    Bench harness = newHarness(LARGE_FLEET, true);
    for (long id = 0; id < 20; id++) {
      harness.balancer.handover(harness.now, Bench.request(id, "k" + id, "g", 0), id % 2 == 0 ? "a" : "b");
      harness.balancer.load(harness.now, id, 0, 20 * MS);
    }
    harness.pass(60 * S);
    Set<String> servers = new HashSet<>(reportsRequested(harness));
    assertEquals(Set.of("a", "b"), servers);
    long max = 2 * 60 * S / (Policy.FRESH / 2);
    assertTrue(reportsRequested(harness).size() > 20 && reportsRequested(harness).size() <= max,
        reportsRequested(harness).size() + " reports requested in a minute");
  }
}
