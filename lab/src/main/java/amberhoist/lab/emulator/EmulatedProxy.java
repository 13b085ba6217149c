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

/** A proxy: the real core and the real module, with the emulated network in place of sockets. */
final class EmulatedProxy implements Commands {
  private static final long TICK = 4_000; // as the real loop's
  private static final long DIAL = 250_000;

  final int index;
  final String zone;
  private final World world;
  private final SlotTable<Visit> visits = new SlotTable<>();
  private final SlotTable<Attempt> attempts = new SlotTable<>();
  private Counters counters = new Counters();
  private Core core;
  private TimerWheel wheel;
  private int life;
  private boolean alive;

  EmulatedProxy(World world, int index, String zone) {
    this.world = world;
    this.index = index;
    this.zone = zone;
  }

  int life() {
    return life;
  }

  boolean alive() {
    return alive;
  }

  void freshCounters() {
    counters = new Counters();
  }

  Counters counters() {
    return counters;
  }

  /** Begins a life with this list. */
  void start(List<Server> known) {
    alive = true;
    life++;
    long now = world.time.now();
    wheel = new TimerWheel(TICK, now);
    Limits limits = new Limits(DIAL, world.longestDeadline(), Set.of(), Set.of());
    core = new Core(world.module(), wheel, this, counters, limits, world.timing(), Telemetry.NONE);
    world.checker.starts(this, known);
    core.start(now, world.settings(index, zone), world.seedOf(index, life), known);
    tick(life);
  }

  private void tick(int ofLife) {
    world.time.after(TICK, () -> {
      if (alive && life == ofLife) {
        wheel.advance(world.time.now());
        tick(ofLife);
      }
    });
  }

  /** Tells it to end, as SIGTERM does; {@code gone} runs when it has. */
  void stop(Runnable gone) {
    int ofLife = life;
    if (world.mutant == Mutant.CUTS_AT_STOP) {
      alive = false;
      cutAll();
      gone.run();
      return;
    }
    core.stop(world.time.now(), false, () -> {
      if (life == ofLife && alive) {
        alive = false;
        cutAll();
        gone.run();
      }
    });
  }

  /** Whatever it still holds is reset. */
  private void cutAll() {
    visits.forEach(number -> {
      Visit visit = visits.remove(number);
      visit.closed = true;
      if (visit.joined != null) {
        world.checker.cutOff(visit);
      }
      world.time.after(world.clientDelay(), () -> visit.client.cut(visit));
    });
    attempts.forEach(number -> leave(attempts.remove(number)));
  }

  /** A client's first line has come. */
  void arrive(Visit visit) {
    if (!alive || visit.life != life) {
      world.time.after(world.clientDelay(), () -> visit.client.refused(visit));
      return;
    }
    visit.number = visits.add(visit);
    if (world.mutant == Mutant.FORGETS_CLIENTS && visit.number % 10 == 0) {
      visit.invocation = -1;
      return;
    }
    visit.invocation = core.onInvocation(world.time.now(), visit.number, visit.client.arrival());
  }

  /** The client has ended its connection. */
  void clientLeft(Visit visit) {
    if (visit.life == life && alive && visits.remove(visit.number) != null) {
      visit.closed = true;
      if (visit.joined != null) {
        close(visit.joined);
      }
      core.onClientDisconnected(world.time.now(), visit.invocation);
    }
  }

  void told(ListUpdateKind kind, List<Server> servers) {
    if (alive) {
      servers.forEach(server -> world.checker.told(this, server));
      if (world.mutant == Mutant.HEARS_NO_NEWS) {
        return;
      }
      core.onDirectoryUpdate(world.time.now(), kind, servers);
    }
  }

  /** A message of the client passes. */
  void asked(Attempt attempt) {
    if (world.mutant == Mutant.MISSES_SILENCE) {
      return;
    }
    core.onClientLine(world.time.now(), attempt.invocation, attempt.number);
  }

  /** A message of the provider passes. */
  void returned(Attempt attempt) {
    if (holds(attempt)) {
      core.onProviderLine(world.time.now(), attempt.invocation, attempt.number);
    }
  }

  /** A LOAD line comes, with the load or with a delay in milliseconds. */
  void load(Attempt attempt, double figure) {
    if (holds(attempt)) {
      core.onLoadLine(world.time.now(), attempt.invocation, attempt.number, figure);
    }
  }

  /** Whether this attempt is of this life and not closed here. */
  boolean holds(Attempt attempt) {
    return alive && attempt.life == life && attempts.get(attempt.number) == attempt;
  }

  /** The provider's answer to an attempt, or the connection's early end. */
  void answered(Attempt attempt, Outcome outcome) {
    if (holds(attempt)) {
      conclude(attempt);
      core.onAttemptFailed(world.time.now(), attempt.invocation, attempt.number, outcome);
    }
  }

  void up(Attempt attempt) {
    if (holds(attempt)) {
      conclude(attempt);
      core.onUp(world.time.now(), attempt.invocation, attempt.number);
    }
  }

  /** The provider has ended a joined connection. */
  void ended(Attempt attempt, Outcome outcome) {
    if (!holds(attempt)) {
      return;
    }
    if (attempt.visit.joined == attempt) {
      world.checker.ended(attempt);
    }
    if (world.mutant == Mutant.KEEPS_CLIENTS) {
      return;
    }
    attempts.remove(attempt.number);
    Visit visit = attempt.visit;
    if (visits.remove(visit.number) != null) {
      visit.closed = true;
      world.time.after(world.clientDelay(),
          () -> visit.client.ended(visit, outcome == Outcome.CANCELLED));
    }
    core.onConnectionEnded(world.time.now(), attempt.invocation, attempt.number, outcome);
  }

  private void conclude(Attempt attempt) {
    if (attempt.sent && !attempt.concluded) {
      attempt.concluded = true;
      attempt.visit.out--;
    }
  }

  /** The provider that a defect calls in place of this one. */
  private EmulatedProvider misled(EmulatedProvider target) {
    return switch (world.mutant) {
      case CALLS_DRAINING -> world.providers().stream().filter(EmulatedProvider::draining).findFirst().orElse(target);
      case SWAMPS_COLD -> world.providers().stream().filter(other -> other.process() && other.cold()
          && !other.draining() && world.wasTold(other.since())).findFirst().orElse(target);
      default -> target;
    };
  }

  @Override
  public long connect(long invocation, long client, String provider) {
    Visit visit = visits.get(client);
    EmulatedProvider target = misled(world.provider(provider));
    if (visit == null || target == null) {
      return SlotTable.NONE;
    }
    Attempt attempt = new Attempt(this, visit, target, invocation);
    attempt.number = attempts.add(attempt);
    long way = world.delay(zone, target.zone);
    if (!target.process()) {
      if (target.reachable(this)) {
        world.time.after(2 * way, () -> answered(attempt, Outcome.RESET)); // refused
      }
    } else if (target.reachable(this)) {
      world.time.after(2 * way * world.experiment.network().handshakes(), () -> {
        if (holds(attempt)) {
          core.onConnected(world.time.now(), attempt.invocation, attempt.number);
        }
      });
    }
    return attempt.number;
  }

  @Override
  public void forwardOpenRequest(long provider, long millis) {
    Attempt attempt = attempts.get(provider);
    if (attempt == null) {
      return;
    }
    world.checker.sends(attempt);
    attempt.sent = true;
    attempt.visit.out++;
    if (world.mutant == Mutant.CALLS_TWO) {
      world.checker.sends(attempt);
    }
    attempt.visit.calls++;
    long now = world.time.now();
    world.time.at(now, () -> {
      if (holds(attempt)) {
        core.onOpenRequestWritten(world.time.now(), attempt.invocation, attempt.number);
      }
    });
    world.time.after(world.delay(zone, attempt.provider.zone), () -> attempt.provider.arrive(attempt));
  }

  @Override
  public void abandon(long provider) {
    Attempt attempt = attempts.remove(provider);
    if (attempt != null && world.mutant != Mutant.KEEPS_CALLS) {
      conclude(attempt);
      leave(attempt);
    }
  }

  private void close(Attempt attempt) {
    if (attempts.remove(attempt.number) != null) {
      leave(attempt);
    }
  }

  private void leave(Attempt attempt) {
    world.time.after(world.delay(zone, attempt.provider.zone), () -> attempt.provider.left(attempt));
  }

  @Override
  public void relay(long client, long provider) {
    Visit visit = visits.get(client);
    Attempt attempt = attempts.get(provider);
    if (visit == null || attempt == null) {
      return;
    }
    visit.joined = attempt;
    if (world.mutant == Mutant.FORGETS_UP) {
      return;
    }
    world.checker.answers(visit, Checker.UP);
    if (world.mutant == Mutant.REJECTS_AFTER_UP) {
      world.checker.answers(visit, Checker.REJECTED);
    }
    world.time.after(world.clientDelay(), () -> visit.client.served(visit));
  }

  private Visit answer(long client, int kind) {
    Visit visit = visits.remove(client);
    if (visit != null) {
      visit.closed = true;
      world.checker.answers(visit, kind);
    }
    return visit;
  }

  @Override
  public void reject(long client, long retryAfter) {
    if (world.mutant == Mutant.FORGETS_REJECTIONS) {
      visits.remove(client);
      return;
    }
    if (world.mutant == Mutant.REJECTS_TOO_LATE) {
      Visit late = visits.get(client);
      world.time.after(2 * world.longestDeadline(), () -> world.checker.answers(late, Checker.REJECTED));
      visits.remove(client);
      return;
    }
    if (world.mutant == Mutant.ANSWERS_TWICE && visits.get(client) != null) {
      world.checker.answers(visits.get(client), Checker.REJECTED);
    }
    Visit visit = answer(client, Checker.REJECTED);
    if (visit != null) {
      long advice = Math.min(retryAfter, World.MOST_ADVICE);
      world.time.after(world.clientDelay(), () -> visit.client.rejected(visit, advice));
    }
  }

  @Override
  public void fail(long client) {
    Visit visit = answer(client, Checker.FAILED);
    if (visit != null) {
      world.time.after(world.clientDelay(), () -> visit.client.rejected(visit, 0));
    }
  }

  @Override
  public void move(long client) {
    Visit visit = visits.remove(client);
    if (visit != null) {
      visit.closed = true;
      world.figures.moves++;
      if (visit.joined != null) {
        close(visit.joined);
      }
      world.time.after(world.clientDelay(), () -> visit.client.ended(visit, true));
    }
  }

  @Override
  public void requestLoadReport(String provider) {
    EmulatedProvider target = world.provider(provider);
    int ofLife = life;
    if (target != null && target.answers(this)) {
      long way = world.delay(zone, target.zone) * (2 * world.experiment.network().handshakes() + 1);
      world.time.after(way, () -> {
        double heat = target.heat();
        world.time.after(world.delay(zone, target.zone), () -> {
          if (alive && life == ofLife && target.answers(this)) {
            core.onLoadReport(world.time.now(), target.name, heat);
          }
        });
      });
    }
  }

  @Override
  public void watchDirectory() {
    // it is always watched here; a directory that fails is a fault of the time line
  }

  @Override
  public void log(String message) {
    // nobody reads it
  }
}
