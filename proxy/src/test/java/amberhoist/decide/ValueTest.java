package amberhoist.decide;

import static amberhoist.decide.BalancerHarness.MILLIS;
import static amberhoist.decide.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which requests get the remaining capacity of servers that were overloaded before, by value and tenant share. */
class ValueTest {
  private static final double LOAD_MICROS = 50_000; // of work per second

  private static RequestClass requestClass(String name, double value) {
    return new RequestClass(name, Effect.IDEMPOTENT, DedupScope.ALL, 300 * MILLIS, 0, value, 100 * MILLIS);
  }

  /** One of two balancers, with one server that was overloaded by thirty connections, of which two are left. */
  private static BalancerHarness withOverloadedServer(ConnectionValue value) {
    return withOverloadedServer(value, 2);
  }

  private static BalancerHarness withOverloadedServer(ConnectionValue value, int balancers) {
    BalancerHarness harness = new BalancerHarness();
    harness.start(new Balancer.Settings("z", 0, balancers,
        List.of(requestClass("plain", 1), requestClass("urgent", 3)), false, 10 * SECOND, 4,
        600 * MILLIS, 0.02, 0.02, 0.3, 9 * SECOND, 2.5, 3 * SECOND, value, false));
    harness.replaceWithReady("a");
    for (long id = 0; id < 30; id++) {
      submit(harness, id, "plain", "steady", LOAD_MICROS);
      harness.balancer.onEstablished(harness.now, id, 0, 5 * MILLIS);
    }
    harness.balancer.onQueueingDelay(harness.now, 0, 0, 200 * MILLIS);
    harness.advance(200 * MILLIS);
    for (long id = 0; id < 28; id++) {
      harness.balancer.onAttemptEnded(harness.now, id, 0, Balancer.Outcome.SERVED, 0, true);
    }
    harness.advance(Policy.DELAY_REPORT_TTL_MICROS);
    return harness;
  }

  private static boolean submit(BalancerHarness harness, long id, String className, String tenant, double load) {
    int before = harness.actions.size();
    harness.balancer.onRequest(harness.now,
        new Request(id, className, tenant, "client" + id, harness.now + 1200 * MILLIS, load, "g", false, false));
    return harness.serverSentSince(before, id) != null;
  }

  /** Number of requests that are accepted one after the other until one finds no capacity; at most 60. */
  private static int accepted(BalancerHarness harness, long firstId, String className, String tenant, double load) {
    int count = 0;
    while (count < 60 && submit(harness, firstId + count, className, tenant, load)) {
      harness.balancer.onEstablished(harness.now, firstId + count++, 0, 5 * MILLIS);
      harness.advance(100 * MILLIS); // a balancer of a large fleet spaces its setups
    }
    harness.advance(requestClass("", 0).setupTargetMicros() + MILLIS); // the queued request is rejected
    return count;
  }

  @Test
  void capacityIsReservedForRequestsOfHigherValue() {
    BalancerHarness harness = withOverloadedServer(new ConnectionValue(true, 1, Map.of()));
    accepted(harness, 100, "plain", "steady", LOAD_MICROS);
    int more = accepted(harness, 200, "urgent", "steady", LOAD_MICROS);
    assertTrue(more >= 3 && more < 60, "urgent requests accepted after the plain ones: " + more);
    assertEquals(0, accepted(harness, 300, "plain", "steady", LOAD_MICROS));
  }

  @Test
  void tenantBeyondItsShareLeavesCapacityToOthers() {
    BalancerHarness harness = withOverloadedServer(new ConnectionValue(true, 0.2,
        Map.of("steady", 1000.0, "bursting", 8.0)));
    int first = accepted(harness, 100, "urgent", "bursting", LOAD_MICROS);
    assertTrue(first >= 4, "its share is half of eight, for one of two balancers: " + first);
    int other = accepted(harness, 200, "urgent", "steady", LOAD_MICROS);
    assertTrue(other >= 3 && other < 60, "a tenant within its share is preferred to one beyond: " + other);
    assertEquals(0, accepted(harness, 300, "urgent", "bursting", LOAD_MICROS));
  }

  /** A balancer of a large fleet has one or two connections on a server: a reserved part of that would be all of it. */
  @Test
  void balancerOfALargeFleetReservesNoCapacity() {
    BalancerHarness large = withOverloadedServer(new ConnectionValue(true, 1, Map.of()), 40);
    int plain = accepted(large, 100, "plain", "steady", LOAD_MICROS);
    int ofSmallFleet = accepted(withOverloadedServer(new ConnectionValue(true, 1, Map.of())), 100,
        "plain", "steady", LOAD_MICROS);
    assertTrue(plain >= 1.4 * ofSmallFleet, "accepted " + plain + ", in a fleet of two " + ofSmallFleet);
  }

  /** With a share of twelve connections per balancer, sixteen by chance do not count as beyond the share. */
  @Test
  void randomVariationDoesNotCountAsBeyondTheShare() {
    Map<String, Double> shares = Map.of("steady", 1000.0, "small", 48.0);
    BalancerHarness harness = withOverloadedServer(new ConnectionValue(true, 0.2, shares), 4);
    BalancerHarness unlimited = withOverloadedServer(new ConnectionValue(true, 1, shares), 4);
    int count = accepted(harness, 100, "urgent", "small", LOAD_MICROS);
    assertTrue(count >= 16, "accepted " + count);
    assertTrue(count < accepted(unlimited, 100, "urgent", "small", LOAD_MICROS),
        "fewer than without a value reduction beyond the share");
  }

  @Test
  void lightConnectionsArePreferredWhenValueDoesNotGrowWithLoad() {
    BalancerHarness harness = withOverloadedServer(new ConnectionValue(false, 1, Map.of()));
    int heavy = accepted(harness, 100, "urgent", "steady", 4 * LOAD_MICROS);
    int light = accepted(harness, 200, "urgent", "steady", LOAD_MICROS);
    assertTrue(light >= 4 && light < 60, "light requests accepted after the heavy ones: " + light + " after " + heavy);
  }

  @Test
  void overloadedServerMovesConnectionsOfLowestValueFirst() {
    BalancerHarness harness = new BalancerHarness();
    harness.start(BalancerHarness.settings(false, new ConnectionValue(true, 1, Map.of()),
        requestClass("plain", 1), requestClass("urgent", 3)));
    harness.replaceWithReady("a");
    for (long id = 0; id < 30; id++) {
      submit(harness, id, id % 2 == 0 ? "urgent" : "plain", "steady", LOAD_MICROS);
      harness.balancer.onEstablished(harness.now, id, 0, 5 * MILLIS);
    }
    harness.balancer.onQueueingDelay(harness.now, 0, 0, 200 * MILLIS);
    harness.advance(200 * MILLIS);
    List<BalancerHarness.Action> moves = harness.actions.stream()
        .filter(action -> action.kind().equals("move")).toList();
    assertTrue(moves.size() >= 5 && moves.stream().allMatch(action -> action.requestId() % 2 == 1), "moved " + moves);
  }
}
