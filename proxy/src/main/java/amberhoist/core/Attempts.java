package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import java.util.function.LongPredicate;

/**
 * The attempts of invocations: never two out for one, and each ended exactly once. What tells whether one may have run
 * is its phase, never the completion of a write: a reset, an end or a timer may be handled before a completion whose
 * bytes have long been with the provider.
 */
final class Attempts {
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
  private final LongPredicate wanted;

  Attempts(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, Commands commands,
      Counters counters, Telemetry telemetry, Over over, LongPredicate wanted) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.commands = commands;
    this.counters = counters;
    this.telemetry = telemetry;
    this.over = over;
    this.wanted = wanted;
  }

  /** Starts an attempt that is given up at {@code until}; the connection must stand within {@code dial} micros. */
  void start(long number, Invocation it, String provider, long until, long dial) {
    counters.invariant(it.phase == Phase.WAITING && it.provider == SlotTable.NONE, "two calls out");
    counters.add(Count.CALLS);
    long now = events.now();
    it.phase = Phase.CONNECTING;
    it.attempts++;
    it.called = provider;
    it.callStart = now;
    it.callEnd = Math.min(until, it.request.deadline());
    it.provider = commands.dial(number, it.client, provider);
    if (it.provider == SlotTable.NONE) {
      int attempt = it.attempts;
      events.after(() -> {
        if (invocations.get(number) == it && it.attempts == attempt && it.phase == Phase.CONNECTING) {
          end(number, it, Outcome.CONNECT_FAILED);
        }
      });
      return;
    }
    long connection = it.provider;
    it.callTimer = wheel.arm(it.callEnd,
        at -> events.run(at, () -> ended(number, connection, Outcome.TIMED_OUT)));
    it.dialTimer = wheel.arm(Math.min(now + dial, it.callEnd),
        at -> events.run(at, () -> ended(number, connection, Outcome.CONNECT_FAILED)));
  }

  /** The invocation whose attempt is out on this connection, or null when that one is over. */
  Invocation out(long number, long provider) {
    Invocation it = invocations.get(number);
    return it != null && it.provider == provider && it.calling() ? it : null;
  }

  /** The connection stands. What held when the attempt began may hold no longer: who decided is asked once more. */
  void connected(long number, long provider) {
    Invocation it = out(number, provider);
    if (it == null || it.phase != Phase.CONNECTING) {
      return;
    }
    long left = it.callEnd - events.now();
    if (it.balanced && !wanted.test(number)) {
      end(number, it, Outcome.MOOT);
    } else if (left >= 1000) {
      it.phase = Phase.SENT;
      Invocation.cancel(it.dialTimer);
      commands.forward(provider, left / 1000);
    }
  }

  void written(long number, long provider) {
    if (out(number, provider) != null) {
      counters.outcomes().attempted();
    }
  }

  void ended(long number, long provider, Outcome outcome) {
    Invocation it = out(number, provider);
    if (it != null) {
      end(number, it, it.phase == Phase.SENT ? outcome : Outcome.CONNECT_FAILED);
    }
  }

  /** There is no time left for the attempt that is out, if one is: it ends by what may have come of it. */
  void expire(long number, Invocation it) {
    if (it.calling()) {
      end(number, it, it.phase == Phase.SENT ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED);
    }
  }

  /** Ends the attempt that is out, and tells what follows. */
  void end(long number, Invocation it, Outcome outcome) {
    count(outcome);
    telemetry.called(number, it.called, outcome, events.now() - it.callStart);
    boolean unwilling = it.provider == SlotTable.NONE || outcome == Outcome.ERROR || outcome == Outcome.FULL;
    it.cancelCallTimers();
    commands.abandon(it.provider); // before any next attempt: never two out
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
