package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import amberhoist.core.Telemetry.Answer;
import amberhoist.core.load.LoadLineClassifier;
import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.SetupOutcomes;
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
  private final TimerWheel wheel;
  private final Commands commands;
  private final Counters counters;
  private final Telemetry telemetry;
  private final EventQueue events = new EventQueue();
  private final Attempts attempts;
  private final Answers answers;
  private final HandoverRetries handoverRetries;
  private final DeadlineExpiry deadlineExpiry;
  private final SilenceDetector silenceDetector;
  private final GracefulStop gracefulStop;
  private Limits limits;
  private Timing timing;
  private final SlotTable<Invocation> invocations = new SlotTable<>();
  private final Set<String> suspended = new HashSet<>(); // independent of the directory
  private final LoadLineClassifier.DelaySchedules delaySchedules = new LoadLineClassifier.DelaySchedules();

  /** Creates a core for one balancer, which {@link #start} starts. */
  public Core(Balancer balancer, TimerWheel wheel, Commands commands, Counters counters, Limits limits,
      Timing timing, Telemetry telemetry) {
    this.balancer = balancer;
    this.wheel = wheel;
    this.commands = commands;
    this.counters = counters;
    this.limits = limits;
    this.timing = timing;
    this.telemetry = telemetry;
    attempts = new Attempts(invocations, wheel, events, commands, counters, telemetry, this::onAttemptEnded,
        invocationId -> balancer.shouldSend(events.now(), invocationId));
    answers = new Answers(invocations, events, commands, counters, telemetry, balancer);
    deadlineExpiry = new DeadlineExpiry(invocations, events, attempts, answers, balancer, counters);
    handoverRetries = new HandoverRetries(invocations, wheel, events, commands, telemetry, answers, attempts,
        () -> this.limits.connectTimeoutMicros());
    silenceDetector = new SilenceDetector(invocations, wheel, events, commands, timing, this::onSilent);
    gracefulStop = new GracefulStop(invocations, wheel, events, this::move,
        pending -> deadlineExpiry.onStop(pending, this.timing.stopRetryAfterMicros()));
  }

  private void runEvent(long time, Runnable event) {
    events.run(time, event);
  }

  /** Starts the balancer with the providers that this proxy last knew. */
  public void start(long time, Settings settings, long seed, List<Server> knownProviders) {
    runEvent(time, () -> {
      balancer.start(events.now(), settings, seed, this);
      balancer.onServerList(events.now(), ListUpdateKind.STALE, knownProviders);
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
  public void onDirectoryUpdate(long time, ListUpdateKind kind, List<Server> providers) {
    runEvent(time, () -> {
      if (kind == ListUpdateKind.CHANGES || kind == ListUpdateKind.FULL) {
        handoverRetries.onDirectoryAnswered();
      }
      balancer.onServerList(events.now(), kind, providers);
    });
  }

  /** A client requests a connection; returns the id of the invocation, which may already have been answered. */
  public long onInvocation(long time, long clientId, InvocationRequest request) {
    Invocation invocation = new Invocation(clientId, time, request.type(), request.handoverProvider());
    long invocationId = invocations.add(invocation);
    counters.setupOutcomes().countRequested(invocation.type);
    runEvent(time, () -> {
      long waitMicros = Math.max(0, request.waitMillis() * 1000 - timing.answerMarginMicros());
      long deadline = events.now() + (invocation.handoverProvider == null ? waitMicros
          : Math.min(waitMicros, HandoverRetries.MAX_WAIT_MICROS));
      invocation.request = new Request(invocationId, request.type(), request.tenant(), request.key(), deadline,
          request.loadHint(), request.group(), request.isRetry(), request.isReturning());
      invocation.deadlineTimer = wheel.arm(deadline, at -> runEvent(at, () -> deadlineExpiry.onDeadline(invocationId)));
      if (!limits.allows(request)) {
        // An invocation that no provider can serve would occupy a place at one and cost retry tokens.
        counters.increment(Count.MALFORMED);
        fail(invocationId);
      } else if (gracefulStop.isRejecting()) {
        counters.increment(Count.INVOCATIONS);
        reject(invocationId, timing.stopRetryAfterMicros());
      } else if (invocation.handoverProvider != null) {
        counters.increment(Count.HANDOVERS);
        startAttempt(invocationId, invocation, invocation.handoverProvider, deadline);
      } else {
        counters.increment(Count.INVOCATIONS);
        invocation.knownToBalancer = true;
        balancer.onRequest(events.now(), invocation.request);
      }
    });
    return invocationId;
  }

  private void startAttempt(long invocationId, Invocation invocation, String provider, long attemptDeadline) {
    attempts.start(invocationId, invocation, provider, attemptDeadline, limits.connectTimeoutMicros());
  }

  /** A provider connection is connected: the open request goes out on it if there is still time. */
  public void onConnected(long time, long invocationId, long connectionId) {
    runEvent(time, () -> attempts.onConnected(invocationId, connectionId));
  }

  /** The open request has been completely written to a provider connection. */
  public void onOpenRequestWritten(long time, long invocationId, long connectionId) {
    runEvent(time, () -> attempts.onOpenRequestWritten(invocationId, connectionId));
  }

  /** An attempt ended without UP; a connection that broke before the open request was sent counts as not made. */
  public void onAttemptFailed(long time, long invocationId, long connectionId, Outcome outcome) {
    runEvent(time, () -> attempts.onEnded(invocationId, connectionId, outcome));
  }

  /** Lets the balancer decide what follows an attempt without UP, except for a handover, which is retried. */
  private void onAttemptEnded(long invocationId, Invocation invocation, Outcome outcome) {
    if (invocation.knownToBalancer) {
      balancer.onAttemptEnded(events.now(), invocationId, invocation.attemptCount - 1, outcome,
          events.now() - invocation.attemptStartedAt, false);
    } else {
      handoverRetries.retryOrFail(invocationId, invocation, outcome);
    }
  }

  /** A provider has answered UP: lines are relayed from now on if the client is still connected. */
  public void onUp(long time, long invocationId, long connectionId) {
    runEvent(time, () -> {
      Invocation invocation = attempts.findInFlight(invocationId, connectionId);
      if (invocation == null) {
        return;
      }
      counters.increment(Count.CALL_UP);
      counters.increment(Count.ANSWERED_UP);
      counters.setupOutcomes().countEnded(invocation.type, SetupOutcomes.Outcome.SERVED);
      telemetry.onAttemptEnded(invocationId, invocation.providerName, null, events.now() - invocation.attemptStartedAt);
      telemetry.onAnswered(invocationId, Answer.UP, events.now() - invocation.arrivedAt);
      invocation.cancelTimers();
      invocation.phase = Phase.ESTABLISHED;
      invocation.loadClassifier = delaySchedules.newClassifier(invocation.providerName);
      silenceDetector.onEstablished(invocationId, invocation);
      commands.relay(invocation.clientId, connectionId);
      if (invocation.knownToBalancer) {
        balancer.onEstablished(events.now(), invocationId, invocation.attemptCount - 1,
            events.now() - invocation.attemptStartedAt);
      } else {
        invocation.knownToBalancer = true;
        invocation.attemptCount = 1;
        balancer.onHandover(events.now(), invocation.request, invocation.handoverProvider);
      }
    });
  }

  /** The invocation established on this provider connection, or null. */
  private Invocation findEstablished(long invocationId, long connectionId) {
    Invocation found = invocations.get(invocationId);
    return found != null && found.connectionId == connectionId && found.phase == Phase.ESTABLISHED ? found : null;
  }

  /** The provider of an established connection has sent a LOAD line; see {@link LoadLineClassifier}. */
  public void onLoadLine(long time, long invocationId, long connectionId, double value) {
    runEvent(time, () -> {
      Invocation invocation = findEstablished(invocationId, connectionId);
      if (invocation == null) {
        return;
      }
      double previousLoad = invocation.loadClassifier.load();
      boolean isDelay = invocation.loadClassifier.recordAndTestDelay(events.now(), value);
      if (!isDelay || invocation.loadClassifier.load() != previousLoad) {
        balancer.onLoad(events.now(), invocationId, invocation.attemptCount - 1, invocation.loadClassifier.load());
      }
      if (isDelay) {
        counters.increment(Count.DELAYS);
        balancer.onQueueingDelay(events.now(), invocationId, invocation.attemptCount - 1, value * MICROS_PER_MILLI);
      }
    });
  }

  /** A line of the client has been relayed to its provider. */
  public void onClientLine(long time, long invocationId, long connectionId) {
    silenceDetector.onClientLine(time, invocationId, findEstablished(invocationId, connectionId));
  }

  /** A line of the provider other than LOAD has been received. */
  public void onProviderLine(long time, long invocationId, long connectionId) {
    silenceDetector.onProviderLine(time, invocationId, findEstablished(invocationId, connectionId));
  }

  private void onSilent(Invocation invocation, long invocationId) {
    counters.increment(Count.SILENT);
    telemetry.onSilentProvider(invocationId, invocation.providerName);
    commands.move(invocation.clientId, true);
    end(invocationId, invocation, Outcome.RESET);
  }

  /** An established connection has ended or its provider announced its end; the sockets are being closed. */
  public void onConnectionEnded(long time, long invocationId, long connectionId, Outcome outcome) {
    runEvent(time, () -> {
      Invocation invocation = findEstablished(invocationId, connectionId);
      if (invocation != null) {
        counters.increment(switch (outcome) {
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
    silenceDetector.onEnded(invocationId, invocation);
    invocations.remove(invocationId);
    balancer.onAttemptEnded(events.now(), invocationId, invocation.attemptCount - 1, outcome,
        events.now() - invocation.attemptStartedAt, true);
  }

  /** The client has disconnected, before its final answer or after it. */
  public void onClientDisconnected(long time, long invocationId) {
    endByClient(time, invocationId, SetupOutcomes.Outcome.REFUSED);
  }

  /** The front has answered the client that its invocation failed, and closes the connection. */
  public void onClientFailed(long time, long invocationId) {
    endByClient(time, invocationId, SetupOutcomes.Outcome.FAILED);
  }

  private void endByClient(long time, long invocationId, SetupOutcomes.Outcome unansweredOutcome) {
    runEvent(time, () -> {
      Invocation invocation = invocations.get(invocationId);
      if (invocation == null) {
        return;
      }
      counters.increment(Count.CLIENT_LEFT);
      if (invocation.phase == Phase.ESTABLISHED) {
        end(invocationId, invocation, Outcome.CANCELLED);
      } else {
        answers.endUnanswered(invocationId, invocation, unansweredOutcome);
      }
    });
  }

  @Override
  public void startAttempt(long requestId, String serverName, long timeoutMicros) {
    Invocation invocation = invocations.get(requestId);
    counters.checkInvariant(invocation != null, "attempt for an unknown invocation");
    if (invocation != null) {
      startAttempt(requestId, invocation, serverName, events.now() + timeoutMicros);
    }
  }

  @Override
  public void reject(long requestId, long retryAfterMicros) {
    answers.reject(requestId, retryAfterMicros);
  }

  @Override
  public void fail(long requestId) {
    answers.fail(requestId);
  }

  @Override
  public void move(long requestId) {
    move(requestId, false);
  }

  private void move(long requestId, boolean atOnce) {
    Invocation invocation = invocations.get(requestId);
    if (invocation != null && invocation.phase == Phase.ESTABLISHED) {
      counters.increment(Count.MOVED);
      commands.move(invocation.clientId, atOnce);
      events.runLater(() -> {
        if (invocations.get(requestId) == invocation) {
          end(requestId, invocation, Outcome.CANCELLED);
        }
      });
    }
  }

  @Override
  public void subscribe() {
    commands.watchDirectory();
  }

  @Override
  public void requestLoadReport(String serverName) {
    counters.increment(Count.REPORTS_ASKED);
    commands.requestLoadReport(serverName);
  }

  /** A provider has sent its load report: its utilization, demand over capacity, at least 0. */
  public void onLoadReport(long time, String provider, double utilization) {
    runEvent(time, () -> {
      counters.increment(Count.REPORTS);
      balancer.onLoadReport(events.now(), provider, utilization);
    });
  }

  @Override
  public void scheduleTimer(long at, long token) {
    wheel.arm(at, time -> runEvent(time, () -> balancer.onTimer(events.now(), token)));
  }

  @Override
  public void log(String message) {
    commands.log(message);
  }

  /**
   * Begins a graceful stop ({@link GracefulStop}); {@code hasSuccessor} if another process already serves in place of
   * this one. Runs {@code done} when no invocation is pending, in flight or established any more.
   */
  public void stop(long time, boolean hasSuccessor, Runnable done) {
    runEvent(time, () -> gracefulStop.begin(time, limits.maxClientWaitMicros(), timing, hasSuccessor, done));
  }

  /** Calls the action with the client key and the provider name of each established connection. */
  public void forEachEstablished(BiConsumer<String, String> action) {
    invocations.forEach(invocationId -> {
      Invocation invocation = invocations.get(invocationId);
      if (invocation.phase == Phase.ESTABLISHED) {
        action.accept(invocation.request.clientKey(), invocation.providerName);
      }
    });
  }

  /** Restores the affinity of clients that another process served and now sends here: provider names by client key. */
  public void restoreAffinity(long time, Map<String, String> providerByClient) {
    runEvent(time, () -> balancer.restoreAffinity(events.now(), providerByClient));
  }

  /** Suspends exactly these providers, whatever the directory says, and resumes all others. */
  public void setSuspended(long time, Set<String> providers) {
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
  public boolean isExcluded(long time, String provider) {
    return balancer.isExcluded(Math.max(time, events.now()), provider);
  }

  /** The number of invocations that are pending, in flight or established. */
  public int invocationCount() {
    return invocations.size();
  }
}
