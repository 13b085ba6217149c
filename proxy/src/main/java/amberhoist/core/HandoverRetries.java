package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.function.LongSupplier;

/** Retries the provider of each connection that existed before this process started, until the provider answers. */
final class HandoverRetries {
  static final long MAX_WAIT_MICROS = 40_000_000; // a handover that is not established within this time is lost
  private static final long RETRY_INTERVAL_MICROS = 250_000;
  private static final long UNWILLING_TIMEOUT_MICROS = 2_000_000;

  private final SlotTable<Invocation> invocations;
  private final TimerWheel wheel;
  private final EventQueue events;
  private final Answers answers;
  private final Attempts attempts;
  private final LongSupplier connectTimeoutMicros;

  HandoverRetries(SlotTable<Invocation> invocations, TimerWheel wheel, EventQueue events, Answers answers,
      Attempts attempts, LongSupplier connectTimeoutMicros) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.answers = answers;
    this.attempts = attempts;
    this.connectTimeoutMicros = connectTimeoutMicros;
  }

  /** An attempt has ended without UP: schedules the next, or fails the invocation. */
  void retryOrFail(long invocationId, Invocation invocation, boolean unwilling) {
    if (unwilling && events.now() - invocation.arrivedAt >= UNWILLING_TIMEOUT_MICROS) {
      answers.fail(invocationId); // the provider may never have existed, or never had this connection
      return;
    }
    wheel.arm(events.now() + RETRY_INTERVAL_MICROS, at -> events.run(at, () -> {
      if (invocations.get(invocationId) == invocation && invocation.phase == Phase.PENDING) {
        attempts.start(invocationId, invocation, invocation.handoverProvider, invocation.request.deadline(),
            connectTimeoutMicros.getAsLong());
      }
    }));
  }
}
