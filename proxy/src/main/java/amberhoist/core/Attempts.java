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
  /** Notified when an attempt ended without UP. */
  interface AttemptListener {
    void onEnded(long invocationId, Invocation invocation, Outcome outcome);
  }

  private final SlotTable<Invocation> invocations;
  private final TimerWheel wheel;
  private final EventQueue events;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final AttemptListener listener;
  private final LongPredicate isStillWanted;

  Attempts(SlotTable<Invocation> invocations, TimerWheel wheel, EventQueue events, Commands commands,
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
    counters.checkInvariant(invocation.phase == Phase.PENDING && invocation.connectionId == SlotTable.NONE,
        "two attempts in flight");
    counters.increment(Count.CALLS);
    long now = events.now();
    invocation.phase = Phase.CONNECTING;
    invocation.attemptCount++;
    invocation.providerName = provider;
    invocation.attemptStartedAt = now;
    telemetry.onAttemptStarted(invocationId, provider, invocation.attemptCount);
    invocation.attemptDeadline = Math.min(deadline, invocation.request.deadline());
    invocation.connectionId = commands.connect(invocationId, invocation.clientId, provider);
    if (invocation.connectionId == SlotTable.NONE) {
      int attempt = invocation.attemptCount;
      events.runLater(() -> {
        if (invocations.get(invocationId) == invocation && invocation.attemptCount == attempt
            && invocation.phase == Phase.CONNECTING) {
          end(invocationId, invocation, Outcome.CONNECT_FAILED);
        }
      });
      return;
    }
    long connectionId = invocation.connectionId;
    invocation.attemptTimer = wheel.arm(invocation.attemptDeadline,
        at -> events.run(at, () -> onEnded(invocationId, connectionId, Outcome.TIMED_OUT)));
    invocation.connectTimer = wheel.arm(Math.min(now + connectTimeoutMicros, invocation.attemptDeadline),
        at -> events.run(at, () -> onEnded(invocationId, connectionId, Outcome.CONNECT_FAILED)));
  }

  /** Returns the invocation whose attempt is in flight on this connection, or null if that attempt has ended. */
  Invocation findInFlight(long invocationId, long connectionId) {
    Invocation found = invocations.get(invocationId);
    return found != null && found.connectionId == connectionId && found.hasAttemptInFlight() ? found : null;
  }

  /** The provider is connected. The decision for it may be outdated by now, so the balancer is asked to confirm it. */
  void onConnected(long invocationId, long connectionId) {
    Invocation invocation = findInFlight(invocationId, connectionId);
    if (invocation == null || invocation.phase != Phase.CONNECTING) {
      return;
    }
    long remainingMicros = invocation.attemptDeadline - events.now();
    if (invocation.knownToBalancer && !isStillWanted.test(invocationId)) {
      end(invocationId, invocation, Outcome.MOOT);
    } else if (remainingMicros >= 1000) {
      invocation.phase = Phase.SENT;
      Invocation.cancel(invocation.connectTimer);
      commands.forwardOpenRequest(connectionId, remainingMicros / 1000);
    }
  }

  void onOpenRequestWritten(long invocationId, long connectionId) {
    if (findInFlight(invocationId, connectionId) != null) {
      counters.setupOutcomes().countAttempt();
    }
  }

  void onEnded(long invocationId, long connectionId, Outcome outcome) {
    Invocation invocation = findInFlight(invocationId, connectionId);
    if (invocation != null) {
      end(invocationId, invocation, invocation.phase == Phase.SENT ? outcome : Outcome.CONNECT_FAILED);
    }
  }

  /** Ends the attempt in flight, if any: as timed out if it may have run, otherwise as a failed connect. */
  void expire(long invocationId, Invocation invocation) {
    if (invocation.hasAttemptInFlight()) {
      end(invocationId, invocation, invocation.phase == Phase.SENT ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED);
    }
  }

  /** Ends the attempt in flight and notifies the listener. */
  void end(long invocationId, Invocation invocation, Outcome outcome) {
    count(outcome);
    telemetry.onAttemptEnded(invocationId, invocation.providerName, outcome,
        events.now() - invocation.attemptStartedAt);
    invocation.cancelAttemptTimers();
    commands.abandon(invocation.connectionId); // before the next attempt, so that two are never in flight
    invocation.connectionId = SlotTable.NONE;
    invocation.phase = Phase.PENDING;
    listener.onEnded(invocationId, invocation, outcome);
  }

  private void count(Outcome outcome) {
    counters.increment(switch (outcome) {
      case ERROR -> Count.CALL_ERROR;
      case FULL -> Count.CALL_BUSY;
      case TIMED_OUT -> Count.CALL_TIMED_OUT;
      case CONNECT_FAILED -> Count.CALL_CONNECT_FAILED;
      case RESET -> Count.CALL_RESET;
      default -> Count.CALL_ABANDONED;
    });
  }
}
