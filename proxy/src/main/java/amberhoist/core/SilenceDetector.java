package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/**
 * Detects providers that take lines and return none, which TCP does not report when a machine has vanished. Their
 * clients are moved, which does no harm if the provider is still there.
 */
final class SilenceDetector {
  private static final long STALL_MICROS = 250_000; // a timer this late shows a stall of the proxy, not of a provider

  private final SlotTable<Invocation> invocations;
  private final TimerWheel wheel;
  private final EventQueue events;
  private final Commands commands;
  private final ObjLongConsumer<Invocation> onSilent;
  private final Map<String, ProviderLiveness> livenessByProvider = new HashMap<>();
  private Timing timing;

  /** Creates a detector that calls {@code onSilent} with each invocation at a silent provider, and its id. */
  SilenceDetector(SlotTable<Invocation> invocations, TimerWheel wheel, EventQueue events, Commands commands,
      Timing timing, ObjLongConsumer<Invocation> onSilent) {
    this.commands = commands;
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
  void onEstablished(long invocationId, Invocation invocation) {
    invocation.liveness = livenessByProvider.computeIfAbsent(invocation.providerName, name -> new ProviderLiveness());
    invocation.liveness.addConnection(invocationId, events.now());
  }

  /** An established invocation has ended. */
  void onEnded(long invocationId, Invocation invocation) {
    invocation.liveness.removeConnection(invocationId);
    if (invocation.liveness.isEmpty()) {
      livenessByProvider.remove(invocation.providerName);
    }
  }

  /** A line of the client has been relayed to its provider; null if the invocation is no longer established. */
  void onClientLine(long time, long invocationId, Invocation invocation) {
    if (invocation != null && invocation.unansweredSince == 0) {
      invocation.unansweredSince = time;
      invocation.liveness.onClientLine(invocationId);
      armTimer(invocationId, invocation, time + timing.sharedSilenceTimeoutMicros());
    }
  }

  /** A line of the provider other than LOAD has been received; null if the invocation is no longer established. */
  void onProviderLine(long time, long invocationId, Invocation invocation) {
    if (invocation != null) {
      invocation.unansweredSince = 0;
      invocation.liveness.onProviderLine(invocationId, time);
    }
  }

  private boolean isHeldBack(long invocationId) {
    return commands.isHeldBack(invocations.get(invocationId).connectionId);
  }

  private void armTimer(long invocationId, Invocation invocation, long dueAt) {
    Invocation.cancel(invocation.silenceTimer);
    invocation.silenceTimer = wheel.arm(dueAt, at -> events.run(at, () -> check(invocationId, invocation, dueAt)));
  }

  private void check(long invocationId, Invocation invocation, long dueAt) {
    if (invocations.get(invocationId) != invocation || invocation.phase != Phase.ESTABLISHED
        || invocation.unansweredSince == 0) {
      return;
    }
    long now = events.now();
    if (now - dueAt > STALL_MICROS || isHeldBack(invocationId)) {
      // this process stalled, or the client reads too slowly: lines that have come may still be unread
      invocation.unansweredSince = now;
      armTimer(invocationId, invocation, now + timing.silenceTimeoutMicros());
    } else if (invocation.liveness.isSilent(now, timing.sharedSilenceTimeoutMicros(), this::isHeldBack)) {
      invocation.liveness.invocationIds().forEach(id -> onSilent.accept(invocations.get(id), id));
    } else if (now - invocation.unansweredSince >= timing.silenceTimeoutMicros()) {
      onSilent.accept(invocation, invocationId);
    } else {
      armTimer(invocationId, invocation,
          Math.min(invocation.unansweredSince + timing.silenceTimeoutMicros(),
              now + timing.sharedSilenceTimeoutMicros()));
    }
  }
}
