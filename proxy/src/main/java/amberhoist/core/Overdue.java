package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer;
import amberhoist.metrics.Counters;
import java.util.List;

/**
 * The last moment for an answer, when an invocation's time is up or the proxy's. An attempt that is out ends by what
 * may have come of it, so that the balancer's answer promises no more than holds.
 */
final class Overdue {
  private final SlotTable<Invocation> invocations;
  private final EventQueue events;
  private final Attempts attempts;
  private final Answers answers;
  private final Balancer balancer;
  private final Counters counters;

  Overdue(SlotTable<Invocation> invocations, EventQueue events, Attempts attempts, Answers answers, Balancer balancer,
      Counters counters) {
    this.invocations = invocations;
    this.events = events;
    this.attempts = attempts;
    this.answers = answers;
    this.balancer = balancer;
    this.counters = counters;
  }

  /** An invocation's time is up. The balancer answers earlier; this guards the rule should it not. */
  void deadline(long number) {
    Invocation it = invocations.get(number);
    if (it != null && it.balanced) {
      attempts.expire(number, it);
    }
    it = invocations.get(number);
    if (it != null && it.phase != Phase.UP) {
      counters.invariant(!it.balanced, "no answer at the deadline");
      answers.giveUp(number, it, 0);
    }
  }

  /** The proxy ends: no more attempts are made, and whoever is owed an answer gets it. */
  void close(List<Long> owed, long advice) {
    balancer.close(events.now());
    for (long number : owed) {
      Invocation it = invocations.get(number);
      if (it != null && it.balanced) {
        attempts.expire(number, it);
      }
      if (it != null && invocations.get(number) == it) {
        answers.giveUp(number, it, advice);
      }
    }
  }
}
