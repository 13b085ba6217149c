package amberhoist.decide;

import static amberhoist.decide.BalancerHarness.MILLIS;
import static amberhoist.decide.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.decide.Balancer.Settings;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Up to a hundred balancers together, each with a handful of connections, with cold servers or a slow store. */
class LargeFleetTest {
  private static final int LARGE_FLEET = 100;
  private static final double COLD_MULTIPLE = 5;
  private static final long COLD_WINDOW_MICROS = 2500 * MILLIS;
  private static final long WARM_UP_MICROS = 28 * SECOND;

  private static Settings settings(boolean reports, int balancers) {
    RequestClass requestClass = new RequestClass("c", Effect.IDEMPOTENT, DedupScope.ALL, 300 * MILLIS, 5 * SECOND, 1,
        100 * MILLIS);
    return new Settings("z", 0, balancers, List.of(requestClass), false, 10 * SECOND, 4, 600 * MILLIS, 0, 0, 0.1,
        WARM_UP_MICROS, COLD_MULTIPLE, COLD_WINDOW_MICROS, ConnectionValue.DEFAULT, reports);
  }

  private static List<Server> servers(String prefix, int count, ServerState state, long since) {
    return IntStream.range(0, count).mapToObj(i -> BalancerHarness.server(prefix + i, state, since)).toList();
  }

  /**
   * Number of setups that succeed within a time when they arrive three times as fast as the shared store answers them.
   * Clients retry until they are established.
   */
  private static int establishedWithin(long micros, int balancers, int answersPerSecond) {
    FleetHarness fleet = new FleetHarness(balancers, settings(false, balancers), SECOND / answersPerSecond, SECOND, 60);
    fleet.updateServers(servers("warm", 18, ServerState.READY, 0));
    int clients = 14 * answersPerSecond;
    for (int i = 0; i < clients; i++) {
      String client = "client" + i;
      fleet.schedule(fleet.now + i * SECOND / (3 * answersPerSecond), () -> fleet.submit(client));
    }
    fleet.advance(micros);
    return fleet.establishedCount;
  }

  /** Prevents many balancers that each back off only a little from keeping the shared store overloaded for good. */
  @Test
  void overloadedSharedStoreRecoversAndSetupsSucceed() {
    int fast = establishedWithin(25 * SECOND, LARGE_FLEET, 28);
    assertTrue(fast > 250, fast + " of 392 setups succeeded after 25 s with a hundred balancers");
    int slow = establishedWithin(30 * SECOND, LARGE_FLEET, 14);
    assertTrue(slow > 40, slow + " of 196 setups succeeded after 30 s, with a slower store");
    int fewer = establishedWithin(30 * SECOND, 30, 14);
    assertTrue(fewer > 172, fewer + " of 196 setups succeeded after 30 s, with a slower store and 30 balancers");
  }

  /** Without load reports no balancer sees the total load: connections must not gather on a few servers. */
  @Test
  void connectionsWithoutLoadReportsSpreadOverThePreferredServers() {
    FleetHarness fleet = new FleetHarness(LARGE_FLEET, settings(false, LARGE_FLEET), MILLIS, 500 * MILLIS, 40);
    fleet.updateServers(servers("warm", 18, ServerState.READY, 0));
    for (int i = 0; i < 360; i++) {
      String client = "client" + i;
      fleet.schedule(fleet.now + i * 50 * MILLIS, () -> fleet.submit(client));
    }
    fleet.advance(30 * SECOND);
    int max = IntStream.range(0, 18).map(i -> fleet.connectionCount("warm" + i)).max().orElseThrow();
    assertTrue(max < 43, max + " of 360 connections are on one of 18 servers");
  }

  /**
   * Half of 36 servers are cold, the others nearly full: new connections use the capacity that the cold servers have
   * already, and no cold server gets more than the cold multiple within its window.
   */
  @Test
  void coldServersAreFilledUpToTheirPresentCapacity() {
    FleetHarness fleet = new FleetHarness(LARGE_FLEET, settings(true, LARGE_FLEET), 5 * MILLIS, 500 * MILLIS, 40);
    fleet.updateServers(servers("warm", 18, ServerState.READY, 0));
    List<String> warm = IntStream.range(0, 18).mapToObj(i -> "warm" + i).toList();
    fleet.handOverConnections(600, warm);
    fleet.advance(4 * SECOND);
    fleet.updateServers(servers("cold", 18, ServerState.READY, fleet.now));
    for (int i = 0; i < 240; i++) { // 30 per second
      String client = "late" + i;
      fleet.schedule(fleet.now + i * (8 * SECOND / 240), () -> fleet.submit(client));
    }
    long coldSince = fleet.now;
    fleet.advance(8 * SECOND);
    int cold = IntStream.range(0, 18).map(i -> fleet.connectionCount("cold" + i)).sum();
    double capacity = 18 * 40 * (0.1 + 0.9 * (fleet.now - coldSince) / (double) WARM_UP_MICROS);
    assertTrue(cold > 0.4 * capacity, cold + " connections on cold servers with a capacity of " + capacity);
    for (int i = 0; i < 18; i++) {
      double limit = COLD_MULTIPLE * 40 / 28.0 * 0.35 * COLD_WINDOW_MICROS / SECOND; // capacity of the eighth second
      limit += 2 * Math.sqrt(limit) + 2; // allows for chance
      assertTrue(fleet.maxSentWithin("cold" + i, COLD_WINDOW_MICROS) <= limit,
          fleet.maxSentWithin("cold" + i, COLD_WINDOW_MICROS) + " attempts within the window to one server");
    }
  }

  /** Load reports that show spare capacity on warm servers raise the warm-up budget of cold ones accordingly. */
  @Test
  void coldServersGetMoreConnectionsWhenReportsShowSpareCapacity() {
    FleetHarness fleet = new FleetHarness(LARGE_FLEET, settings(true, LARGE_FLEET), 5 * MILLIS, 500 * MILLIS, 130);
    fleet.updateServers(servers("warm", 18, ServerState.READY, 0));
    fleet.handOverConnections(600, IntStream.range(0, 18).mapToObj(i -> "warm" + i).toList());
    fleet.advance(4 * SECOND);
    fleet.updateServers(servers("cold", 18, ServerState.READY, fleet.now));
    for (int i = 0; i < 400; i++) { // 50 per second
      String client = "late" + i;
      fleet.schedule(fleet.now + i * (8 * SECOND / 400), () -> fleet.submit(client));
    }
    fleet.advance(8 * SECOND);
    int cold = IntStream.range(0, 18).map(i -> fleet.connectionCount("cold" + i)).sum();
    assertTrue(cold > 200, cold + " connections on cold servers");
  }

  /** Prevents one hanging server from blocking all setups of a proxy for several times its timeout. */
  @Test
  void oneTimeoutPausesFurtherSetupsForAFewSetupTargets() {
    BalancerHarness harness = new BalancerHarness();
    harness.start(settings(false, LARGE_FLEET));
    harness.replaceWithReady("a", "b", "c", "d");
    harness.submit(1, "k1", null);
    harness.balancer.onAttemptEnded(harness.now, 1, 0, Balancer.Outcome.TIMED_OUT, 5 * SECOND, true);
    harness.advance(4 * SECOND);
    assertTrue(harness.submit(2, "k2", null) != null, "next setup is sent");
  }
}
