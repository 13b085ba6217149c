package amberhoist.lab.emulator;

import amberhoist.core.Commands;
import amberhoist.core.Core;
import amberhoist.core.Limits;
import amberhoist.core.SlotTable;
import amberhoist.core.Telemetry;
import amberhoist.core.TimerWheel;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Server;
import amberhoist.metrics.Counters;
import java.util.List;
import java.util.Set;

/** A proxy with the real core and decision module, and the emulated network in place of sockets. */
final class EmulatedProxy implements Commands {
  private static final long TICK_MICROS = 4_000; // same as the proxy's event loop
  private static final long CONNECT_TIMEOUT_MICROS = 250_000;

  final int index;
  final String zone;
  private final Simulation simulation;
  private final SlotTable<ClientSession> sessions = new SlotTable<>();
  private final SlotTable<Attempt> attempts = new SlotTable<>();
  private Counters counters = new Counters();
  private Core core;
  private TimerWheel timerWheel;
  private int incarnation; // number of starts so far
  private boolean running;

  EmulatedProxy(Simulation simulation, int index, String zone) {
    this.simulation = simulation;
    this.index = index;
    this.zone = zone;
  }

  int incarnation() {
    return incarnation;
  }

  boolean isRunning() {
    return running;
  }

  void resetCounters() {
    counters = new Counters();
  }

  Counters counters() {
    return counters;
  }

  /** Starts or restarts the proxy with this server list. */
  void start(List<Server> servers) {
    running = true;
    incarnation++;
    long now = simulation.time.now();
    timerWheel = new TimerWheel(TICK_MICROS, now);
    Limits limits = new Limits(CONNECT_TIMEOUT_MICROS, simulation.maxDeadlineMicros(), Set.of(), Set.of());
    core = new Core(simulation.newBalancer(), timerWheel, this, counters, limits, simulation.timing(), Telemetry.NONE);
    simulation.checker.onProxyStarted(this, servers);
    core.start(now, simulation.settings(index, zone), simulation.balancerSeed(index, incarnation), servers);
    scheduleTick(incarnation);
  }

  private void scheduleTick(int ofIncarnation) {
    simulation.time.runAfter(TICK_MICROS, () -> {
      if (running && incarnation == ofIncarnation) {
        timerWheel.advance(simulation.time.now());
        scheduleTick(ofIncarnation);
      }
    });
  }

  /** Stops gracefully, as on SIGTERM; {@code onStopped} runs at the end, unless the proxy has been restarted. */
  void stop(Runnable onStopped) {
    int ofIncarnation = incarnation;
    if (simulation.mutant == Mutant.CUTS_AT_STOP) {
      running = false;
      resetAll();
      onStopped.run();
      return;
    }
    core.stop(simulation.time.now(), false, () -> {
      if (incarnation == ofIncarnation && running) {
        running = false;
        resetAll();
        onStopped.run();
      }
    });
  }

  /** Resets all remaining connections. */
  private void resetAll() {
    sessions.forEach(id -> {
      ClientSession session = sessions.remove(id);
      session.closed = true;
      if (session.relayedAttempt != null) {
        simulation.checker.onCutOff(session);
      }
      simulation.time.runAfter(simulation.clientDelay(), () -> session.client.onConnectionReset(session));
    });
    attempts.forEach(id -> notifyClosed(attempts.remove(id)));
  }

  /** A client's open request has arrived; the connection is refused if the proxy is down or has restarted. */
  void onOpenRequest(ClientSession session) {
    if (!running || session.incarnation != incarnation) {
      simulation.time.runAfter(simulation.clientDelay(), () -> session.client.onConnectionRefused(session));
      return;
    }
    session.id = sessions.add(session);
    if (simulation.mutant == Mutant.FORGETS_CLIENTS && session.id % 10 == 0) {
      session.invocationId = -1;
      return;
    }
    session.invocationId = core.onInvocation(simulation.time.now(), session.id, session.client.openRequest());
  }

  /** The client has closed its connection. */
  void onClientClosed(ClientSession session) {
    if (session.incarnation == incarnation && running && sessions.remove(session.id) != null) {
      session.closed = true;
      if (session.relayedAttempt != null) {
        close(session.relayedAttempt);
      }
      core.onClientDisconnected(simulation.time.now(), session.invocationId);
    }
  }

  /** A directory update has arrived. */
  void onDirectoryUpdate(ListUpdateKind kind, List<Server> servers) {
    if (running) {
      servers.forEach(server -> simulation.checker.onDirectoryUpdate(this, server));
      if (simulation.mutant == Mutant.HEARS_NO_NEWS) {
        return;
      }
      core.onDirectoryUpdate(simulation.time.now(), kind, servers);
    }
  }

  /** A client's message has been relayed. */
  void onClientLine(Attempt attempt) {
    if (simulation.mutant == Mutant.MISSES_SILENCE) {
      return;
    }
    core.onClientLine(simulation.time.now(), attempt.invocationId, attempt.id);
  }

  /** A provider's message has arrived. */
  void onProviderLine(Attempt attempt) {
    if (isOpen(attempt)) {
      core.onProviderLine(simulation.time.now(), attempt.invocationId, attempt.id);
    }
  }

  /** A LOAD line has arrived: a load in microseconds of work per second, or a queueing delay in milliseconds. */
  void onLoadLine(Attempt attempt, double value) {
    if (isOpen(attempt)) {
      core.onLoadLine(simulation.time.now(), attempt.invocationId, attempt.id, value);
    }
  }

  /** Whether this attempt belongs to the current incarnation and is open on this side. */
  boolean isOpen(Attempt attempt) {
    return running && attempt.incarnation == incarnation && attempts.get(attempt.id) == attempt;
  }

  /** An attempt has ended before UP: by the provider's answer, or by the end of its connection. */
  void onAttemptEnded(Attempt attempt, Outcome outcome) {
    if (isOpen(attempt)) {
      markConcluded(attempt);
      core.onAttemptFailed(simulation.time.now(), attempt.invocationId, attempt.id, outcome);
    }
  }

  /** The provider has answered UP. */
  void onUp(Attempt attempt) {
    if (isOpen(attempt)) {
      markConcluded(attempt);
      core.onUp(simulation.time.now(), attempt.invocationId, attempt.id);
    }
  }

  /** The provider has ended an established connection. */
  void onConnectionEnded(Attempt attempt, Outcome outcome) {
    if (!isOpen(attempt)) {
      return;
    }
    if (attempt.session.relayedAttempt == attempt) {
      simulation.checker.onProviderEnded(attempt);
    }
    if (simulation.mutant == Mutant.KEEPS_CLIENTS) {
      return;
    }
    attempts.remove(attempt.id);
    ClientSession session = attempt.session;
    if (sessions.remove(session.id) != null) {
      session.closed = true;
      simulation.time.runAfter(simulation.clientDelay(),
          () -> session.client.onConnectionEnded(session, outcome == Outcome.CANCELLED));
    }
    core.onConnectionEnded(simulation.time.now(), attempt.invocationId, attempt.id, outcome);
  }

  /** Removes an attempt that was sent from those in flight; a second call does nothing. */
  private void markConcluded(Attempt attempt) {
    if (attempt.sent && !attempt.concluded) {
      attempt.concluded = true;
      attempt.session.attemptsInFlight--;
    }
  }

  /** The provider that the mutant connects to in place of this one; {@code target} itself without such a defect. */
  private EmulatedProvider mutantTarget(EmulatedProvider target) {
    return switch (simulation.mutant) {
      case CALLS_DRAINING -> simulation.providers().stream().filter(EmulatedProvider::isDraining).findFirst()
          .orElse(target);
      case SWAMPS_COLD -> simulation.providers().stream().filter(other -> other.isRunning() && other.isCold()
          && !other.isDraining() && simulation.isPropagated(other.restartedAt())).findFirst().orElse(target);
      default -> target;
    };
  }

  @Override
  public long connect(long invocationId, long clientId, String provider) {
    ClientSession session = sessions.get(clientId);
    EmulatedProvider target = mutantTarget(simulation.provider(provider));
    if (session == null || target == null) {
      return SlotTable.NONE;
    }
    Attempt attempt = new Attempt(this, session, target, invocationId);
    attempt.id = attempts.add(attempt);
    long delay = simulation.networkDelay(zone, target.zone);
    if (!target.isRunning()) {
      if (target.isReachable(this)) {
        simulation.time.runAfter(2 * delay, () -> onAttemptEnded(attempt, Outcome.RESET)); // connection refused
      }
    } else if (target.isReachable(this)) {
      simulation.time.runAfter(2 * delay * simulation.experiment.network().handshakes(), () -> {
        if (isOpen(attempt)) {
          core.onConnected(simulation.time.now(), attempt.invocationId, attempt.id);
        }
      });
    }
    return attempt.id;
  }

  @Override
  public void forwardOpenRequest(long connectionId, long waitMillis) {
    Attempt attempt = attempts.get(connectionId);
    if (attempt == null) {
      return;
    }
    simulation.checker.onOpenRequestSent(attempt);
    attempt.sent = true;
    attempt.session.attemptsInFlight++;
    if (simulation.mutant == Mutant.CALLS_TWO) {
      simulation.checker.onOpenRequestSent(attempt);
    }
    attempt.session.attemptsSent++;
    long now = simulation.time.now();
    simulation.time.runAt(now, () -> {
      if (isOpen(attempt)) {
        core.onOpenRequestWritten(simulation.time.now(), attempt.invocationId, attempt.id);
      }
    });
    simulation.time.runAfter(simulation.networkDelay(zone, attempt.provider.zone),
        () -> attempt.provider.onOpenRequest(attempt));
  }

  @Override
  public void abandon(long connectionId) {
    Attempt attempt = attempts.remove(connectionId);
    if (attempt != null && simulation.mutant != Mutant.KEEPS_CALLS) {
      markConcluded(attempt);
      notifyClosed(attempt);
    }
  }

  private void close(Attempt attempt) {
    if (attempts.remove(attempt.id) != null) {
      notifyClosed(attempt);
    }
  }

  private void notifyClosed(Attempt attempt) {
    simulation.time.runAfter(simulation.networkDelay(zone, attempt.provider.zone),
        () -> attempt.provider.onProxyClosed(attempt));
  }

  @Override
  public void relay(long clientId, long connectionId) {
    ClientSession session = sessions.get(clientId);
    Attempt attempt = attempts.get(connectionId);
    if (session == null || attempt == null) {
      return;
    }
    session.relayedAttempt = attempt;
    if (simulation.mutant == Mutant.FORGETS_UP) {
      return;
    }
    simulation.checker.onFinalAnswer(session, ProtocolChecker.UP);
    if (simulation.mutant == Mutant.REJECTS_AFTER_UP) {
      simulation.checker.onFinalAnswer(session, ProtocolChecker.REJECTED);
    }
    simulation.time.runAfter(simulation.clientDelay(), () -> session.client.onEstablished(session));
  }

  /** Closes a client's connection with a final answer; returns null if it is closed already. */
  private ClientSession sendFinalAnswer(long clientId, int kind) {
    ClientSession session = sessions.remove(clientId);
    if (session != null) {
      session.closed = true;
      simulation.checker.onFinalAnswer(session, kind);
    }
    return session;
  }

  @Override
  public void reject(long clientId, long retryAfter) {
    if (simulation.mutant == Mutant.FORGETS_REJECTIONS) {
      sessions.remove(clientId);
      return;
    }
    if (simulation.mutant == Mutant.REJECTS_TOO_LATE) {
      ClientSession session = sessions.get(clientId);
      simulation.time.runAfter(2 * simulation.maxDeadlineMicros(),
          () -> simulation.checker.onFinalAnswer(session, ProtocolChecker.REJECTED));
      sessions.remove(clientId);
      return;
    }
    if (simulation.mutant == Mutant.ANSWERS_TWICE && sessions.get(clientId) != null) {
      simulation.checker.onFinalAnswer(sessions.get(clientId), ProtocolChecker.REJECTED);
    }
    ClientSession rejected = sendFinalAnswer(clientId, ProtocolChecker.REJECTED);
    if (rejected != null) {
      long limited = Math.min(retryAfter, Simulation.MAX_RETRY_AFTER_MICROS);
      simulation.time.runAfter(simulation.clientDelay(), () -> rejected.client.onRejected(rejected, limited));
    }
  }

  @Override
  public void fail(long clientId) {
    ClientSession session = sendFinalAnswer(clientId, ProtocolChecker.FAILED);
    if (session != null) {
      simulation.time.runAfter(simulation.clientDelay(), () -> session.client.onRejected(session, 0));
    }
  }

  @Override
  public boolean isHeldBack(long connectionId) {
    return false; // emulated clients read at once
  }

  @Override
  public void move(long clientId, boolean atOnce) {
    ClientSession session = sessions.remove(clientId);
    if (session != null) {
      session.closed = true;
      simulation.figures.movesByProxies++;
      if (session.relayedAttempt != null) {
        close(session.relayedAttempt);
      }
      simulation.time.runAfter(simulation.clientDelay(), () -> session.client.onConnectionEnded(session, true));
    }
  }

  @Override
  public boolean hasAddress(String provider) {
    return simulation.provider(provider) != null;
  }

  @Override
  public void requestLoadReport(String provider) {
    EmulatedProvider target = simulation.provider(provider);
    int ofIncarnation = incarnation;
    if (target != null && target.isResponding(this)) {
      long arrivalDelay = simulation.networkDelay(zone, target.zone)
          * (2 * simulation.experiment.network().handshakes() + 1);
      simulation.time.runAfter(arrivalDelay, () -> {
        double utilization = target.utilization();
        simulation.time.runAfter(simulation.networkDelay(zone, target.zone), () -> {
          if (running && incarnation == ofIncarnation && target.isResponding(this)) {
            core.onLoadReport(simulation.time.now(), target.name, utilization);
          }
        });
      });
    }
  }

  @Override
  public void watchDirectory() {
    // always watched here; outages of the directory are injected as faults
  }

  @Override
  public void log(String message) {
    // discarded
  }
}
