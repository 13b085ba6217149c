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
 * The core of the proxy: takes events from the sockets and the clock, lets the balancer decide, and issues commands.
 * Does no I/O and reads no clock; each event carries its time in microseconds. Confined to one thread. Whatever the
 * balancer decides, each invocation gets one final answer before its deadline, never has two attempts in flight, and
 * each attempt ends exactly once.
 */
public final class Core implements Balancer.Actions {
  private static final double MICROS_PER_MILLI = 1000;

  private final Balancer balancer;
  private final Wheel wheel;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final EventQueue events = new EventQueue();
  private final Attempts attempts;
  private final Answers answers;
  private final Handovers handoverRetries;
  private final Overdue deadlineExpiry;
  private final SilenceWatch silenceDetector;
  private final Stopping gracefulStop;
  private Limits limits;
  private Timing timing;
  private final SlotTable<Invocation> invocations = new SlotTable<>();
  private final Set<String> suspended = new HashSet<>(); // independent of the directory
  private final LoadReadings.DelaySchedules delaySchedules = new LoadReadings.DelaySchedules();

  /** Creates a core for one balancer, which {@link #start} starts. */
  public Core(Balancer balancer, Wheel wheel, Commands commands, Counters counters, Limits limits,
      Timing timing, Telemetry telemetry) {
    this.balancer = balancer;
    this.wheel = wheel;
    this.commands = commands;
    this.counters = counters;
    this.limits = limits;
    this.timing = timing;
    this.telemetry = telemetry;
    attempts = new Attempts(invocations, wheel, events, commands, counters, telemetry, this::onAttemptEnded,
        invocationId -> balancer.confirms(events.now(), invocationId));
    answers = new Answers(invocations, events, commands, counters, telemetry, balancer);
    deadlineExpiry = new Overdue(invocations, events, attempts, answers, balancer, counters);
    handoverRetries = new Handovers(invocations, wheel, events, answers, attempts, () -> this.limits.dial());
    silenceDetector = new SilenceWatch(invocations, wheel, events, timing, this::onSilent);
    gracefulStop = new Stopping(invocations, wheel, events, this::move,
        pending -> deadlineExpiry.close(pending, this.timing.stopAdvice()));
  }

  private void runEvent(long time, Runnable event) {
    events.run(time, event);
  }

  /** Starts the balancer with the providers that this proxy last knew. */
  public void start(long time, Settings settings, long seed, List<Server> knownProviders) {
    runEvent(time, () -> {
      balancer.start(events.now(), settings, seed, this);
      balancer.members(events.now(), ListKind.STALE, knownProviders);
    });
  }

  /** Applies new settings; attempts in flight and established connections are not affected. */
  public void configure(long time, Settings settings, Limits newLimits, Timing newTiming) {
    runEvent(time, () -> {
      limits = newLimits;
      timing = newTiming;
      silenceDetector.configure(newTiming);
      balancer.configure(events.now(), settings);
    });
  }

  /** The directory has sent an update. */
  public void directory(long time, ListKind kind, List<Server> providers) {
    runEvent(time, () -> balancer.members(events.now(), kind, providers));
  }

  /** A client requests a connection; returns the id of the invocation, which may already have been answered. */
  public long invocation(long time, long clientId, Arrival request) {
    Invocation invocation = new Invocation(clientId, time, request.type(), request.provider());
    long invocationId = invocations.add(invocation);
    counters.outcomes().taken(invocation.type);
    runEvent(time, () -> {
      long wait = Math.max(0, request.waitMillis() * 1000 - timing.answerMargin());
      long deadline = events.now() + (invocation.handover == null ? wait : Math.min(wait, Handovers.MOST));
      invocation.request = new Request(invocationId, request.type(), request.tenant(), request.key(), deadline,
          request.hint(), request.group(), request.retry(), request.returning());
      invocation.deadlineTimer = wheel.arm(deadline, at -> runEvent(at, () -> deadlineExpiry.deadline(invocationId)));
      if (!limits.names(request)) {
        // An invocation that no provider can serve would occupy a place at one and cost retry tokens.
        counters.add(Count.MALFORMED);
        fail(invocationId);
      } else if (gracefulStop.refusing()) {
        counters.add(Count.INVOCATIONS);
        refuse(invocationId, timing.stopAdvice());
      } else if (invocation.handover != null) {
        counters.add(Count.HANDOVERS);
        startAttempt(invocationId, invocation, invocation.handover, deadline);
      } else {
        counters.add(Count.INVOCATIONS);
        invocation.balanced = true;
        balancer.request(events.now(), invocation.request);
      }
    });
    return invocationId;
  }

  private void startAttempt(long invocationId, Invocation invocation, String provider, long attemptDeadline) {
    attempts.start(invocationId, invocation, provider, attemptDeadline, limits.dial());
  }

  /** A provider connection is connected: the open request goes out on it if there is still time. */
  public void connected(long time, long invocationId, long connectionId) {
    runEvent(time, () -> attempts.connected(invocationId, connectionId));
  }

  /** The open request has been completely written to a provider connection. */
  public void written(long time, long invocationId, long connectionId) {
    runEvent(time, () -> attempts.written(invocationId, connectionId));
  }

  /** An attempt ended without UP; a connection that broke before the open request was sent counts as not made. */
  public void callEnded(long time, long invocationId, long connectionId, Outcome outcome) {
    runEvent(time, () -> attempts.ended(invocationId, connectionId, outcome));
  }

  /** Lets the balancer decide what follows an attempt without UP, except for a handover, which is retried. */
  private void onAttemptEnded(long invocationId, Invocation invocation, Outcome outcome, boolean unwilling) {
    if (invocation.balanced) {
      balancer.ended(events.now(), invocationId, invocation.attempts - 1, outcome,
          events.now() - invocation.callStart, false);
    } else {
      handoverRetries.again(invocationId, invocation, unwilling);
    }
  }

  /** A provider has answered UP: lines are relayed from now on if the client is still connected. */
  public void up(long time, long invocationId, long connectionId) {
    runEvent(time, () -> {
      Invocation invocation = attempts.out(invocationId, connectionId);
      if (invocation == null) {
        return;
      }
      counters.add(Count.CALL_UP);
      counters.add(Count.ANSWERED_UP);
      counters.outcomes().ended(invocation.type, Outcomes.Outcome.SERVED);
      telemetry.called(invocationId, invocation.called, null, events.now() - invocation.callStart);
      telemetry.answered(invocationId, Answer.UP, events.now() - invocation.arrived);
      invocation.cancelTimers();
      invocation.phase = Phase.UP;
      invocation.told = delaySchedules.told(invocation.called);
      silenceDetector.joined(invocationId, invocation);
      commands.join(invocation.client, connectionId);
      if (invocation.balanced) {
        balancer.opened(events.now(), invocationId, invocation.attempts - 1, events.now() - invocation.callStart);
      } else {
        invocation.balanced = true;
        invocation.attempts = 1;
        balancer.handover(events.now(), invocation.request, invocation.handover);
      }
    });
  }

  /** The invocation established on this provider connection, or null. */
  private Invocation findEstablished(long invocationId, long connectionId) {
    Invocation found = invocations.get(invocationId);
    return found != null && found.provider == connectionId && found.phase == Phase.UP ? found : null;
  }

  /** The provider of an established connection has sent a LOAD line; see {@link LoadReadings}. */
  public void load(long time, long invocationId, long connectionId, double value) {
    runEvent(time, () -> {
      Invocation invocation = findEstablished(invocationId, connectionId);
      if (invocation == null) {
        return;
      }
      double previousLoad = invocation.told.load();
      boolean isDelay = invocation.told.delay(events.now(), value);
      if (!isDelay || invocation.told.load() != previousLoad) {
        balancer.load(events.now(), invocationId, invocation.attempts - 1, invocation.told.load());
      }
      if (isDelay) {
        counters.add(Count.DELAYS);
        balancer.delay(events.now(), invocationId, invocation.attempts - 1, value * MICROS_PER_MILLI);
      }
    });
  }

  /** A line of the client has been relayed to its provider. */
  public void asked(long time, long invocationId, long connectionId) {
    silenceDetector.asked(time, invocationId, findEstablished(invocationId, connectionId));
  }

  /** A line of the provider other than LOAD has been received. */
  public void returned(long time, long invocationId, long connectionId) {
    silenceDetector.returned(time, invocationId, findEstablished(invocationId, connectionId));
  }

  private void onSilent(Invocation invocation, long invocationId) {
    counters.add(Count.SILENT);
    telemetry.silent(invocationId, invocation.called);
    commands.move(invocation.client);
    end(invocationId, invocation, Outcome.RESET);
  }

  /** An established connection has ended or its provider announced its end; the sockets are being closed. */
  public void ended(long time, long invocationId, long connectionId, Outcome outcome) {
    runEvent(time, () -> {
      Invocation invocation = findEstablished(invocationId, connectionId);
      if (invocation != null) {
        counters.add(switch (outcome) {
          case SERVED -> Count.ENDED_SERVED;
          case RESET -> Count.ENDED_RESET;
          default -> Count.ENDED_MOVED_AWAY;
        });
        end(invocationId, invocation, outcome);
      }
    });
  }

  private void end(long invocationId, Invocation invocation, Outcome outcome) {
    invocation.cancelTimers();
    silenceDetector.ended(invocationId, invocation);
    invocations.remove(invocationId);
    balancer.ended(events.now(), invocationId, invocation.attempts - 1, outcome,
        events.now() - invocation.callStart, true);
  }

  /** The client has disconnected, before its final answer or after it. */
  public void clientLeft(long time, long invocationId) {
    endByClient(time, invocationId, Outcomes.Outcome.REFUSED);
  }

  /** The front has answered the client that its invocation failed, and closes the connection. */
  public void clientFailed(long time, long invocationId) {
    endByClient(time, invocationId, Outcomes.Outcome.FAILED);
  }

  private void endByClient(long time, long invocationId, Outcomes.Outcome unansweredOutcome) {
    runEvent(time, () -> {
      Invocation invocation = invocations.get(invocationId);
      if (invocation == null) {
        return;
      }
      counters.add(Count.CLIENT_LEFT);
      if (invocation.phase == Phase.UP) {
        end(invocationId, invocation, Outcome.CANCELLED);
      } else {
        answers.depart(invocationId, invocation, unansweredOutcome);
      }
    });
  }

  @Override
  public void send(long request, String server, long timeout) {
    Invocation invocation = invocations.get(request);
    counters.invariant(invocation != null, "attempt for an unknown invocation");
    if (invocation != null) {
      startAttempt(request, invocation, server, events.now() + timeout);
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
    Invocation invocation = invocations.get(request);
    if (invocation != null && invocation.phase == Phase.UP) {
      counters.add(Count.MOVED);
      commands.move(invocation.client);
      events.after(() -> {
        if (invocations.get(request) == invocation) {
          end(request, invocation, Outcome.CANCELLED);
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

  /** A provider has sent its load report: its utilization, demand over capacity, at least 0. */
  public void report(long time, String provider, double utilization) {
    runEvent(time, () -> {
      counters.add(Count.REPORTS);
      balancer.report(events.now(), provider, utilization);
    });
  }

  @Override
  public void timer(long at, long token) {
    wheel.arm(at, time -> runEvent(time, () -> balancer.timer(events.now(), token)));
  }

  @Override
  public void log(String message) {
    commands.log(message);
  }

  /**
   * Begins a graceful stop ({@link Stopping}); {@code succeeded} if another process already serves in place of
   * this one. Runs {@code done} when no invocation is pending, in flight or established any more.
   */
  public void stop(long time, boolean succeeded, Runnable done) {
    runEvent(time, () -> gracefulStop.begin(time, limits.longest(), timing, succeeded, done));
  }

  /** Calls the action with the client key and the provider name of each established connection. */
  public void forEachStanding(BiConsumer<String, String> action) {
    invocations.forEach(invocationId -> {
      Invocation invocation = invocations.get(invocationId);
      if (invocation.phase == Phase.UP) {
        action.accept(invocation.request.client(), invocation.called);
      }
    });
  }

  /** Maps keys of clients to the providers they had through another process, which now sends the clients here. */
  public void bind(long time, Map<String, String> providersByClient) {
    runEvent(time, () -> balancer.bind(events.now(), providersByClient));
  }

  /** Suspends exactly these providers, whatever the directory says, and resumes all others. */
  public void suspend(long time, Set<String> providers) {
    runEvent(time, () -> {
      Set.copyOf(suspended).stream().filter(name -> !providers.contains(name)).forEach(name -> {
        suspended.remove(name);
        balancer.resume(events.now(), name);
      });
      providers.stream().filter(suspended::add).forEach(name -> balancer.suspend(events.now(), name));
    });
  }

  /** The providers that are suspended. */
  public Set<String> suspended() {
    return Set.copyOf(suspended);
  }

  /** Whether the balancer currently excludes this provider from new requests. */
  public boolean avoids(long time, String provider) {
    return balancer.avoids(Math.max(time, events.now()), provider);
  }

  /** The number of invocations that are pending, in flight or established. */
  public int size() {
    return invocations.size();
  }
}
