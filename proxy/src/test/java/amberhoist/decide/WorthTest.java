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

/** Who gets the room that is left at servers that were jammed before. */
class WorthTest {
  private static final double LOAD = 50_000;

  private static RequestClass type(String name, double worth) {
    return new RequestClass(name, Effect.SAFE, Scope.ALL, 300 * MS, 0, worth, 100 * MS);
  }

  /** One server that jammed under thirty connections, of which two are left. */
  private static Bench jammedOnce(Value value) {
    return jammedOnce(value, 2);
  }

  private static Bench jammedOnce(Value value, int balancers) {
    Bench bench = new Bench();
    bench.start(new Balancer.Settings("z", 0, balancers, List.of(type("plain", 1), type("urgent", 3)), false, 10 * S, 4,
        600 * MS, 0.02, 0.02, 0.3, 9 * S, 2.5, 3 * S, value, false));
    bench.full("a");
    for (long id = 0; id < 30; id++) {
      ask(bench, id, "plain", "steady", LOAD);
      bench.balancer.opened(bench.now, id, 0, 5 * MS);
    }
    bench.balancer.delay(bench.now, 0, 0, 200 * MS);
    bench.pass(200 * MS);
    for (long id = 0; id < 28; id++) {
      bench.balancer.ended(bench.now, id, 0, Balancer.Outcome.SERVED, 0, true);
    }
    bench.pass(Policy.SLOW_MEMORY);
    return bench;
  }

  private static boolean ask(Bench bench, long id, String type, String tenant, double load) {
    int before = bench.acts.size();
    bench.balancer.request(bench.now,
        new Request(id, type, tenant, "client" + id, bench.now + 1200 * MS, load, "g", false, false));
    return bench.sentSince(before, id) != null;
  }

  /** How many of these follow each other in before there is no room for them. */
  private static int taken(Bench bench, long from, String type, String tenant, double load) {
    int taken = 0;
    while (taken < 60 && ask(bench, from + taken, type, tenant, load)) {
      bench.balancer.opened(bench.now, from + taken++, 0, 5 * MS);
      bench.pass(100 * MS); // one of many paces its set-ups
    }
    bench.pass(type("", 0).aim() + MS); // the one that was held is sent away
    return taken;
  }

  @Test
  void roomIsKeptForWhatIsWorthMore() {
    Bench bench = jammedOnce(new Value(true, 1, Map.of()));
    taken(bench, 100, "plain", "steady", LOAD);
    int more = taken(bench, 200, "urgent", "steady", LOAD);
    assertTrue(more >= 3 && more < 60, "after the plain ones there is room for some urgent ones: " + more);
    assertEquals(0, taken(bench, 300, "plain", "steady", LOAD));
  }

  @Test
  void tenantBeyondItsShareLeavesRoomToTheOther() {
    Bench bench = jammedOnce(new Value(true, 0.2, Map.of("steady", 1000.0, "bursting", 8.0)));
    int first = taken(bench, 100, "urgent", "bursting", LOAD);
    assertTrue(first >= 4, "its share of the two balancers' eight: " + first);
    int other = taken(bench, 200, "urgent", "steady", LOAD);
    assertTrue(other >= 3 && other < 60, "what is in its share goes before what is beyond one: " + other);
    assertEquals(0, taken(bench, 300, "urgent", "bursting", LOAD));
  }

  /** One of very many holds a connection or two at a server: a part of that kept back would be all of it. */
  @Test
  void oneOfManyKeepsNoRoomBack() {
    Bench many = jammedOnce(new Value(true, 1, Map.of()), 40);
    int plain = taken(many, 100, "plain", "steady", LOAD);
    int ofFew = taken(jammedOnce(new Value(true, 1, Map.of())), 100, "plain", "steady", LOAD);
    assertTrue(plain >= 1.4 * ofFew, "taken " + plain + ", by one of two " + ofFew);
  }

  /** Of a share of twelve connections here, chance brings sixteen at times: that is no excess. */
  @Test
  void chanceIsNoExcessOverAShare() {
    Map<String, Double> shares = Map.of("steady", 1000.0, "small", 48.0);
    Bench bench = jammedOnce(new Value(true, 0.2, shares), 4);
    Bench plenty = jammedOnce(new Value(true, 1, shares), 4);
    int taken = taken(bench, 100, "urgent", "small", LOAD);
    assertTrue(taken >= 16, "taken " + taken);
    assertTrue(taken < taken(plenty, 100, "urgent", "small", LOAD), "but not many more");
  }

  @Test
  void whereWorthDoesNotGrowWithWorkLightOnesGoFirst() {
    Bench bench = jammedOnce(new Value(false, 1, Map.of()));
    int heavy = taken(bench, 100, "urgent", "steady", 4 * LOAD);
    int light = taken(bench, 200, "urgent", "steady", LOAD);
    assertTrue(light >= 4 && light < 60, "room that no heavy one may have: " + light + " after " + heavy);
  }

  @Test
  void jammedServersLoseFirstWhatIsWorthLeast() {
    Bench bench = new Bench();
    bench.start(Bench.settings(false, new Value(true, 1, Map.of()), type("plain", 1), type("urgent", 3)));
    bench.full("a");
    for (long id = 0; id < 30; id++) {
      ask(bench, id, id % 2 == 0 ? "urgent" : "plain", "steady", LOAD);
      bench.balancer.opened(bench.now, id, 0, 5 * MS);
    }
    bench.balancer.delay(bench.now, 0, 0, 200 * MS);
    bench.pass(200 * MS);
    List<Bench.Act> moves = bench.acts.stream().filter(act -> act.what().equals("move")).toList();
    assertTrue(moves.size() >= 5 && moves.stream().allMatch(act -> act.request() % 2 == 1), "moved " + moves);
  }
}
