package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer;
import amberhoist.metrics.Counters;
import java.util.List;

/**
 * Answers invocations at the last moment: at their deadline, or when the proxy stops. An attempt in flight is ended
 * first, by whether it may have run, so that the balancer's answer promises only what is known.
 */
final class DeadlineExpiry {
  private final SlotTable<Invocation> invocations;
  private final EventQueue events;
  private final Attempts attempts;
  private final Answers answers;
  private final Balancer balancer;
  private final Counters counters;

  DeadlineExpiry(SlotTable<Invocation> invocations, EventQueue events, Attempts attempts, Answers answers,
      Balancer balancer, Counters counters) {
    this.invocations = invocations;
    this.events = events;
    this.attempts = attempts;
    this.answers = answers;
    this.balancer = balancer;
    this.counters = counters;
  }

  /** The deadline of an invocation expired. The balancer should have answered earlier; if not, rejects here. */
  void onDeadline(long invocationId) {
    Invocation invocation = invocations.get(invocationId);
    if (invocation != null && invocation.knownToBalancer) {
      attempts.expire(invocationId, invocation);
    }
    invocation = invocations.get(invocationId);
    if (invocation != null && invocation.phase != Phase.ESTABLISHED) {
      counters.checkInvariant(!invocation.knownToBalancer, "no answer by the deadline");
      answers.rejectUndecided(invocationId, invocation, 0);
    }
  }

  /** The proxy stops: lets the balancer answer its requests, then rejects the invocations still unanswered. */
  void onStop(List<Long> unanswered, long retryAfterMicros) {
    balancer.stopAttempts(events.now());
    for (long invocationId : unanswered) {
      Invocation invocation = invocations.get(invocationId);
      if (invocation != null && invocation.knownToBalancer) {
        attempts.expire(invocationId, invocation);
      }
      if (invocation != null && invocations.get(invocationId) == invocation) {
        answers.rejectUndecided(invocationId, invocation, retryAfterMicros);
      }
    }
  }
}
