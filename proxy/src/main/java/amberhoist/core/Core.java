package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.decide.Balancer.ListKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Balancer;
import amberhoist.front.line.Opening;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Counters;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The core: events from the sockets and the clock go in, commands come out, and the balancer decides. It does
 * no I/O and reads no clock; every event brings the time. It belongs to one thread.
 *
 * <p>For each invocation it keeps to the rules whatever the balancer says: one final answer, before the
 * deadline; never two invoker calls out; every call ended exactly once.
 */
public final class Core implements Balancer.Actions {
  /**
   * Figures of the deployment that only the proxy needs, in microseconds.
   *
   * @param dial a provider connection not standing by then could not connect
   * @param longest the longest time that a client waits
   * @param types the classes that the settings name; none means any
   * @param tenants the tenants that they name; none means any
   */
  public record Limits(long dial, long longest, Set<String> types, Set<String> tenants) {
    boolean names(Opening opening) {
      return (types.isEmpty() || types.contains(opening.type()))
          && (tenants.isEmpty() || opening.tenant() != null && tenants.contains(opening.tenant()));
    }
  }

  /** Answers leave this long before the client gives up: its clock started before the line came in. */
  static final long ANSWER_MARGIN = 10_000;
  /** A client line that no line follows for this long: the provider is silent. Clients send each 2 s. */
  static final long SILENCE = 3_000_000;
  private static final long STALL = 250_000; // a timer this late tells of the proxy, not of a provider
  private static final double MILLI = 1000; // microseconds
  private static final long HANDOVER_PAUSE = 250_000; // between calls for a connection handed over
  private static final long HANDOVER_DOUBT = 2_000_000; // a provider unknown or unwilling for this long
  private static final long HANDOVER_MOST = 40_000_000; // by then it is lost
  private static final long STILL_ROUTED = 450_000; // into a stop: the front may still send clients here
  private static final long STOP_STEP = 20_000; // between steps of moving clients while stopping
  private static final long STOP_ADVICE = 300_000; // by then the front sends a rejected client elsewhere
  private static final long STOP_LONGEST = 3_000_000; // a longer deadline counts as this when stopping
  private static final long STOP_LEAST = 1_000_000; // late arrivals still find someone who answers
  private static final long STOP_HOLD = 1_700_000; // before clients are moved: see stop()
  private static final double STOP_HOLD_PART = 0.55; // of the time there is, where that is short
  private static final long STOP_TAIL = 150_000; // of the 0.7 s until the kill, for the last moves

  private final Balancer balancer;
  private final Wheel wheel;
  private final Commands commands;
  private final Counters counters;
  private Limits limits;
  private final SlotTable<Invocation> invocations = new SlotTable<>();
  private final Map<String, Pulse> pulses = new HashMap<>();
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private boolean busy;
  private long now;
  private boolean refusing;
  private Runnable stopped;

  /** A core for one balancer, which is started by {@link #start}. */
  public Core(Balancer balancer, Wheel wheel, Commands commands, Counters counters, Limits limits) {
    this.balancer = balancer;
    this.wheel = wheel;
    this.commands = commands;
    this.counters = counters;
    this.limits = limits;
  }

  /** Runs an event; one that comes up while another is handled waits until that is done. */
  private void event(long time, Runnable body) {
    events.add(body);
    if (busy) {
      return;
    }
    busy = true;
    now = Math.max(now, time);
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        next.run();
      }
    } finally {
      busy = false;
    }
  }

  /** Begins the balancer's life with the directory as this proxy last had it. */
  public void start(long time, Settings settings, long seed, List<Server> known) {
    event(time, () -> {
      balancer.start(now, settings, seed, this);
      balancer.members(now, ListKind.STALE, known);
    });
  }

  /** Goes on with other settings; what is out or joined stays as it is. */
  public void configure(long time, Settings settings, Limits others) {
    event(time, () -> {
      limits = others;
      balancer.configure(now, settings);
    });
  }

  /** News from the directory. */
  public void directory(long time, ListKind kind, List<Server> providers) {
    event(time, () -> balancer.members(now, kind, providers));
  }

  /**
   * A client's first line has come.
   *
   * @return the invocation's number; it may already have been answered
   */
  public long invocation(long time, long client, Opening opening) {
    Invocation it = new Invocation(client, time, opening.provider());
    long number = invocations.add(it);
    event(time, () -> {
      long wait = Math.max(0, opening.waitMillis() * 1000 - ANSWER_MARGIN);
      long deadline = now + (it.handover == null ? wait : Math.min(wait, HANDOVER_MOST));
      it.request = new Request(number, opening.type(), opening.tenant(), opening.key(), deadline,
          opening.hint(), opening.group(), opening.retry(), opening.returning());
      it.deadlineTimer = wheel.arm(deadline, at -> deadline(at, number));
      if (!limits.names(opening)) {
        // Guards against an invocation that no provider can use taking a place, and the trust in one.
        counters.add(Count.MALFORMED);
        fail(number);
      } else if (refusing) {
        counters.add(Count.INVOCATIONS);
        refuse(number, STOP_ADVICE);
      } else if (it.handover != null) {
        counters.add(Count.HANDOVERS);
        call(number, it, it.handover, deadline);
      } else {
        counters.add(Count.INVOCATIONS);
        it.balanced = true;
        balancer.request(now, it.request);
      }
    });
    return number;
  }

  private void call(long number, Invocation it, String provider, long until) {
    counters.invariant(it.phase == Phase.WAITING && it.provider == SlotTable.NONE, "two calls out");
    counters.add(Count.CALLS);
    it.phase = Phase.CALLING;
    it.calls++;
    it.written = false;
    it.called = provider;
    it.callStart = now;
    it.callEnd = Math.min(until, it.request.deadline());
    it.provider = commands.dial(number, it.client, provider);
    if (it.provider == SlotTable.NONE) {
      int call = it.calls;
      events.add(() -> {
        if (invocations.get(number) == it && it.calls == call && it.phase == Phase.CALLING) {
          endCall(number, it, Outcome.CONNECT_FAILED);
        }
      });
      return;
    }
    long connection = it.provider;
    it.callTimer = wheel.arm(it.callEnd, at -> callEnded(at, number, connection, Outcome.TIMED_OUT));
    it.dialTimer = wheel.arm(Math.min(now + limits.dial(), it.callEnd), at -> {
      if (!it.written) {
        callEnded(at, number, connection, Outcome.CONNECT_FAILED);
      }
    });
  }

  /** The invocation whose call is out on this connection, or null when that call is over. */
  private Invocation calling(long number, long provider) {
    Invocation it = invocations.get(number);
    return it != null && it.provider == provider && it.phase == Phase.CALLING ? it : null;
  }

  /** A provider connection stands: the first line goes out on it, if there is still time. */
  public void connected(long time, long number, long provider) {
    event(time, () -> {
      Invocation it = calling(number, provider);
      if (it != null && it.callEnd - now >= 1000) {
        commands.forward(provider, (it.callEnd - now) / 1000);
      }
    });
  }

  /** The first line has been written whole to a provider connection: from now on the call may have run. */
  public void written(long time, long number, long provider) {
    event(time, () -> {
      Invocation it = calling(number, provider);
      if (it != null) {
        it.written = true;
        Invocation.cancel(it.dialTimer);
      }
    });
  }

  /**
   * An invoker call has ended without UP. A connection that broke before the first line was written whole
   * counts as one that could not be made.
   */
  public void callEnded(long time, long number, long provider, Outcome outcome) {
    event(time, () -> {
      Invocation it = calling(number, provider);
      if (it != null) {
        boolean neverRan = !it.written && outcome != Outcome.CANCELLED;
        endCall(number, it, neverRan ? Outcome.CONNECT_FAILED : outcome);
      }
    });
  }

  private void endCall(long number, Invocation it, Outcome outcome) {
    count(outcome);
    boolean unwilling = it.provider == SlotTable.NONE || outcome == Outcome.ERROR || outcome == Outcome.FULL;
    it.cancelCallTimers();
    commands.abandon(it.provider); // before any next call: never two out
    it.provider = SlotTable.NONE;
    it.phase = Phase.WAITING;
    if (!it.balanced && unwilling && now - it.arrived >= HANDOVER_DOUBT) {
      fail(number); // guards against waiting for a provider that never was, or never had this connection
      return;
    }
    if (!it.balanced) {
      wheel.arm(now + HANDOVER_PAUSE, at -> event(at, () -> {
        if (invocations.get(number) == it && it.phase == Phase.WAITING) {
          call(number, it, it.handover, it.request.deadline());
        }
      }));
      return;
    }
    balancer.ended(now, number, it.calls - 1, outcome, now - it.callStart, false);
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

  /** A provider has answered UP: the client is served, if it is still there. */
  public void up(long time, long number, long provider) {
    event(time, () -> {
      Invocation it = calling(number, provider);
      if (it == null) {
        return;
      }
      counters.add(Count.CALL_UP);
      counters.add(Count.ANSWERED_UP);
      it.cancelTimers();
      it.phase = Phase.UP;
      it.pulse = pulses.computeIfAbsent(it.called, name -> new Pulse());
      it.pulse.join(number, now);
      commands.join(it.client, provider);
      if (it.balanced) {
        balancer.opened(now, number, it.calls - 1, now - it.callStart);
      } else {
        it.balanced = true;
        it.calls = 1;
        balancer.handover(now, it.request, it.handover);
      }
    });
  }

  /** The invocation joined on this connection, or null. */
  private Invocation joined(long number, long provider) {
    Invocation it = invocations.get(number);
    return it != null && it.provider == provider && it.phase == Phase.UP ? it : null;
  }

  /** A joined connection's provider has sent a LOAD line with this figure; see {@link Told}. */
  public void load(long time, long number, long provider, double figure) {
    event(time, () -> {
      Invocation it = joined(number, provider);
      if (it == null) {
        return;
      }
      double before = it.told.load();
      boolean delay = it.told.delay(now, figure);
      if (!delay || it.told.load() != before) {
        balancer.load(now, number, it.calls - 1, it.told.load());
      }
      if (delay) {
        counters.add(Count.DELAYS);
        balancer.delay(now, number, it.calls - 1, figure * MILLI);
      }
    });
  }

  /** A line of the client has been passed to its provider. */
  public void asked(long time, long number, long provider) {
    Invocation it = joined(number, provider);
    if (it != null && it.unanswered == 0) {
      it.unanswered = time;
      it.pulse.asked(number);
      watchSilence(number, it, time + Pulse.QUIET);
    }
  }

  /** A line of the provider has come that is no mere figure of its load. */
  public void returned(long time, long number, long provider) {
    Invocation it = joined(number, provider);
    if (it != null) {
      it.unanswered = 0;
      it.pulse.returned(number, time);
    }
  }

  private void watchSilence(long number, Invocation it, long due) {
    Invocation.cancel(it.silenceTimer);
    it.silenceTimer = wheel.arm(due, at -> event(at, () -> silent(number, it, due)));
  }

  /**
   * Guards against a provider that takes lines and returns none: TCP does not tell of a vanished machine. Its
   * clients are told to move, which is right also if it should still be there.
   */
  private void silent(long number, Invocation it, long due) {
    if (invocations.get(number) != it || it.unanswered == 0) {
      return;
    }
    if (now - due > STALL) {
      it.unanswered = now; // this process stood still: what has come meanwhile is still to be read
      watchSilence(number, it, now + SILENCE);
    } else if (it.pulse.silent(now)) {
      it.pulse.joined().forEach(other -> lose(other, invocations.get(other)));
    } else if (now - it.unanswered >= SILENCE) {
      lose(number, it);
    } else {
      watchSilence(number, it, Math.min(it.unanswered + SILENCE, now + Pulse.QUIET));
    }
  }

  private void lose(long number, Invocation it) {
    counters.add(Count.SILENT);
    commands.move(it.client);
    end(number, it, Outcome.RESET);
  }

  /** A joined connection has ended, or its provider said that it will; the sockets are being closed. */
  public void ended(long time, long number, long provider, Outcome outcome) {
    event(time, () -> {
      Invocation it = joined(number, provider);
      if (it != null) {
        counters.add(switch (outcome) {
          case SERVED -> Count.ENDED_SERVED;
          case RESET -> Count.ENDED_RESET;
          default -> Count.ENDED_MOVED_AWAY;
        });
        end(number, it, outcome);
      }
    });
  }

  private void end(long number, Invocation it, Outcome outcome) {
    it.cancelTimers();
    it.pulse.end(number);
    if (it.pulse.idle()) {
      pulses.remove(it.called);
    }
    invocations.remove(number);
    balancer.ended(now, number, it.calls - 1, outcome, now - it.callStart, true);
  }

  /** The client has left, before its answer or after. */
  public void clientLeft(long time, long number) {
    event(time, () -> {
      Invocation it = invocations.get(number);
      if (it == null) {
        return;
      }
      counters.add(Count.CLIENT_LEFT);
      if (it.phase == Phase.UP) {
        end(number, it, Outcome.CANCELLED);
        return;
      }
      depart(number, it);
    });
  }

  /** Ends an invocation that nothing is owed for any more. */
  private void depart(long number, Invocation it) {
    it.cancelTimers();
    invocations.remove(number);
    if (it.balanced) {
      balancer.departed(now, number);
    }
    if (it.phase == Phase.CALLING) {
      commands.abandon(it.provider);
      counters.add(Count.CALL_ABANDONED);
      if (it.balanced) {
        balancer.ended(now, number, it.calls - 1, Outcome.CANCELLED, now - it.callStart, true);
      }
    }
  }

  /** The last moment for an answer. The balancer answers earlier; this guards the rule should it not. */
  private void deadline(long time, long number) {
    event(time, () -> {
      Invocation it = invocations.get(number);
      if (it != null && it.phase == Phase.CALLING && it.balanced) {
        endCall(number, it, it.written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED);
      }
      it = invocations.get(number);
      if (it != null && it.phase != Phase.UP) {
        counters.invariant(!it.balanced, "no answer at the deadline");
        counters.add(Count.ANSWERED_REJECTION);
        commands.reject(it.client, 0);
        depart(number, it);
      }
    });
  }

  @Override
  public void send(long request, String server, long timeout) {
    Invocation it = invocations.get(request);
    counters.invariant(it != null, "a call for an unknown invocation");
    if (it != null) {
      call(request, it, server, now + timeout);
    }
  }

  @Override
  public void refuse(long request, long retryAfter) {
    answer(request, Count.ANSWERED_REJECTION, it -> commands.reject(it.client, retryAfter));
  }

  @Override
  public void fail(long request) {
    answer(request, Count.ANSWERED_FAILURE, it -> commands.fail(it.client));
  }

  private void answer(long number, Count count, java.util.function.Consumer<Invocation> answer) {
    Invocation it = invocations.remove(number);
    counters.invariant(it != null && it.phase == Phase.WAITING, "an answer that is not owed");
    if (it != null) {
      it.cancelTimers();
      counters.add(count);
      answer.accept(it);
    }
  }

  @Override
  public void move(long request) {
    Invocation it = invocations.get(request);
    if (it != null && it.phase == Phase.UP) {
      counters.add(Count.MOVED);
      commands.move(it.client);
      events.add(() -> {
        if (invocations.get(request) == it) {
          end(request, it, Outcome.CANCELLED);
        }
      });
    }
  }

  @Override
  public void subscribe() {
    commands.watch();
  }

  @Override
  public void timer(long at, long token) {
    wheel.arm(at, time -> event(time, () -> balancer.timer(now, token)));
  }

  @Override
  public void log(String message) {
    commands.log(message);
  }

  /**
   * Stops in good order: serves on while the front may still send here, then moves all standing clients at an
   * even pace, so that they do not all come back to the others at once, and rejects what still arrives. The
   * moves begin late: where proxies are restarted in turn, the one before may only just be starting, and a
   * client that nobody takes in is worse off than one that stays.
   *
   * @param done is run when nothing is owed and nobody is joined any more
   */
  public void stop(long time, Runnable done) {
    stopped = done;
    long longest = Math.min(limits.longest(), STOP_LONGEST);
    long hold = Math.max(STILL_ROUTED, Math.min(STOP_HOLD, (long) (STOP_HOLD_PART * longest)));
    long end = time + longest + STOP_TAIL;
    wheel.arm(time + STILL_ROUTED, at -> event(at, () -> refusing = true));
    wheel.arm(time + hold, at -> stopStep(at, Math.min(end, time + STOP_LEAST), end));
  }

  private void stopStep(long time, long least, long end) {
    event(time, () -> {
      List<Long> joined = new ArrayList<>();
      List<Long> owed = new ArrayList<>();
      invocations.forEach(n -> (invocations.get(n).phase == Phase.UP ? joined : owed).add(n));
      boolean last = now + STOP_STEP >= end;
      long steps = Math.max(1, (end - now) / STOP_STEP);
      long moves = last ? joined.size() : (joined.size() + steps - 1) / steps;
      joined.stream().limit(moves).forEach(this::move);
      if (last) {
        owed.forEach(this::giveUp);
      }
    });
    if (invocations.size() == 0 && time >= least) {
      stopped.run();
    } else {
      wheel.arm(time + STOP_STEP, at -> stopStep(at, least, end));
    }
  }

  /** Rejects what is still owed an answer when the proxy stops. */
  private void giveUp(long number) {
    Invocation it = invocations.get(number);
    counters.add(Count.ANSWERED_REJECTION);
    commands.reject(it.client, STOP_ADVICE);
    depart(number, it);
  }

  /** How many invocations are held, called or joined. */
  public int size() {
    return invocations.size();
  }
}
