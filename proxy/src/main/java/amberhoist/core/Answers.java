package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.core.Telemetry.Answer;
import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Outcomes;

/** The final answers of invocations that are not served: each gets one, counted here and nowhere else. */
final class Answers {
  private final SlotTable<Invocation> invocations;
  private final EventQueue events;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final Balancer balancer;

  Answers(SlotTable<Invocation> invocations, EventQueue events, Commands commands, Counters counters,
      Telemetry telemetry, Balancer balancer) {
    this.invocations = invocations;
    this.events = events;
    this.commands = commands;
    this.counters = counters;
    this.telemetry = telemetry;
    this.balancer = balancer;
  }

  /** The balancer, or the core in its place, rejects an invocation that it holds. */
  void reject(long number, long retryAfter) {
    Invocation it = held(number);
    if (it != null) {
      rejected(number, it, retryAfter);
    }
  }

  /** The same with a failure. */
  void fail(long number) {
    Invocation it = held(number);
    if (it != null) {
      counters.add(Count.ANSWERED_FAILURE);
      telemetry.answered(number, Answer.FAILURE, events.now() - it.arrived);
      commands.fail(it.client);
      over(it, Outcomes.Outcome.FAILED);
    }
  }

  private Invocation held(long number) {
    Invocation it = invocations.remove(number);
    counters.invariant(it != null && it.phase == Phase.WAITING, "an answer that is not owed");
    if (it != null) {
      it.cancelTimers();
    }
    return it;
  }

  private void rejected(long number, Invocation it, long retryAfter) {
    counters.add(Count.ANSWERED_REJECTION);
    telemetry.answered(number, Answer.REJECTION, events.now() - it.arrived);
    commands.reject(it.client, retryAfter);
    over(it, Outcomes.Outcome.REFUSED);
  }

  private void over(Invocation it, Outcomes.Outcome outcome) {
    counters.outcomes().ended(it.type, outcome);
  }

  /** The proxy rejects an invocation over the balancer's head: its time is up, or the proxy's. */
  void giveUp(long number, Invocation it, long retryAfter) {
    rejected(number, it, retryAfter);
    end(number, it);
  }

  /** The client is gone, or has been told by its front; nothing is owed any more. */
  void depart(long number, Invocation it, Outcomes.Outcome outcome) {
    over(it, outcome);
    end(number, it);
  }

  private void end(long number, Invocation it) {
    it.cancelTimers();
    invocations.remove(number);
    if (it.balanced) {
      balancer.departed(events.now(), number);
    }
    if (it.calling()) {
      commands.abandon(it.provider);
      counters.add(Count.CALL_ABANDONED);
      if (it.balanced) {
        balancer.ended(events.now(), number, it.attempts - 1, Outcome.CANCELLED, events.now() - it.callStart, true);
      }
    }
  }
}
