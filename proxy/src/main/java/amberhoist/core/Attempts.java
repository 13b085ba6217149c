package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import java.util.function.LongPredicate;

/**
 * Manages the attempts of invocations: an invocation has at most one in flight, and each ends exactly once. The phase
 * of the invocation decides whether an attempt may have run, never the completion of a write: a reset, an end or a
 * timer may be handled before the completion of a write whose bytes the provider received long ago.
 */
final class Attempts {
  /** Notified when an attempt ended without UP; {@code unwilling} if its provider is unknown or sent ERR or BUSY. */
  interface AttemptListener {
    void onEnded(long invocationId, Invocation invocation, Outcome outcome, boolean unwilling);
  }

  private final SlotTable<Invocation> invocations;
  private final Wheel wheel;
  private final EventQueue events;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final AttemptListener listener;
  private final LongPredicate isStillWanted;

  Attempts(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, Commands commands,
      Counters counters, Telemetry telemetry, AttemptListener listener, LongPredicate isStillWanted) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.commands = commands;
    this.counters = counters;
    this.telemetry = telemetry;
    this.listener = listener;
    this.isStillWanted = isStillWanted;
  }

  /** Starts an attempt that times out at {@code deadline}; the provider must connect within the connect timeout. */
  void start(long invocationId, Invocation invocation, String provider, long deadline, long connectTimeoutMicros) {
    counters.invariant(invocation.phase == Phase.WAITING && invocation.provider == SlotTable.NONE,
        "two attempts in flight");
    counters.add(Count.CALLS);
    long now = events.now();
    invocation.phase = Phase.CONNECTING;
    invocation.attempts++;
    invocation.called = provider;
    invocation.callStart = now;
    invocation.callEnd = Math.min(deadline, invocation.request.deadline());
    invocation.provider = commands.dial(invocationId, invocation.client, provider);
    if (invocation.provider == SlotTable.NONE) {
      int attempt = invocation.attempts;
      events.after(() -> {
        if (invocations.get(invocationId) == invocation && invocation.attempts == attempt
            && invocation.phase == Phase.CONNECTING) {
          end(invocationId, invocation, Outcome.CONNECT_FAILED);
        }
      });
      return;
    }
    long connectionId = invocation.provider;
    invocation.callTimer = wheel.arm(invocation.callEnd,
        at -> events.run(at, () -> ended(invocationId, connectionId, Outcome.TIMED_OUT)));
    invocation.dialTimer = wheel.arm(Math.min(now + connectTimeoutMicros, invocation.callEnd),
        at -> events.run(at, () -> ended(invocationId, connectionId, Outcome.CONNECT_FAILED)));
  }

  /** Returns the invocation whose attempt is in flight on this connection, or null if that attempt has ended. */
  Invocation out(long invocationId, long connectionId) {
    Invocation found = invocations.get(invocationId);
    return found != null && found.provider == connectionId && found.calling() ? found : null;
  }

  /** The provider is connected. The decision for it may be outdated by now, so the balancer is asked to confirm it. */
  void connected(long invocationId, long connectionId) {
    Invocation invocation = out(invocationId, connectionId);
    if (invocation == null || invocation.phase != Phase.CONNECTING) {
      return;
    }
    long remainingMicros = invocation.callEnd - events.now();
    if (invocation.balanced && !isStillWanted.test(invocationId)) {
      end(invocationId, invocation, Outcome.MOOT);
    } else if (remainingMicros >= 1000) {
      invocation.phase = Phase.SENT;
      Invocation.cancel(invocation.dialTimer);
      commands.forward(connectionId, remainingMicros / 1000);
    }
  }

  void written(long invocationId, long connectionId) {
    if (out(invocationId, connectionId) != null) {
      counters.outcomes().attempted();
    }
  }

  void ended(long invocationId, long connectionId, Outcome outcome) {
    Invocation invocation = out(invocationId, connectionId);
    if (invocation != null) {
      end(invocationId, invocation, invocation.phase == Phase.SENT ? outcome : Outcome.CONNECT_FAILED);
    }
  }

  /** Ends the attempt in flight, if any: as timed out if it may have run, otherwise as a failed connect. */
  void expire(long invocationId, Invocation invocation) {
    if (invocation.calling()) {
      end(invocationId, invocation, invocation.phase == Phase.SENT ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED);
    }
  }

  /** Ends the attempt in flight and notifies the listener. */
  void end(long invocationId, Invocation invocation, Outcome outcome) {
    count(outcome);
    telemetry.called(invocationId, invocation.called, outcome, events.now() - invocation.callStart);
    boolean unwilling = invocation.provider == SlotTable.NONE || outcome == Outcome.ERROR || outcome == Outcome.FULL;
    invocation.cancelCallTimers();
    commands.abandon(invocation.provider); // before the next attempt, so that two are never in flight
    invocation.provider = SlotTable.NONE;
    invocation.phase = Phase.WAITING;
    listener.onEnded(invocationId, invocation, outcome, unwilling);
  }

  private void count(Outcome outcome) {
    counters.add(switch (outcome) {
      case ERROR -> Count.CALL_ERROR;
      case FULL -> Count.CALL_BUSY;
      case TIMED_OUT -> Count.CALL_TIMED_OUT;
      case CONNECT_FAILED -> Count.CALL_CONNECT_FAILED;
      case RESET -> Count.CALL_RESET;
      default -> Count.CALL_ABANDONED;
    });
  }
}
