package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;

/** The invoker calls of invocations: never two out for one, and each ended exactly once. */
final class Calls {
  /** What is done when a call has ended without UP. */
  interface Over {
    /** The call is over; {@code unwilling} when the provider cannot be there or wants nothing of it. */
    void accept(long number, Invocation it, Outcome outcome, boolean unwilling);
  }

  private final SlotTable<Invocation> invocations;
  private final Wheel wheel;
  private final EventQueue events;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final Over over;

  Calls(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, Commands commands,
      Counters counters, Telemetry telemetry, Over over) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.commands = commands;
    this.counters = counters;
    this.telemetry = telemetry;
    this.over = over;
  }

  /** Starts a call that is given up at {@code until}; the connection must stand within {@code dial} micros. */
  void start(long number, Invocation it, String provider, long until, long dial) {
    counters.invariant(it.phase == Phase.WAITING && it.provider == SlotTable.NONE, "two calls out");
    counters.add(Count.CALLS);
    long now = events.now();
    it.phase = Phase.CALLING;
    it.calls++;
    it.written = false;
    it.called = provider;
    it.callStart = now;
    it.callEnd = Math.min(until, it.request.deadline());
    it.provider = commands.dial(number, it.client, provider);
    if (it.provider == SlotTable.NONE) {
      int call = it.calls;
      events.after(() -> {
        if (invocations.get(number) == it && it.calls == call && it.phase == Phase.CALLING) {
          end(number, it, Outcome.CONNECT_FAILED);
        }
      });
      return;
    }
    long connection = it.provider;
    it.callTimer = wheel.arm(it.callEnd,
        at -> events.run(at, () -> ended(number, connection, Outcome.TIMED_OUT)));
    it.dialTimer = wheel.arm(Math.min(now + dial, it.callEnd), at -> {
      if (!it.written) {
        events.run(at, () -> ended(number, connection, Outcome.CONNECT_FAILED));
      }
    });
  }

  /** The invocation whose call is out on this connection, or null when that call is over. */
  Invocation out(long number, long provider) {
    Invocation it = invocations.get(number);
    return it != null && it.provider == provider && it.phase == Phase.CALLING ? it : null;
  }

  void connected(long number, long provider) {
    Invocation it = out(number, provider);
    long left = it == null ? 0 : it.callEnd - events.now();
    if (left >= 1000) {
      commands.forward(provider, left / 1000);
    }
  }

  void written(long number, long provider) {
    Invocation it = out(number, provider);
    if (it != null) {
      it.written = true;
      counters.outcomes().attempted();
      Invocation.cancel(it.dialTimer);
    }
  }

  void ended(long number, long provider, Outcome outcome) {
    Invocation it = out(number, provider);
    if (it != null) {
      boolean neverRan = !it.written && outcome != Outcome.CANCELLED;
      end(number, it, neverRan ? Outcome.CONNECT_FAILED : outcome);
    }
  }

  /** Ends the call that is out, and tells what follows. */
  void end(long number, Invocation it, Outcome outcome) {
    count(outcome);
    telemetry.called(number, it.called, outcome, events.now() - it.callStart);
    boolean unwilling = it.provider == SlotTable.NONE || outcome == Outcome.ERROR || outcome == Outcome.FULL;
    it.cancelCallTimers();
    commands.abandon(it.provider); // before any next call: never two out
    it.provider = SlotTable.NONE;
    it.phase = Phase.WAITING;
    over.accept(number, it, outcome, unwilling);
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
