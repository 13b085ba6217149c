package amberhoist.decide;

import static amberhoist.decide.BalancerHarness.MILLIS;
import static amberhoist.decide.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A balancer of a large fleet has few connections of its own and decides by the load reports of the servers. */
class LoadReportTest {
  private static final int LARGE_FLEET = 50;

  private static BalancerHarness newHarness(int balancers, boolean reports) {
    BalancerHarness harness = new BalancerHarness();
    harness.start(new Settings("z", 0, balancers,
        List.of(BalancerHarness.requestClass(Effect.IDEMPOTENT, DedupScope.ALL)),
        false, 10 * SECOND, 4, 600 * MILLIS, 0.02, 0.02, 0.3, 9 * SECOND, 2.5, 3 * SECOND, ConnectionValue.DEFAULT,
        reports));
    harness.replaceWithReady("a", "b", "c", "d", "e");
    return harness;
  }

  /** The servers that were asked for a load report, in order. */
  private static List<String> reportsRequested(BalancerHarness harness) {
    return harness.actions.stream().filter(action -> action.kind().equals("ask"))
        .map(BalancerHarness.Action::server).toList();
  }

  /**
   * Number of moves off a server that reports this utilization, with 60 connections of one group as after a start. The
   * other servers report 0.3.
   */
  private static long movesAtUtilization(double utilization) {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    for (long id = 0; id < 60; id++) {
      harness.balancer.onHandover(harness.now, BalancerHarness.request(id, "k" + id, "g", 0), "a");
      harness.balancer.onLoad(harness.now, id, 0, 20 * MILLIS);
    }
    for (String other : List.of("b", "c", "d", "e")) {
      harness.balancer.onLoadReport(harness.now, other, 0.3);
    }
    harness.balancer.onLoadReport(harness.now, "a", utilization);
    return harness.count("move");
  }

  @Test
  void requestWaitsForReportsOfItsPreferredServersAndGoesToTheLeastUtilized() {
    for (int leastUtilized = 0; leastUtilized < Policy.MIN_PREFERRED_SERVERS; leastUtilized++) {
      BalancerHarness harness = newHarness(LARGE_FLEET, true);
      assertEquals(null, harness.submit(1, "k", "g"), "queued");
      List<String> preferred = reportsRequested(harness);
      assertEquals(Policy.MIN_PREFERRED_SERVERS, preferred.size());
      for (int i = 0; i < preferred.size(); i++) {
        assertEquals(0, harness.count("send"), "still queued");
        harness.balancer.onLoadReport(harness.now, preferred.get(i), i == leastUtilized ? 0.2 : 0.4);
      }
      assertEquals(preferred.get(leastUtilized), harness.serverSentSince(0, 1));
    }
  }

  @Test
  void serverWithoutReportDelaysARequestOnlyForTheReportTimeout() {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    harness.advance(Policy.LOAD_REPORT_WAIT_MICROS + 2 * Policy.TICK_INTERVAL_MICROS);
    assertEquals(1, harness.count("send"));
    assertTrue(harness.actions.stream().noneMatch(action -> action.kind().equals("refuse")));
  }

  @Test
  void freshReportIsNotRequestedAgain() {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    reportsRequested(harness).forEach(server -> harness.balancer.onLoadReport(harness.now, server, 0.2));
    harness.balancer.onEstablished(harness.now, 1, 0, 10 * MILLIS);
    harness.advance(100 * MILLIS); // a balancer of a large fleet spaces its setups
    int before = reportsRequested(harness).size();
    assertTrue(harness.submit(2, "other", "g") != null, "sent at once");
    assertEquals(before, reportsRequested(harness).size());
    harness.advance(Policy.LOAD_REPORT_TTL_MICROS + Policy.TICK_INTERVAL_MICROS);
    harness.submit(3, "third", "g");
    assertTrue(reportsRequested(harness).size() > before);
  }

  @Test
  void smallFleetOrSettingsWithoutReportsRequestNone() {
    for (BalancerHarness harness : List.of(newHarness((int) Policy.MAX_SMALL_FLEET_BALANCERS, true),
        newHarness(LARGE_FLEET, false))) {
      assertTrue(harness.submit(1, "k", "g") != null, "sent at once");
      harness.balancer.onEstablished(harness.now, 1, 0, 10 * MILLIS);
      harness.advance(20 * SECOND);
      assertEquals(0, harness.count("ask"));
    }
  }

  @Test
  void preferredServerWithHighUtilizationIsSkipped() {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    List<String> preferred = reportsRequested(harness);
    harness.balancer.onLoadReport(harness.now, preferred.get(0), 1.2);
    harness.balancer.onLoadReport(harness.now, preferred.get(1), Policy.HIGH_UTILIZATION);
    harness.balancer.onLoadReport(harness.now, preferred.get(2), Policy.HIGH_UTILIZATION - 0.01);
    assertEquals(preferred.get(2), harness.serverSentSince(0, 1));
  }

  @Test
  void leastUtilizedServerIsTakenWhenAllPreferredOnesAreHigh() {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    harness.submit(1, "k", "g");
    List<String> preferred = reportsRequested(harness);
    harness.balancer.onLoadReport(harness.now, preferred.get(0), 1.4);
    harness.balancer.onLoadReport(harness.now, preferred.get(1), 1.1);
    harness.balancer.onLoadReport(harness.now, preferred.get(2), 1.3);
    assertEquals(preferred.get(1), harness.serverSentSince(0, 1));
  }

  @Test
  void serverWithHighUtilizationLosesItsExcessLoad() {
    assertEquals(0, movesAtUtilization(Policy.HIGH_UTILIZATION), "at the threshold nothing is moved");
    long half = movesAtUtilization(2 * Policy.OFFLOADED_UTILIZATION);
    assertTrue(half >= 28 && half <= 32, half + " of 60 moved where half is excess");
    long quarter = movesAtUtilization(Policy.OFFLOADED_UTILIZATION / 0.75);
    assertTrue(quarter >= 14 && quarter <= 16, quarter + " of 60 moved where a quarter is excess");
  }

  @Test
  void nothingIsMovedWhenThePreferredServersHaveTheSameHighUtilization() {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    harness.balancer.onHandover(harness.now, BalancerHarness.request(1, "k", "g", 0), "a");
    harness.balancer.onLoad(harness.now, 1, 0, 20 * MILLIS);
    for (String server : List.of("b", "c", "d", "e", "a")) {
      harness.balancer.onLoadReport(harness.now, server, 3);
    }
    assertEquals(0, harness.count("move"));
  }

  @Test
  void reportsAreRequestedPeriodicallyAndOnlyFromServersWithConnections() {
    BalancerHarness harness = newHarness(LARGE_FLEET, true);
    for (long id = 0; id < 20; id++) {
      harness.balancer.onHandover(harness.now, BalancerHarness.request(id, "k" + id, "g", 0), id % 2 == 0 ? "a" : "b");
      harness.balancer.onLoad(harness.now, id, 0, 20 * MILLIS);
    }
    harness.advance(60 * SECOND);
    Set<String> servers = new HashSet<>(reportsRequested(harness));
    assertEquals(Set.of("a", "b"), servers);
    long max = 2 * 60 * SECOND / (Policy.LOAD_REPORT_TTL_MICROS / 2);
    assertTrue(reportsRequested(harness).size() > 20 && reportsRequested(harness).size() <= max,
        reportsRequested(harness).size() + " reports requested in a minute");
  }
}
