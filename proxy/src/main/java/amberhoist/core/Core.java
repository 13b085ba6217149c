package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.core.Telemetry.Answer;
import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.ListKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Outcomes;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The core: events from the sockets and the clock go in, commands come out, and the balancer decides. It does
 * no I/O and reads no clock; every event brings the time. It belongs to one thread.
 *
 * <p>For each invocation it keeps to the rules whatever the balancer says: one final answer, before the
 * deadline; never two attempts out; every attempt ended exactly once.
 */
public final class Core implements Balancer.Actions {
  private static final double MILLI = 1000; // microseconds

  private final Balancer balancer;
  private final Wheel wheel;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final EventQueue events = new EventQueue();
  private final Attempts attempts;
  private final Answers answers;
  private final Handovers handovers;
  private final Overdue overdue;
  private final SilenceWatch silence;
  private final Stopping stopping;
  private Limits limits;
  private Timing timing;
  private final SlotTable<Invocation> invocations = new SlotTable<>();
  private final Set<String> suspended = new HashSet<>(); // kept apart from what the directory says
  private final LoadReadings.DelaySchedules schedules = new LoadReadings.DelaySchedules();

  /** A core for one balancer, which is started by {@link #start}. */
  public Core(Balancer balancer, Wheel wheel, Commands commands, Counters counters, Limits limits,
      Timing timing, Telemetry telemetry) {
    this.balancer = balancer;
    this.wheel = wheel;
    this.commands = commands;
    this.counters = counters;
    this.limits = limits;
    this.timing = timing;
    this.telemetry = telemetry;
    attempts = new Attempts(invocations, wheel, events, commands, counters, telemetry, this::over,
        number -> balancer.confirms(events.now(), number));
    answers = new Answers(invocations, events, commands, counters, telemetry, balancer);
    overdue = new Overdue(invocations, events, attempts, answers, balancer, counters);
    handovers = new Handovers(invocations, wheel, events, answers, attempts, () -> this.limits.dial());
    silence = new SilenceWatch(invocations, wheel, events, timing, this::lose);
    stopping = new Stopping(invocations, wheel, events, this::move,
        owed -> overdue.close(owed, this.timing.stopAdvice()));
  }

  private void event(long time, Runnable body) {
    events.run(time, body);
  }

  /** Begins the balancer's life with the directory as this proxy last had it. */
  public void start(long time, Settings settings, long seed, List<Server> known) {
    event(time, () -> {
      balancer.start(events.now(), settings, seed, this);
      balancer.members(events.now(), ListKind.STALE, known);
    });
  }

  /** Goes on with other settings; what is out or joined stays as it is. */
  public void configure(long time, Settings settings, Limits others, Timing times) {
    event(time, () -> {
      limits = others;
      timing = times;
      silence.configure(times);
      balancer.configure(events.now(), settings);
    });
  }

  /** News from the directory. */
  public void directory(long time, ListKind kind, List<Server> providers) {
    event(time, () -> balancer.members(events.now(), kind, providers));
  }

  /**
   * A client asks for a connection.
   *
   * @return the invocation's number; it may already have been answered
   */
  public long invocation(long time, long client, Arrival arrival) {
    Invocation it = new Invocation(client, time, arrival.type(), arrival.provider());
    long number = invocations.add(it);
    counters.outcomes().taken(it.type);
    event(time, () -> {
      long wait = Math.max(0, arrival.waitMillis() * 1000 - timing.answerMargin());
      long deadline = events.now() + (it.handover == null ? wait : Math.min(wait, Handovers.MOST));
      it.request = new Request(number, arrival.type(), arrival.tenant(), arrival.key(), deadline,
          arrival.hint(), arrival.group(), arrival.retry(), arrival.returning());
      it.deadlineTimer = wheel.arm(deadline, at -> event(at, () -> overdue.deadline(number)));
      if (!limits.names(arrival)) {
        // Guards against an invocation that no provider can use taking a place, and the trust in one.
        counters.add(Count.MALFORMED);
        fail(number);
      } else if (stopping.refusing()) {
        counters.add(Count.INVOCATIONS);
        refuse(number, timing.stopAdvice());
      } else if (it.handover != null) {
        counters.add(Count.HANDOVERS);
        call(number, it, it.handover, deadline);
      } else {
        counters.add(Count.INVOCATIONS);
        it.balanced = true;
        balancer.request(events.now(), it.request);
      }
    });
    return number;
  }

  private void call(long number, Invocation it, String provider, long until) {
    attempts.start(number, it, provider, until, limits.dial());
  }

  /** A provider connection stands: the first line goes out on it, if there is still time. */
  public void connected(long time, long number, long provider) {
    event(time, () -> attempts.connected(number, provider));
  }

  /** The first line has been written whole to a provider connection. */
  public void written(long time, long number, long provider) {
    event(time, () -> attempts.written(number, provider));
  }

  /**
   * An attempt has ended without UP. A connection that broke before the first line was forwarded on it counts as one
   * that could not be made.
   */
  public void callEnded(long time, long number, long provider, Outcome outcome) {
    event(time, () -> attempts.ended(number, provider, outcome));
  }

  /** What follows the end of a call without UP: the balancer decides, but for a connection handed over. */
  private void over(long number, Invocation it, Outcome outcome, boolean unwilling) {
    if (it.balanced) {
      balancer.ended(events.now(), number, it.attempts - 1, outcome, events.now() - it.callStart, false);
    } else {
      handovers.again(number, it, unwilling);
    }
  }

  /** A provider has answered UP: the client is served, if it is still there. */
  public void up(long time, long number, long provider) {
    event(time, () -> {
      Invocation it = attempts.out(number, provider);
      if (it == null) {
        return;
      }
      counters.add(Count.CALL_UP);
      counters.add(Count.ANSWERED_UP);
      counters.outcomes().ended(it.type, Outcomes.Outcome.SERVED);
      telemetry.called(number, it.called, null, events.now() - it.callStart);
      telemetry.answered(number, Answer.UP, events.now() - it.arrived);
      it.cancelTimers();
      it.phase = Phase.UP;
      it.told = schedules.told(it.called);
      silence.joined(number, it);
      commands.join(it.client, provider);
      if (it.balanced) {
        balancer.opened(events.now(), number, it.attempts - 1, events.now() - it.callStart);
      } else {
        it.balanced = true;
        it.attempts = 1;
        balancer.handover(events.now(), it.request, it.handover);
      }
    });
  }

  /** The invocation joined on this connection, or null. */
  private Invocation joined(long number, long provider) {
    Invocation it = invocations.get(number);
    return it != null && it.provider == provider && it.phase == Phase.UP ? it : null;
  }

  /** A joined connection's provider has sent a LOAD line with this figure; see {@link LoadReadings}. */
  public void load(long time, long number, long provider, double figure) {
    event(time, () -> {
      Invocation it = joined(number, provider);
      if (it == null) {
        return;
      }
      double before = it.told.load();
      boolean delay = it.told.delay(events.now(), figure);
      if (!delay || it.told.load() != before) {
        balancer.load(events.now(), number, it.attempts - 1, it.told.load());
      }
      if (delay) {
        counters.add(Count.DELAYS);
        balancer.delay(events.now(), number, it.attempts - 1, figure * MILLI);
      }
    });
  }

  /** A line of the client has been passed to its provider. */
  public void asked(long time, long number, long provider) {
    silence.asked(time, number, joined(number, provider));
  }

  /** A line of the provider has come that is no mere figure of its load. */
  public void returned(long time, long number, long provider) {
    silence.returned(time, number, joined(number, provider));
  }

  private void lose(Invocation it, long number) {
    counters.add(Count.SILENT);
    telemetry.silent(number, it.called);
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
    silence.ended(number, it);
    invocations.remove(number);
    balancer.ended(events.now(), number, it.attempts - 1, outcome, events.now() - it.callStart, true);
  }

  /** The client has left, before its answer or after. */
  public void clientLeft(long time, long number) {
    left(time, number, Outcomes.Outcome.REFUSED);
  }

  /** The front has told the client that its invocation fails, and ends it. */
  public void clientFailed(long time, long number) {
    left(time, number, Outcomes.Outcome.FAILED);
  }

  private void left(long time, long number, Outcomes.Outcome before) {
    event(time, () -> {
      Invocation it = invocations.get(number);
      if (it == null) {
        return;
      }
      counters.add(Count.CLIENT_LEFT);
      if (it.phase == Phase.UP) {
        end(number, it, Outcome.CANCELLED);
      } else {
        answers.depart(number, it, before);
      }
    });
  }

  @Override
  public void send(long request, String server, long timeout) {
    Invocation it = invocations.get(request);
    counters.invariant(it != null, "a call for an unknown invocation");
    if (it != null) {
      call(request, it, server, events.now() + timeout);
    }
  }

  @Override
  public void refuse(long request, long retryAfter) {
    answers.reject(request, retryAfter);
  }

  @Override
  public void fail(long request) {
    answers.fail(request);
  }

  @Override
  public void move(long request) {
    Invocation it = invocations.get(request);
    if (it != null && it.phase == Phase.UP) {
      counters.add(Count.MOVED);
      commands.move(it.client);
      events.after(() -> {
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
  public void ask(String server) {
    counters.add(Count.REPORTS_ASKED);
    commands.ask(server);
  }

  /** A provider has reported the load asked of it over what it can do, from 0 on. */
  public void report(long time, String provider, double heat) {
    event(time, () -> {
      counters.add(Count.REPORTS);
      balancer.report(events.now(), provider, heat);
    });
  }

  @Override
  public void timer(long at, long token) {
    wheel.arm(at, time -> event(time, () -> balancer.timer(events.now(), token)));
  }

  @Override
  public void log(String message) {
    commands.log(message);
  }

  /**
   * Stops in good order, see {@link Stopping}.
   *
   * @param succeeded whether another process serves in this one's place already
   * @param done is run when nothing is owed and nobody is joined any more
   */
  public void stop(long time, boolean succeeded, Runnable done) {
    event(time, () -> stopping.begin(time, limits.longest(), timing, succeeded, done));
  }

  /** Calls with the key and the provider of each invocation that is joined to one. */
  public void forEachStanding(BiConsumer<String, String> each) {
    invocations.forEach(number -> {
      Invocation it = invocations.get(number);
      if (it.phase == Phase.UP) {
        each.accept(it.request.client(), it.called);
      }
    });
  }

  /** These clients, by their keys, stood at these providers through another process, which now sends them here. */
  public void bind(long time, Map<String, String> clients) {
    event(time, () -> balancer.bind(events.now(), clients));
  }

  /** These providers are taken out by hand from now on, whatever the directory says, and no others. */
  public void suspend(long time, Set<String> providers) {
    event(time, () -> {
      Set.copyOf(suspended).stream().filter(name -> !providers.contains(name)).forEach(name -> {
        suspended.remove(name);
        balancer.resume(events.now(), name);
      });
      providers.stream().filter(suspended::add).forEach(name -> balancer.suspend(events.now(), name));
    });
  }

  /** The providers that are taken out by hand. */
  public Set<String> suspended() {
    return Set.copyOf(suspended);
  }

  /** Whether the balancer passes this provider by now. */
  public boolean avoids(long time, String provider) {
    return balancer.avoids(Math.max(time, events.now()), provider);
  }

  /** How many invocations are held, called or joined. */
  public int size() {
    return invocations.size();
  }
}
