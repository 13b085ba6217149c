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

/** One balancer of many, with hardly a connection anywhere, goes by what servers report of their load. */
class ReportsTest {
  private static final int MANY = 50;

  private static Bench bench(int balancers, boolean reports) {
    Bench bench = new Bench();
    bench.start(new Settings("z", 0, balancers, List.of(Bench.type(Effect.SAFE, Scope.ALL)), false, 10 * S, 4, 600 * MS,
        0.02, 0.02, 0.3, 9 * S, 2.5, 3 * S, Value.NONE, reports));
    bench.full("a", "b", "c", "d", "e");
    return bench;
  }

  private static List<String> asked(Bench bench) {
    return bench.acts.stream().filter(act -> act.what().equals("ask")).map(Bench.Act::server).toList();
  }

  /** A bench with connections of one group on one server, as after a start, and what it asks the server answered so. */
  private static long movedAt(double heat) {
    Bench bench = bench(MANY, true);
    for (long id = 0; id < 60; id++) {
      bench.balancer.handover(bench.now, Bench.request(id, "k" + id, "g", 0), "a");
      bench.balancer.load(bench.now, id, 0, 20 * MS);
    }
    for (String other : List.of("b", "c", "d", "e")) {
      bench.balancer.report(bench.now, other, 0.3);
    }
    bench.balancer.report(bench.now, "a", heat);
    return bench.count("move");
  }

  @Test
  void aRequestWaitsForReportsOfItsHomesAndGoesToTheCoolest() {
    for (int coolest = 0; coolest < Policy.LEAST_HOMES; coolest++) {
      Bench bench = bench(MANY, true);
      assertEquals(null, bench.ask(1, "k", "g"), "waits");
      List<String> homes = asked(bench);
      assertEquals(Policy.LEAST_HOMES, homes.size());
      for (int i = 0; i < homes.size(); i++) {
        assertEquals(0, bench.count("send"), "still waits");
        bench.balancer.report(bench.now, homes.get(i), i == coolest ? 0.2 : 0.4);
      }
      assertEquals(homes.get(coolest), bench.sentSince(0, 1));
    }
  }

  @Test
  void aServerThatDoesNotAnswerHoldsNobodyForLong() {
    Bench bench = bench(MANY, true);
    bench.ask(1, "k", "g");
    bench.pass(Policy.ASK_WAIT + 2 * Policy.TICK);
    assertEquals(1, bench.count("send"));
    assertTrue(bench.acts.stream().noneMatch(act -> act.what().equals("refuse")));
  }

  @Test
  void whatIsKnownIsNotAskedAgainUntilItIsOld() {
    Bench bench = bench(MANY, true);
    bench.ask(1, "k", "g");
    asked(bench).forEach(server -> bench.balancer.report(bench.now, server, 0.2));
    bench.balancer.opened(bench.now, 1, 0, 10 * MS);
    bench.pass(100 * MS); // one of many paces its set-ups
    int before = asked(bench).size();
    assertTrue(bench.ask(2, "other", "g") != null, "placed at once");
    assertEquals(before, asked(bench).size());
    bench.pass(Policy.FRESH + Policy.TICK);
    bench.ask(3, "third", "g");
    assertTrue(asked(bench).size() > before);
  }

  @Test
  void fewBalancersAskNothingNorDoesAnyWhereNoneMayBeAsked() {
    for (Bench bench : List.of(bench((int) Policy.FEW, true), bench(MANY, false))) {
      assertTrue(bench.ask(1, "k", "g") != null, "placed at once");
      bench.balancer.opened(bench.now, 1, 0, 10 * MS);
      bench.pass(20 * S);
      assertEquals(0, bench.count("ask"));
    }
  }

  @Test
  void aHotHomeIsPassedBy() {
    Bench bench = bench(MANY, true);
    bench.ask(1, "k", "g");
    List<String> homes = asked(bench);
    bench.balancer.report(bench.now, homes.get(0), 1.2);
    bench.balancer.report(bench.now, homes.get(1), Policy.HOT);
    bench.balancer.report(bench.now, homes.get(2), Policy.HOT - 0.01);
    assertEquals(homes.get(2), bench.sentSince(0, 1));
  }

  @Test
  void whereAllHomesAreHotTheLeastHotIsTaken() {
    Bench bench = bench(MANY, true);
    bench.ask(1, "k", "g");
    List<String> homes = asked(bench);
    bench.balancer.report(bench.now, homes.get(0), 1.4);
    bench.balancer.report(bench.now, homes.get(1), 1.1);
    bench.balancer.report(bench.now, homes.get(2), 1.3);
    assertEquals(homes.get(1), bench.sentSince(0, 1));
  }

  @Test
  void aHotServerLosesThePartThatIsTooMuch() {
    assertEquals(0, movedAt(Policy.HOT), "not hot");
    long half = movedAt(2 * Policy.COOL);
    assertTrue(half >= 28 && half <= 32, half + " of 60 where half is too much");
    long quarter = movedAt(Policy.COOL / 0.75);
    assertTrue(quarter >= 14 && quarter <= 16, quarter + " of 60 where a quarter is too much");
  }

  @Test
  void nothingIsMovedToHomesThatAreAsHot() {
    Bench bench = bench(MANY, true);
    bench.balancer.handover(bench.now, Bench.request(1, "k", "g", 0), "a");
    bench.balancer.load(bench.now, 1, 0, 20 * MS);
    for (String server : List.of("b", "c", "d", "e", "a")) {
      bench.balancer.report(bench.now, server, 3);
    }
    assertEquals(0, bench.count("move"));
  }

  @Test
  void serversWithConnectionsAreAskedNowAndThenAndNoOthers() {
    Bench bench = bench(MANY, true);
    for (long id = 0; id < 20; id++) {
      bench.balancer.handover(bench.now, Bench.request(id, "k" + id, "g", 0), id % 2 == 0 ? "a" : "b");
      bench.balancer.load(bench.now, id, 0, 20 * MS);
    }
    bench.pass(60 * S);
    Set<String> servers = new HashSet<>(asked(bench));
    assertEquals(Set.of("a", "b"), servers);
    long most = 2 * 60 * S / (Policy.FRESH / 2);
    assertTrue(asked(bench).size() > 20 && asked(bench).size() <= most, asked(bench).size() + " in a minute");
  }
}
