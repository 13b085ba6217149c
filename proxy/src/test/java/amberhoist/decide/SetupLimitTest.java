package amberhoist.decide;

import static amberhoist.decide.BalancerHarness.MILLIS;
import static amberhoist.decide.BalancerHarness.SECOND;
import static amberhoist.decide.BalancerHarness.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.ServerState;
import org.junit.jupiter.api.Test;

/** Limits on the setups that one balancer sends: to cold servers, and while the shared store is overloaded. */
class SetupLimitTest {
  private static final RequestClass REQUEST_CLASS = BalancerHarness.requestClass(Effect.IDEMPOTENT, DedupScope.ALL);

  /**
   * Prevents a cold server from getting no connections at all: one balancer's share of the warm-up budget is far below
   * one connection in the whole warm-up time, so each balancer starts with a random part of a connection.
   */
  @Test
  void balancersWithLessThanOneConnectionOfBudgetTogetherUseAColdServer() {
    int sent = 0;
    for (int seed = 0; seed < 100; seed++) {
      BalancerHarness harness = BalancerHarness.withSafeRequests(seed, "a", "b", "c", "d", "e", "f", "g", "h");
      for (int second = 0; second < 28; second++) {
        if (second == 20) {
          harness.updateServer(server("cold", ServerState.READY, harness.now));
        }
        String server = harness.establish(second, "x" + second, null);
        sent += "cold".equals(server) ? 1 : 0;
        harness.advance(SECOND);
        harness.balancer.onAttemptEnded(harness.now, second, 0, Outcome.SERVED, 0, true);
      }
    }
    assertTrue(sent >= 5, "sent " + sent); // a budget rounded down to whole connections would send none
    assertTrue(sent <= 2.5 * 100 / 8.0 * 8, "sent " + sent + ", more than the cold multiple allows");
  }

  /** Prevents ten servers started at once from getting no more connections together than a single one gets. */
  @Test
  void eachColdServerHasItsOwnWarmUpBudget() {
    int[] sent = new int[2];
    for (int variant = 0; variant < 2; variant++) {
      for (int seed = 0; seed < 60; seed++) {
        BalancerHarness harness = BalancerHarness.withSafeRequests(seed, "a", "b");
        for (int i = 0; i < 40; i++) {
          if (i == 30) {
            for (int cold = 0; cold <= 9 * variant; cold++) {
              harness.updateServer(server("cold" + cold, ServerState.READY, harness.now));
            }
          }
          String server = harness.establish(i, "x" + i, null);
          sent[variant] += server.startsWith("cold") ? 1 : 0;
          harness.advance(500 * MILLIS);
          harness.balancer.onAttemptEnded(harness.now, i, 0, Outcome.SERVED, 0, true);
        }
      }
    }
    assertTrue(sent[1] > 3 * sent[0], sent[0] + " to one cold server, " + sent[1] + " to ten");
  }

  /** Setups that are slow on all servers show an overloaded shared store, even if each of them succeeds in the end. */
  @Test
  void setupsSlowerThanTheTargetAreThrottledLikeFailedOnes() {
    for (long latency : new long[] {20 * MILLIS, 400 * MILLIS}) {
      BalancerHarness harness = BalancerHarness.withSafeRequests("a", "b", "c");
      for (long id = 1; id <= 30; id++) {
        harness.submit(id, "x" + id, "g");
        harness.balancer.onEstablished(harness.now, id, 0, latency);
      }
      boolean sent = harness.submit(40, "y", "g") != null;
      assertEquals(latency < REQUEST_CLASS.setupTargetMicros(), sent, "setup latency in micros: " + latency);
    }
  }
}
