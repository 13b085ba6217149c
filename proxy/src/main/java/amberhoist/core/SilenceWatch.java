package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/**
 * Watches whether providers still return lines. Guards against a provider that takes lines and returns none:
 * TCP does not tell of a vanished machine. Its clients are told to move, which is right also if it should
 * still be there.
 */
final class SilenceWatch {
  private static final long STALL = 250_000; // a timer this late tells of the proxy, not of a provider

  private final SlotTable<Invocation> invocations;
  private final Wheel wheel;
  private final EventQueue events;
  private final ObjLongConsumer<Invocation> lose;
  private final Map<String, Pulse> pulses = new HashMap<>();
  private Timing timing;

  /** A watch that loses invocations in this way, each with its number. */
  SilenceWatch(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, Timing timing,
      ObjLongConsumer<Invocation> lose) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.timing = timing;
    this.lose = lose;
  }

  /** Goes by other times; a wait that has begun ends by the old ones. */
  void configure(Timing others) {
    timing = others;
  }

  /** An invocation is joined to the provider that was called last. */
  void joined(long number, Invocation it) {
    it.pulse = pulses.computeIfAbsent(it.called, name -> new Pulse());
    it.pulse.join(number, events.now());
  }

  /** An invocation is joined no longer. */
  void ended(long number, Invocation it) {
    it.pulse.end(number);
    if (it.pulse.idle()) {
      pulses.remove(it.called);
    }
  }

  /** A line of the client has been passed to its provider; null for one that is joined no longer. */
  void asked(long time, long number, Invocation it) {
    if (it != null && it.unanswered == 0) {
      it.unanswered = time;
      it.pulse.asked(number);
      watch(number, it, time + timing.quiet());
    }
  }

  /** A line of the provider has come that is no mere figure of its load; null for one that is joined no longer. */
  void returned(long time, long number, Invocation it) {
    if (it != null) {
      it.unanswered = 0;
      it.pulse.returned(number, time);
    }
  }

  private void watch(long number, Invocation it, long due) {
    Invocation.cancel(it.silenceTimer);
    it.silenceTimer = wheel.arm(due, at -> events.run(at, () -> check(number, it, due)));
  }

  private void check(long number, Invocation it, long due) {
    if (invocations.get(number) != it || it.phase != Phase.UP || it.unanswered == 0) {
      return;
    }
    long now = events.now();
    if (now - due > STALL) {
      it.unanswered = now; // this process stood still: what has come meanwhile is still to be read
      watch(number, it, now + timing.silence());
    } else if (it.pulse.silent(now, timing.quiet())) {
      it.pulse.joined().forEach(other -> lose.accept(invocations.get(other), other));
    } else if (now - it.unanswered >= timing.silence()) {
      lose.accept(it, number);
    } else {
      watch(number, it, Math.min(it.unanswered + timing.silence(), now + timing.quiet()));
    }
  }
}
