package amberhoist.decide;

import static amberhoist.decide.Bench.MS;
import static amberhoist.decide.Bench.S;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Scope;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Balancer.State;
import amberhoist.decide.Balancer.Value;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Up to a hundred balancers together, each with a handful of connections, with cold servers or a slow store. */
class FleetTest {
  private static final int LARGE_FLEET = 100;
  private static final double COLD_MULTIPLE = 5;
  private static final long COLD_WINDOW_MICROS = 2500 * MS;
  private static final long WARM_UP_MICROS = 28 * S;

  private static Settings settings(boolean reports, int balancers) {
    RequestClass type = new RequestClass("c", Effect.SAFE, Scope.ALL, 300 * MS, 5 * S, 1, 100 * MS);
    return new Settings("z", 0, balancers, List.of(type), false, 10 * S, 4, 600 * MS, 0, 0, 0.1,
        WARM_UP_MICROS, COLD_MULTIPLE, COLD_WINDOW_MICROS, Value.NONE, reports);
  }

  private static List<Server> servers(String prefix, int count, State state, long since) {
    return IntStream.range(0, count).mapToObj(i -> Bench.server(prefix + i, state, since)).toList();
  }

  /**
   * Number of setups that succeed within a time when they arrive three times as fast as the shared store answers them.
   * Clients retry until they are established.
   */
  private static int establishedWithin(long micros, int balancers, int answersPerSecond) {
    FleetBench fleet = new FleetBench(balancers, settings(false, balancers), S / answersPerSecond, S, 60);
    fleet.change(servers("warm", 18, State.READY, 0));
    int clients = 14 * answersPerSecond;
    for (int i = 0; i < clients; i++) {
      String client = "client" + i;
      fleet.at(fleet.now + i * S / (3 * answersPerSecond), () -> fleet.arrive(client));
    }
    fleet.pass(micros);
    return fleet.opened;
  }

  /** Prevents many balancers that each back off only a little from keeping the shared store overloaded for good. */
  @Test
  void overloadedSharedStoreRecoversAndSetupsSucceed() {
    int fast = establishedWithin(25 * S, LARGE_FLEET, 28);
    assertTrue(fast > 250, fast + " of 392 setups succeeded after 25 s with a hundred balancers");
    int slow = establishedWithin(30 * S, LARGE_FLEET, 14);
    assertTrue(slow > 40, slow + " of 196 setups succeeded after 30 s, with a slower store");
    int fewer = establishedWithin(30 * S, 30, 14);
    assertTrue(fewer > 172, fewer + " of 196 setups succeeded after 30 s, with a slower store and 30 balancers");
  }

  /** Without load reports no balancer sees the total load: connections must not gather on a few servers. */
  @Test
  void connectionsWithoutLoadReportsSpreadOverThePreferredServers() {
    FleetBench fleet = new FleetBench(LARGE_FLEET, settings(false, LARGE_FLEET), MS, 500 * MS, 40);
    fleet.change(servers("warm", 18, State.READY, 0));
    for (int i = 0; i < 360; i++) {
      String client = "client" + i;
      fleet.at(fleet.now + i * 50 * MS, () -> fleet.arrive(client));
    }
    fleet.pass(30 * S);
    int max = IntStream.range(0, 18).map(i -> fleet.standing("warm" + i)).max().orElseThrow();
    assertTrue(max < 43, max + " of 360 connections are on one of 18 servers");
  }

  /**
   * Half of 36 servers are cold, the others nearly full: new connections use the capacity that the cold servers have
   * already, and no cold server gets more than the cold multiple within its window.
   */
  @Test
  void coldServersAreFilledUpToTheirPresentCapacity() {
    FleetBench fleet = new FleetBench(LARGE_FLEET, settings(true, LARGE_FLEET), 5 * MS, 500 * MS, 40);
    fleet.change(servers("warm", 18, State.READY, 0));
    List<String> warm = IntStream.range(0, 18).mapToObj(i -> "warm" + i).toList();
    fleet.stand(600, warm);
    fleet.pass(4 * S);
    fleet.change(servers("cold", 18, State.READY, fleet.now));
    for (int i = 0; i < 240; i++) { // 30 per second
      String client = "late" + i;
      fleet.at(fleet.now + i * (8 * S / 240), () -> fleet.arrive(client));
    }
    long coldSince = fleet.now;
    fleet.pass(8 * S);
    int cold = IntStream.range(0, 18).map(i -> fleet.standing("cold" + i)).sum();
    double capacity = 18 * 40 * (0.1 + 0.9 * (fleet.now - coldSince) / (double) WARM_UP_MICROS);
    assertTrue(cold > 0.4 * capacity, cold + " connections on cold servers with a capacity of " + capacity);
    for (int i = 0; i < 18; i++) {
      double limit = COLD_MULTIPLE * 40 / 28.0 * 0.35 * COLD_WINDOW_MICROS / S; // capacity of the eighth second
      limit += 2 * Math.sqrt(limit) + 2; // allows for chance
      assertTrue(fleet.most("cold" + i, COLD_WINDOW_MICROS) <= limit,
          fleet.most("cold" + i, COLD_WINDOW_MICROS) + " attempts within the window to one server");
    }
  }

  /** Load reports that show spare capacity on warm servers raise the warm-up budget of cold ones accordingly. */
  @Test
  void coldServersGetMoreConnectionsWhenReportsShowSpareCapacity() {
    FleetBench fleet = new FleetBench(LARGE_FLEET, settings(true, LARGE_FLEET), 5 * MS, 500 * MS, 130);
    fleet.change(servers("warm", 18, State.READY, 0));
    fleet.stand(600, IntStream.range(0, 18).mapToObj(i -> "warm" + i).toList());
    fleet.pass(4 * S);
    fleet.change(servers("cold", 18, State.READY, fleet.now));
    for (int i = 0; i < 400; i++) { // 50 per second
      String client = "late" + i;
      fleet.at(fleet.now + i * (8 * S / 400), () -> fleet.arrive(client));
    }
    fleet.pass(8 * S);
    int cold = IntStream.range(0, 18).map(i -> fleet.standing("cold" + i)).sum();
    assertTrue(cold > 200, cold + " connections on cold servers");
  }

  /** Prevents one hanging server from blocking all setups of a proxy for several times its timeout. */
  @Test
  void oneTimeoutPausesFurtherSetupsForAFewSetupTargets() {
    Bench harness = new Bench();
    harness.start(settings(false, LARGE_FLEET));
    harness.full("a", "b", "c", "d");
    harness.submit(1, "k1", null);
    harness.balancer.ended(harness.now, 1, 0, Balancer.Outcome.TIMED_OUT, 5 * S, true);
    harness.pass(4 * S);
    assertTrue(harness.submit(2, "k2", null) != null, "next setup is sent");
  }
}
