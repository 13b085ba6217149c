package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.core.Telemetry.Answer;
import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.SetupOutcomes;

/** Sends the final answers of invocations that are not served. Each gets one, which is counted only here. */
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

  /** Rejects a pending invocation, as the balancer or the core decided; a time of 0 gives no retry-after. */
  void reject(long invocationId, long retryAfterMicros) {
    Invocation invocation = takePending(invocationId);
    if (invocation != null) {
      sendRejection(invocationId, invocation, retryAfterMicros);
    }
  }

  /** Fails a pending invocation, as the balancer or the core decided. */
  void fail(long invocationId) {
    Invocation invocation = takePending(invocationId);
    if (invocation != null) {
      counters.increment(Count.ANSWERED_FAILURE);
      telemetry.onAnswered(invocationId, Answer.FAILURE, events.now() - invocation.arrivedAt);
      commands.fail(invocation.clientId);
      countOutcome(invocation, SetupOutcomes.Outcome.FAILED);
    }
  }

  /** Removes and returns the invocation, which must be pending; null if there is none of this id. */
  private Invocation takePending(long invocationId) {
    Invocation invocation = invocations.remove(invocationId);
    counters.checkInvariant(invocation != null && invocation.phase == Phase.PENDING, "answered while not pending");
    if (invocation != null) {
      invocation.cancelTimers();
    }
    return invocation;
  }

  private void sendRejection(long invocationId, Invocation invocation, long retryAfterMicros) {
    counters.increment(Count.ANSWERED_REJECTION);
    telemetry.onAnswered(invocationId, Answer.REJECTION, events.now() - invocation.arrivedAt);
    commands.reject(invocation.clientId, retryAfterMicros);
    countOutcome(invocation, SetupOutcomes.Outcome.REFUSED);
  }

  private void countOutcome(Invocation invocation, SetupOutcomes.Outcome outcome) {
    counters.setupOutcomes().countEnded(invocation.type, outcome);
  }

  /** Rejects an invocation without a decision of the balancer: its deadline expired, or the proxy stops. */
  void rejectUndecided(long invocationId, Invocation invocation, long retryAfterMicros) {
    sendRejection(invocationId, invocation, retryAfterMicros);
    end(invocationId, invocation);
  }

  /** Ends an invocation without an answer: its client has disconnected, or was answered by its front. */
  void endUnanswered(long invocationId, Invocation invocation, SetupOutcomes.Outcome outcome) {
    countOutcome(invocation, outcome);
    end(invocationId, invocation);
  }

  private void end(long invocationId, Invocation invocation) {
    invocation.cancelTimers();
    invocations.remove(invocationId);
    if (invocation.knownToBalancer) {
      balancer.onClientDisconnected(events.now(), invocationId);
    }
    if (invocation.hasAttemptInFlight()) {
      commands.abandon(invocation.connectionId);
      counters.increment(Count.CALL_ABANDONED);
      if (invocation.knownToBalancer) {
        balancer.onAttemptEnded(events.now(), invocationId, invocation.attemptCount - 1, Outcome.CANCELLED,
            events.now() - invocation.attemptStartedAt, true);
      }
    }
  }
}
