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
  private final World simulation;
  private final SlotTable<Visit> sessions = new SlotTable<>();
  private final SlotTable<Attempt> attempts = new SlotTable<>();
  private Counters counters = new Counters();
  private Core core;
  private TimerWheel timerWheel;
  private int life; // incarnation: 0 before the first start, then counts starts
  private boolean running;

  EmulatedProxy(World simulation, int index, String zone) {
    this.simulation = simulation;
    this.index = index;
    this.zone = zone;
  }

  int life() {
    return life;
  }

  boolean alive() {
    return running;
  }

  void freshCounters() {
    counters = new Counters();
  }

  Counters counters() {
    return counters;
  }

  /** Starts or restarts the proxy with this server list. */
  void start(List<Server> known) {
    running = true;
    life++;
    long now = simulation.time.now();
    timerWheel = new TimerWheel(TICK_MICROS, now);
    Limits limits = new Limits(CONNECT_TIMEOUT_MICROS, simulation.longestDeadline(), Set.of(), Set.of());
    core = new Core(simulation.module(), timerWheel, this, counters, limits, simulation.timing(), Telemetry.NONE);
    simulation.checker.starts(this, known);
    core.start(now, simulation.settings(index, zone), simulation.seedOf(index, life), known);
    scheduleTick(life);
  }

  private void scheduleTick(int ofIncarnation) {
    simulation.time.after(TICK_MICROS, () -> {
      if (running && life == ofIncarnation) {
        timerWheel.advance(simulation.time.now());
        scheduleTick(ofIncarnation);
      }
    });
  }

  /** Stops gracefully, as on SIGTERM; {@code onStopped} runs at the end, unless the proxy has been restarted. */
  void stop(Runnable onStopped) {
    int ofIncarnation = life;
    if (simulation.mutant == Mutant.CUTS_AT_STOP) {
      running = false;
      resetAll();
      onStopped.run();
      return;
    }
    core.stop(simulation.time.now(), false, () -> {
      if (life == ofIncarnation && running) {
        running = false;
        resetAll();
        onStopped.run();
      }
    });
  }

  /** Resets all remaining connections. */
  private void resetAll() {
    sessions.forEach(id -> {
      Visit session = sessions.remove(id);
      session.closed = true;
      if (session.joined != null) {
        simulation.checker.cutOff(session);
      }
      simulation.time.after(simulation.clientDelay(), () -> session.client.cut(session));
    });
    attempts.forEach(id -> notifyClosed(attempts.remove(id)));
  }

  /** A client's open request has arrived; the connection is refused if the proxy is down or has restarted. */
  void arrive(Visit session) {
    if (!running || session.life != life) {
      simulation.time.after(simulation.clientDelay(), () -> session.client.refused(session));
      return;
    }
    session.number = sessions.add(session);
    if (simulation.mutant == Mutant.FORGETS_CLIENTS && session.number % 10 == 0) {
      session.invocation = -1;
      return;
    }
    session.invocation = core.onInvocation(simulation.time.now(), session.number, session.client.arrival());
  }

  /** The client has closed its connection. */
  void clientLeft(Visit session) {
    if (session.life == life && running && sessions.remove(session.number) != null) {
      session.closed = true;
      if (session.joined != null) {
        close(session.joined);
      }
      core.onClientDisconnected(simulation.time.now(), session.invocation);
    }
  }

  /** A directory update has arrived. */
  void told(ListUpdateKind kind, List<Server> servers) {
    if (running) {
      servers.forEach(server -> simulation.checker.told(this, server));
      if (simulation.mutant == Mutant.HEARS_NO_NEWS) {
        return;
      }
      core.onDirectoryUpdate(simulation.time.now(), kind, servers);
    }
  }

  /** A client's message has been relayed. */
  void asked(Attempt attempt) {
    if (simulation.mutant == Mutant.MISSES_SILENCE) {
      return;
    }
    core.onClientLine(simulation.time.now(), attempt.invocation, attempt.number);
  }

  /** A provider's message has arrived. */
  void returned(Attempt attempt) {
    if (holds(attempt)) {
      core.onProviderLine(simulation.time.now(), attempt.invocation, attempt.number);
    }
  }

  /** A LOAD line has arrived: a load in microseconds of work per second, or a queueing delay in milliseconds. */
  void load(Attempt attempt, double figure) {
    if (holds(attempt)) {
      core.onLoadLine(simulation.time.now(), attempt.invocation, attempt.number, figure);
    }
  }

  /** Whether this attempt belongs to the current incarnation and is open on this side. */
  boolean holds(Attempt attempt) {
    return running && attempt.life == life && attempts.get(attempt.number) == attempt;
  }

  /** An attempt has ended before UP: by the provider's answer, or by the end of its connection. */
  void answered(Attempt attempt, Outcome outcome) {
    if (holds(attempt)) {
      markConcluded(attempt);
      core.onAttemptFailed(simulation.time.now(), attempt.invocation, attempt.number, outcome);
    }
  }

  /** The provider has answered UP. */
  void up(Attempt attempt) {
    if (holds(attempt)) {
      markConcluded(attempt);
      core.onUp(simulation.time.now(), attempt.invocation, attempt.number);
    }
  }

  /** The provider has ended an established connection. */
  void ended(Attempt attempt, Outcome outcome) {
    if (!holds(attempt)) {
      return;
    }
    if (attempt.visit.joined == attempt) {
      simulation.checker.ended(attempt);
    }
    if (simulation.mutant == Mutant.KEEPS_CLIENTS) {
      return;
    }
    attempts.remove(attempt.number);
    Visit session = attempt.visit;
    if (sessions.remove(session.number) != null) {
      session.closed = true;
      simulation.time.after(simulation.clientDelay(),
          () -> session.client.ended(session, outcome == Outcome.CANCELLED));
    }
    core.onConnectionEnded(simulation.time.now(), attempt.invocation, attempt.number, outcome);
  }

  /** Removes an attempt that was sent from those in flight; a second call does nothing. */
  private void markConcluded(Attempt attempt) {
    if (attempt.sent && !attempt.concluded) {
      attempt.concluded = true;
      attempt.visit.out--;
    }
  }

  /** The provider that the mutant connects to in place of this one; {@code target} itself without such a defect. */
  private EmulatedProvider mutantTarget(EmulatedProvider target) {
    return switch (simulation.mutant) {
      case CALLS_DRAINING -> simulation.providers().stream().filter(EmulatedProvider::draining).findFirst()
          .orElse(target);
      case SWAMPS_COLD -> simulation.providers().stream().filter(other -> other.process() && other.cold()
          && !other.draining() && simulation.wasTold(other.since())).findFirst().orElse(target);
      default -> target;
    };
  }

  @Override
  public long connect(long invocationId, long clientId, String provider) {
    Visit session = sessions.get(clientId);
    EmulatedProvider target = mutantTarget(simulation.provider(provider));
    if (session == null || target == null) {
      return SlotTable.NONE;
    }
    Attempt attempt = new Attempt(this, session, target, invocationId);
    attempt.number = attempts.add(attempt);
    long delay = simulation.delay(zone, target.zone);
    if (!target.process()) {
      if (target.reachable(this)) {
        simulation.time.after(2 * delay, () -> answered(attempt, Outcome.RESET)); // connection refused
      }
    } else if (target.reachable(this)) {
      simulation.time.after(2 * delay * simulation.experiment.network().handshakes(), () -> {
        if (holds(attempt)) {
          core.onConnected(simulation.time.now(), attempt.invocation, attempt.number);
        }
      });
    }
    return attempt.number;
  }

  @Override
  public void forwardOpenRequest(long connectionId, long waitMillis) {
    Attempt attempt = attempts.get(connectionId);
    if (attempt == null) {
      return;
    }
    simulation.checker.sends(attempt);
    attempt.sent = true;
    attempt.visit.out++;
    if (simulation.mutant == Mutant.CALLS_TWO) {
      simulation.checker.sends(attempt);
    }
    attempt.visit.calls++;
    long now = simulation.time.now();
    simulation.time.at(now, () -> {
      if (holds(attempt)) {
        core.onOpenRequestWritten(simulation.time.now(), attempt.invocation, attempt.number);
      }
    });
    simulation.time.after(simulation.delay(zone, attempt.provider.zone), () -> attempt.provider.arrive(attempt));
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
    if (attempts.remove(attempt.number) != null) {
      notifyClosed(attempt);
    }
  }

  private void notifyClosed(Attempt attempt) {
    simulation.time.after(simulation.delay(zone, attempt.provider.zone), () -> attempt.provider.left(attempt));
  }

  @Override
  public void relay(long clientId, long connectionId) {
    Visit session = sessions.get(clientId);
    Attempt attempt = attempts.get(connectionId);
    if (session == null || attempt == null) {
      return;
    }
    session.joined = attempt;
    if (simulation.mutant == Mutant.FORGETS_UP) {
      return;
    }
    simulation.checker.answers(session, Checker.UP);
    if (simulation.mutant == Mutant.REJECTS_AFTER_UP) {
      simulation.checker.answers(session, Checker.REJECTED);
    }
    simulation.time.after(simulation.clientDelay(), () -> session.client.served(session));
  }

  /** Closes a client's connection with a final answer; returns null if it is closed already. */
  private Visit sendFinalAnswer(long clientId, int kind) {
    Visit session = sessions.remove(clientId);
    if (session != null) {
      session.closed = true;
      simulation.checker.answers(session, kind);
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
      Visit session = sessions.get(clientId);
      simulation.time.after(2 * simulation.longestDeadline(),
          () -> simulation.checker.answers(session, Checker.REJECTED));
      sessions.remove(clientId);
      return;
    }
    if (simulation.mutant == Mutant.ANSWERS_TWICE && sessions.get(clientId) != null) {
      simulation.checker.answers(sessions.get(clientId), Checker.REJECTED);
    }
    Visit rejected = sendFinalAnswer(clientId, Checker.REJECTED);
    if (rejected != null) {
      long limited = Math.min(retryAfter, World.MOST_ADVICE);
      simulation.time.after(simulation.clientDelay(), () -> rejected.client.rejected(rejected, limited));
    }
  }

  @Override
  public void fail(long clientId) {
    Visit session = sendFinalAnswer(clientId, Checker.FAILED);
    if (session != null) {
      simulation.time.after(simulation.clientDelay(), () -> session.client.rejected(session, 0));
    }
  }

  @Override
  public void move(long clientId) {
    Visit session = sessions.remove(clientId);
    if (session != null) {
      session.closed = true;
      simulation.figures.moves++;
      if (session.joined != null) {
        close(session.joined);
      }
      simulation.time.after(simulation.clientDelay(), () -> session.client.ended(session, true));
    }
  }

  @Override
  public void requestLoadReport(String provider) {
    EmulatedProvider target = simulation.provider(provider);
    int ofIncarnation = life;
    if (target != null && target.answers(this)) {
      long arrivalDelay = simulation.delay(zone, target.zone) * (2 * simulation.experiment.network().handshakes() + 1);
      simulation.time.after(arrivalDelay, () -> {
        double utilization = target.heat();
        simulation.time.after(simulation.delay(zone, target.zone), () -> {
          if (running && life == ofIncarnation && target.answers(this)) {
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
