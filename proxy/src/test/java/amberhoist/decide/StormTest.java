package amberhoist.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Scope;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Balancer.Value;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one of many balancers does to the call that all set-ups share. */
class StormTest {
  private static Bench bench(int balancers) {
    Bench bench = new Bench();
    bench.start(new Settings("z", 0, balancers, List.of(Bench.type(Effect.SAFE, Scope.ALL)), false, 10 * Bench.S, 4,
        600 * Bench.MS, 0, 0, 0.3, 9 * Bench.S, 2.5, 3 * Bench.S, Value.NONE, false));
    bench.full("a", "b", "c", "d");
    return bench;
  }

  /** Clients ask every 40 ms for ten seconds; each set-up ends after so long. How many are out on average. */
  private static double outOnAverage(Bench bench, long latency, boolean stands) {
    long from = bench.now;
    int seen = bench.acts.size();
    long[] ends = new long[4000];
    long[] ids = new long[4000];
    int sent = 0;
    int ended = 0;
    for (long id = from; bench.now < from + 10 * Bench.S || ended < sent; id++) { // until all have ended
      if (bench.now < from + 10 * Bench.S) {
        bench.ask(id, "k" + id, null);
      }
      for (int step = 0; step < 2; step++) {
        bench.pass(20 * Bench.MS);
        for (; seen < bench.acts.size(); seen++) {
          if (bench.acts.get(seen).isSend()) {
            ids[sent] = bench.acts.get(seen).request();
            ends[sent++] = bench.now + latency;
          }
        }
        for (; ended < sent && ends[ended] <= bench.now; ended++) {
          if (stands) {
            bench.balancer.opened(bench.now, ids[ended], 0, latency);
          } else {
            bench.balancer.ended(bench.now, ids[ended], 0, Outcome.TIMED_OUT, latency, true);
          }
        }
      }
    }
    return (double) ended * latency / (10 * Bench.S);
  }

  /** Guards against a hundred balancers that each have but one set-up out keeping the shared call jammed for good. */
  @Test
  void whileSetUpsFailOneOfManyTriesSeldom() {
    double few = outOnAverage(bench(4), 600 * Bench.MS, false);
    double many = outOnAverage(bench(100), 600 * Bench.MS, false);
    assertTrue(few > 0.8, few + " out where there are four");
    assertTrue(many > 0 && many < 0.35, many + " out where there are a hundred");
  }

  /** Guards against one server, lost just after all were set up there, throttling what goes to the others. */
  @Test
  void oneServerThatDropsManyYoungConnectionsIsOneFault() {
    Bench bench = Bench.safe("a");
    for (long id = 0; id < 30; id++) {
      bench.open(id, "k" + id, null);
    }
    bench.full("a", "b", "c");
    for (long id = 0; id < 30; id++) {
      bench.balancer.ended(bench.now, id, 0, Outcome.RESET, 10 * Bench.MS, true);
    }
    long before = bench.count("send");
    for (long id = 100; id < 106; id++) {
      bench.ask(id, "k" + id, null);
    }
    assertEquals(6, bench.count("send") - before, "all are tried at once elsewhere");
  }

  @Test
  void onceSetUpsStandAgainOneOfManyTakesInAllThatCome() {
    Bench bench = bench(100);
    outOnAverage(bench, 600 * Bench.MS, false);
    bench.pass(30 * Bench.S); // trust comes back with time
    outOnAverage(bench, 20 * Bench.MS, true);
    long before = bench.count("refuse");
    outOnAverage(bench, 20 * Bench.MS, true);
    assertEquals(before, bench.count("refuse"), "nobody is refused any more");
  }
}
