package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer.Outcome;
import java.util.function.LongSupplier;

/**
 * Retries the provider of each connection that existed before this process started, until the provider answers UP or
 * the deadline. Such an invocation fails earlier only on evidence that the provider does not have the connection: the
 * provider says so, or the directory has answered this process and does not list the provider. The list of the
 * configuration is no such evidence, since it may be out of date.
 */
final class HandoverRetries {
  static final long MAX_WAIT_MICROS = 40_000_000; // a handover that is not established within this time is lost
  private static final long RETRY_INTERVAL_MICROS = 250_000;
  private static final long REFUSAL_TIMEOUT_MICROS = 2_000_000;

  private final SlotTable<Invocation> invocations;
  private final TimerWheel wheel;
  private final EventQueue events;
  private final Commands commands;
  private final Telemetry telemetry;
  private final Answers answers;
  private final Attempts attempts;
  private final LongSupplier connectTimeoutMicros;
  private boolean directoryHasAnswered;

  HandoverRetries(SlotTable<Invocation> invocations, TimerWheel wheel, EventQueue events, Commands commands,
      Telemetry telemetry, Answers answers, Attempts attempts, LongSupplier connectTimeoutMicros) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.commands = commands;
    this.telemetry = telemetry;
    this.answers = answers;
    this.attempts = attempts;
    this.connectTimeoutMicros = connectTimeoutMicros;
  }

  /** The directory has sent the list or changes to it: from now on a provider without an address is not listed. */
  void onDirectoryAnswered() {
    directoryHasAnswered = true;
  }

  /** An attempt has ended without UP: schedules the next, or fails the invocation. */
  void retryOrFail(long invocationId, Invocation invocation, Outcome outcome) {
    String refusal = refusalReason(invocation.handoverProvider, outcome);
    if (refusal != null && events.now() - invocation.arrivedAt >= REFUSAL_TIMEOUT_MICROS) {
      telemetry.onHandoverFailed(invocationId, invocation.handoverProvider, refusal);
      answers.fail(invocationId);
      return;
    }
    wheel.arm(events.now() + RETRY_INTERVAL_MICROS, at -> events.run(at, () -> {
      if (invocations.get(invocationId) == invocation && invocation.phase == Phase.PENDING) {
        attempts.start(invocationId, invocation, invocation.handoverProvider, invocation.request.deadline(),
            connectTimeoutMicros.getAsLong());
      }
    }));
  }

  /** The evidence that the provider does not have the connection; null if there is none. */
  private String refusalReason(String provider, Outcome outcome) {
    if (outcome == Outcome.ERROR || outcome == Outcome.FULL) {
      return "the provider refuses it";
    }
    return directoryHasAnswered && !commands.hasAddress(provider) ? "the directory does not list the provider" : null;
  }
}
