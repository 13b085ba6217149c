package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/**
 * Detects providers that take lines and return none, which TCP does not report when a machine has vanished. Their
 * clients are moved, which does no harm if the provider is still there.
 */
final class SilenceWatch {
  private static final long STALL_MICROS = 250_000; // a timer this late shows a stall of the proxy, not of a provider

  private final SlotTable<Invocation> invocations;
  private final Wheel wheel;
  private final EventQueue events;
  private final ObjLongConsumer<Invocation> onSilent;
  private final Map<String, Pulse> livenessByProvider = new HashMap<>();
  private Timing timing;

  /** Creates a detector that calls {@code onSilent} with each invocation at a silent provider, and its id. */
  SilenceWatch(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, Timing timing,
      ObjLongConsumer<Invocation> onSilent) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.timing = timing;
    this.onSilent = onSilent;
  }

  /** Applies new timeouts; a timer that is already armed keeps its time. */
  void configure(Timing newTiming) {
    timing = newTiming;
  }

  /** An invocation is established with the provider of its latest attempt. */
  void joined(long invocationId, Invocation invocation) {
    invocation.pulse = livenessByProvider.computeIfAbsent(invocation.called, name -> new Pulse());
    invocation.pulse.join(invocationId, events.now());
  }

  /** An established invocation has ended. */
  void ended(long invocationId, Invocation invocation) {
    invocation.pulse.end(invocationId);
    if (invocation.pulse.idle()) {
      livenessByProvider.remove(invocation.called);
    }
  }

  /** A line of the client has been relayed to its provider; null if the invocation is no longer established. */
  void asked(long time, long invocationId, Invocation invocation) {
    if (invocation != null && invocation.unanswered == 0) {
      invocation.unanswered = time;
      invocation.pulse.asked(invocationId);
      armTimer(invocationId, invocation, time + timing.quiet());
    }
  }

  /** A line of the provider other than LOAD has been received; null if the invocation is no longer established. */
  void returned(long time, long invocationId, Invocation invocation) {
    if (invocation != null) {
      invocation.unanswered = 0;
      invocation.pulse.returned(invocationId, time);
    }
  }

  private void armTimer(long invocationId, Invocation invocation, long dueAt) {
    Invocation.cancel(invocation.silenceTimer);
    invocation.silenceTimer = wheel.arm(dueAt, at -> events.run(at, () -> check(invocationId, invocation, dueAt)));
  }

  private void check(long invocationId, Invocation invocation, long dueAt) {
    if (invocations.get(invocationId) != invocation || invocation.phase != Phase.UP || invocation.unanswered == 0) {
      return;
    }
    long now = events.now();
    if (now - dueAt > STALL_MICROS) {
      invocation.unanswered = now; // this process stalled: lines received meanwhile are still to be read
      armTimer(invocationId, invocation, now + timing.silence());
    } else if (invocation.pulse.silent(now, timing.quiet())) {
      invocation.pulse.joined().forEach(id -> onSilent.accept(invocations.get(id), id));
    } else if (now - invocation.unanswered >= timing.silence()) {
      onSilent.accept(invocation, invocationId);
    } else {
      armTimer(invocationId, invocation, Math.min(invocation.unanswered + timing.silence(), now + timing.quiet()));
    }
  }
}
