package amberhoist.decide;

import static amberhoist.decide.Bench.MS;
import static amberhoist.decide.Bench.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Scope;
import amberhoist.decide.Balancer.Value;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which requests get the remaining capacity of servers that were overloaded before, by value and tenant share. */
class WorthTest {
  private static final double LOAD_MICROS = 50_000; // of work per second

  private static RequestClass requestClass(String name, double value) {
    return new RequestClass(name, Effect.SAFE, Scope.ALL, 300 * MS, 0, value, 100 * MS);
  }

  /** One of two balancers, with one server that was overloaded by thirty connections, of which two are left. */
  private static Bench withOverloadedServer(Value value) {
    return withOverloadedServer(value, 2);
  }

  private static Bench withOverloadedServer(Value value, int balancers) {
    Bench harness = new Bench();
    harness.start(new Balancer.Settings("z", 0, balancers,
        List.of(requestClass("plain", 1), requestClass("urgent", 3)), false, 10 * S, 4,
        600 * MS, 0.02, 0.02, 0.3, 9 * S, 2.5, 3 * S, value, false));
    harness.full("a");
    for (long id = 0; id < 30; id++) {
      submit(harness, id, "plain", "steady", LOAD_MICROS);
      harness.balancer.opened(harness.now, id, 0, 5 * MS);
    }
    harness.balancer.delay(harness.now, 0, 0, 200 * MS);
    harness.pass(200 * MS);
    for (long id = 0; id < 28; id++) {
      harness.balancer.ended(harness.now, id, 0, Balancer.Outcome.SERVED, 0, true);
    }
    harness.pass(Policy.SLOW_MEMORY);
    return harness;
  }

  private static boolean submit(Bench harness, long id, String type, String tenant, double load) {
    int before = harness.acts.size();
    harness.balancer.request(harness.now,
        new Request(id, type, tenant, "client" + id, harness.now + 1200 * MS, load, "g", false, false));
    return harness.sentSince(before, id) != null;
  }

  /** Number of requests that are accepted one after the other until one finds no capacity; at most 60. */
  private static int accepted(Bench harness, long firstId, String type, String tenant, double load) {
    int count = 0;
    while (count < 60 && submit(harness, firstId + count, type, tenant, load)) {
      harness.balancer.opened(harness.now, firstId + count++, 0, 5 * MS);
      harness.pass(100 * MS); // a balancer of a large fleet spaces its setups
    }
    harness.pass(requestClass("", 0).aim() + MS); // the queued request is rejected
    return count;
  }

  @Test
  void capacityIsReservedForRequestsOfHigherValue() {
    Bench harness = withOverloadedServer(new Value(true, 1, Map.of()));
    accepted(harness, 100, "plain", "steady", LOAD_MICROS);
    int more = accepted(harness, 200, "urgent", "steady", LOAD_MICROS);
    assertTrue(more >= 3 && more < 60, "urgent requests accepted after the plain ones: " + more);
    assertEquals(0, accepted(harness, 300, "plain", "steady", LOAD_MICROS));
  }

  @Test
  void tenantBeyondItsShareLeavesCapacityToOthers() {
    Bench harness = withOverloadedServer(new Value(true, 0.2, Map.of("steady", 1000.0, "bursting", 8.0)));
    int first = accepted(harness, 100, "urgent", "bursting", LOAD_MICROS);
    assertTrue(first >= 4, "its share is half of eight, for one of two balancers: " + first);
    int other = accepted(harness, 200, "urgent", "steady", LOAD_MICROS);
    assertTrue(other >= 3 && other < 60, "a tenant within its share is preferred to one beyond: " + other);
    assertEquals(0, accepted(harness, 300, "urgent", "bursting", LOAD_MICROS));
  }

  /** A balancer of a large fleet has one or two connections on a server: a reserved part of that would be all of it. */
  @Test
  void balancerOfALargeFleetReservesNoCapacity() {
    Bench large = withOverloadedServer(new Value(true, 1, Map.of()), 40);
    int plain = accepted(large, 100, "plain", "steady", LOAD_MICROS);
    int ofSmallFleet = accepted(withOverloadedServer(new Value(true, 1, Map.of())), 100,
        "plain", "steady", LOAD_MICROS);
    assertTrue(plain >= 1.4 * ofSmallFleet, "accepted " + plain + ", in a fleet of two " + ofSmallFleet);
  }

  /** With a share of twelve connections per balancer, sixteen by chance do not count as beyond the share. */
  @Test
  void randomVariationDoesNotCountAsBeyondTheShare() {
    Map<String, Double> shares = Map.of("steady", 1000.0, "small", 48.0);
    Bench harness = withOverloadedServer(new Value(true, 0.2, shares), 4);
    Bench unlimited = withOverloadedServer(new Value(true, 1, shares), 4);
    int count = accepted(harness, 100, "urgent", "small", LOAD_MICROS);
    assertTrue(count >= 16, "accepted " + count);
    assertTrue(count < accepted(unlimited, 100, "urgent", "small", LOAD_MICROS),
        "fewer than without a value reduction beyond the share");
  }

  @Test
  void lightConnectionsArePreferredWhenValueDoesNotGrowWithLoad() {
    Bench harness = withOverloadedServer(new Value(false, 1, Map.of()));
    int heavy = accepted(harness, 100, "urgent", "steady", 4 * LOAD_MICROS);
    int light = accepted(harness, 200, "urgent", "steady", LOAD_MICROS);
    assertTrue(light >= 4 && light < 60, "light requests accepted after the heavy ones: " + light + " after " + heavy);
  }

  @Test
  void overloadedServerMovesConnectionsOfLowestValueFirst() {
    Bench harness = new Bench();
    harness.start(Bench.settings(false, new Value(true, 1, Map.of()),
        requestClass("plain", 1), requestClass("urgent", 3)));
    harness.full("a");
    for (long id = 0; id < 30; id++) {
      submit(harness, id, id % 2 == 0 ? "urgent" : "plain", "steady", LOAD_MICROS);
      harness.balancer.opened(harness.now, id, 0, 5 * MS);
    }
    harness.balancer.delay(harness.now, 0, 0, 200 * MS);
    harness.pass(200 * MS);
    List<Bench.Act> moves = harness.acts.stream()
        .filter(action -> action.what().equals("move")).toList();
    assertTrue(moves.size() >= 5 && moves.stream().allMatch(action -> action.request() % 2 == 1), "moved " + moves);
  }
}
