package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.function.LongSupplier;

/** Connections that stood before the start: the provider that has one is called for it until it answers. */
final class Handovers {
  /** By then one that is not up is lost. */
  static final long MOST = 40_000_000;

  private static final long PAUSE = 250_000; // between calls
  private static final long DOUBT = 2_000_000; // a provider unknown or unwilling for this long

  private final SlotTable<Invocation> invocations;
  private final Wheel wheel;
  private final EventQueue events;
  private final Answers answers;
  private final Attempts attempts;
  private final LongSupplier dial;

  Handovers(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, Answers answers, Attempts attempts,
      LongSupplier dial) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.answers = answers;
    this.attempts = attempts;
    this.dial = dial;
  }

  /** A call for one has ended without UP. */
  void again(long number, Invocation it, boolean unwilling) {
    if (unwilling && events.now() - it.arrived >= DOUBT) {
      answers.fail(number); // guards against waiting for a provider that never was, or never had this connection
      return;
    }
    wheel.arm(events.now() + PAUSE, at -> events.run(at, () -> {
      if (invocations.get(number) == it && it.phase == Phase.WAITING) {
        attempts.start(number, it, it.handover, it.request.deadline(), dial.getAsLong());
      }
    }));
  }
}
