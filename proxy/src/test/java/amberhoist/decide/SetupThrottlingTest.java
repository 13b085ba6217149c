package amberhoist.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Throttling of setups by one balancer, so that a large fleet does not overload the shared store. */
class SetupThrottlingTest {
  private static BalancerHarness newHarness(int balancers) {
    BalancerHarness harness = new BalancerHarness();
    harness.start(new Settings("z", 0, balancers,
        List.of(BalancerHarness.requestClass(Effect.IDEMPOTENT, DedupScope.ALL)), false,
        10 * BalancerHarness.SECOND, 4, 600 * BalancerHarness.MILLIS, 0, 0, 0.3, 9 * BalancerHarness.SECOND,
        2.5, 3 * BalancerHarness.SECOND, ConnectionValue.DEFAULT, false));
    harness.replaceWithReady("a", "b", "c", "d");
    return harness;
  }

  /**
   * Average number of setups in flight while a new client arrives every 40 ms for ten seconds.
   *
   * @param latency time in microseconds after which each setup ends
   * @param succeeds whether setups succeed; otherwise they time out
   */
  private static double averageInFlight(BalancerHarness harness, long latency, boolean succeeds) {
    long startedAt = harness.now;
    int nextAction = harness.actions.size();
    long[] ends = new long[4000];
    long[] ids = new long[4000];
    int sent = 0;
    int ended = 0;
    // submits for ten seconds, then goes on until all setups have ended
    for (long id = startedAt; harness.now < startedAt + 10 * BalancerHarness.SECOND || ended < sent; id++) {
      if (harness.now < startedAt + 10 * BalancerHarness.SECOND) {
        harness.submit(id, "k" + id, null);
      }
      for (int step = 0; step < 2; step++) {
        harness.advance(20 * BalancerHarness.MILLIS);
        for (; nextAction < harness.actions.size(); nextAction++) {
          if (harness.actions.get(nextAction).isSend()) {
            ids[sent] = harness.actions.get(nextAction).requestId();
            ends[sent++] = harness.now + latency;
          }
        }
        for (; ended < sent && ends[ended] <= harness.now; ended++) {
          if (succeeds) {
            harness.balancer.onEstablished(harness.now, ids[ended], 0, latency);
          } else {
            harness.balancer.onAttemptEnded(harness.now, ids[ended], 0, Outcome.TIMED_OUT, latency, true);
          }
        }
      }
    }
    return (double) ended * latency / (10 * BalancerHarness.SECOND);
  }

  /** Prevents a hundred balancers with one setup in flight each from keeping the shared store overloaded for good. */
  @Test
  void balancerOfALargeFleetRarelyProbesWhileSetupsFail() {
    double small = averageInFlight(newHarness(4), 600 * BalancerHarness.MILLIS, false);
    double large = averageInFlight(newHarness(100), 600 * BalancerHarness.MILLIS, false);
    assertTrue(small > 0.8, small + " in flight, in a fleet of four");
    assertTrue(large > 0 && large < 0.35, large + " in flight, in a fleet of a hundred");
  }

  /** Prevents the loss of one server just after 30 setups there from throttling setups on the other servers. */
  @Test
  void serverThatDropsManyNewConnectionsCountsAsOneFailure() {
    BalancerHarness harness = BalancerHarness.withSafeRequests("a");
    for (long id = 0; id < 30; id++) {
      harness.establish(id, "k" + id, null);
    }
    harness.replaceWithReady("a", "b", "c");
    for (long id = 0; id < 30; id++) {
      harness.balancer.onAttemptEnded(harness.now, id, 0, Outcome.RESET, 10 * BalancerHarness.MILLIS, true);
    }
    long before = harness.count("send");
    for (long id = 100; id < 106; id++) {
      harness.submit(id, "k" + id, null);
    }
    assertEquals(6, harness.count("send") - before, "all are sent to other servers at once");
  }

  @Test
  void balancerOfALargeFleetAcceptsAllRequestsOnceSetupsSucceedAgain() {
    BalancerHarness harness = newHarness(100);
    averageInFlight(harness, 600 * BalancerHarness.MILLIS, false);
    harness.advance(30 * BalancerHarness.SECOND); // retry tokens come back with time
    averageInFlight(harness, 20 * BalancerHarness.MILLIS, true);
    long before = harness.count("refuse");
    averageInFlight(harness, 20 * BalancerHarness.MILLIS, true);
    assertEquals(before, harness.count("refuse"), "no more rejections");
  }
}
