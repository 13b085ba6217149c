package amberhoist.lab.emulator;

import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.lab.experiment.Experiment.Kind;
import amberhoist.lab.experiment.Experiment.Shed;
import amberhoist.lab.experiment.Experiment.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An emulated provider with a fluid queue: work arrives at the sum of the loads of its connections, plus a fixed load
 * for each group with a member here, and work beyond its capacity accumulates as a backlog that delays messages. A
 * setup adds work too: it completes when the backlog before it is done and the shared store has answered.
 *
 * <p>Work is measured in microseconds of one core of speed 1.
 */
final class EmulatedProvider {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long REPORT_PERIOD_MICROS = 1_000_000; // of queueing delays
  /** Lower bound on the free fraction of the capacity, by which message times are divided. */
  private static final double MIN_FREE_FRACTION = 0.02;
  /** Backlog, as the time to work it off, above which connections are dropped. */
  private static final double MAX_BACKLOG_MICROS = 3 * MICROS_PER_SECOND;

  final String name;
  final String zone;
  final Kind kind;
  private final World simulation;
  private final double warmRate; // work per microsecond when warm
  private final List<Set<Attempt>> establishedByProxy = new ArrayList<>(); // by proxy index
  private final Map<Integer, Integer> groupMembers = new HashMap<>();
  private final Set<Integer> unreachableProxies = new LinkedHashSet<>();
  private boolean running = true; // the process; false while it is stopped or has been killed
  private boolean vanished; // the host is lost: no packet arrives or leaves
  private boolean hung; // accepts work and answers nothing
  private boolean drainStarted;
  private long startedAt; // of the last restart; 0 for none
  private double demand; // work per second
  private double backlog; // work, as of backlogUpdatedAt
  private long backlogUpdatedAt;
  private int connections;
  private int queuedSetups;
  private int incarnation;

  EmulatedProvider(World simulation, String name, String zone, Kind kind, Chance random) {
    this.simulation = simulation;
    this.name = name;
    this.zone = zone;
    this.kind = kind;
    double speed = kind.speed() * (1 + kind.spread() * (2 * random.part() - 1));
    warmRate = kind.cores() * speed;
    for (int i = 0; i < simulation.experiment.fleet().proxies(); i++) {
      establishedByProxy.add(new LinkedHashSet<>());
    }
    backlogUpdatedAt = simulation.time.now();
    scheduleReport();
  }

  /** Work per second that it can do when warm. */
  double capacity() {
    return warmRate * MICROS_PER_SECOND;
  }

  /** The fraction of its warm capacity that is available now; above 0, at most 1. */
  double warmth() {
    long warmUpMicros = kind.coldTime().toNanos() / 1000;
    if (startedAt == 0 || warmUpMicros == 0) {
      return 1;
    }
    double elapsedFraction = (double) (simulation.time.now() - startedAt) / warmUpMicros;
    return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * elapsedFraction);
  }

  /** The length of its warm-up in seconds, at least 0.001. */
  double coldSeconds() {
    return Math.max(1, kind.coldTime().toMillis()) / 1000.0;
  }

  boolean process() {
    return running;
  }

  boolean draining() {
    return drainStarted;
  }

  boolean cold() {
    return warmth() < 1;
  }

  /** Whether packets pass between it and this proxy. */
  boolean reachable(EmulatedProxy proxy) {
    return !vanished && !unreachableProxies.contains(proxy.index);
  }

  /** Time of its last restart in microseconds; 0 if it has not been restarted. */
  long since() {
    return startedAt;
  }

  /** Its current entry in the directory. */
  Server listed() {
    ServerState state = !running || vanished ? ServerState.GONE
        : drainStarted ? ServerState.DRAINING : ServerState.READY;
    return new Server(name, zone, kind.name(), 0, state, 1, startedAt);
  }

  /** Brings the backlog up to the present time at the current demand. */
  private void updateBacklog() {
    long now = simulation.time.now();
    double elapsed = now - backlogUpdatedAt;
    if (elapsed > 0) {
      backlog = Math.max(0, backlog + elapsed * (demand / MICROS_PER_SECOND - warmRate * warmth()));
      backlogUpdatedAt = now;
    }
  }

  /** Current demand over current capacity; above 1 the backlog grows. */
  double heat() {
    return demand / MICROS_PER_SECOND / (warmRate * warmth());
  }

  /** The time that a message of this class takes now, in microseconds. */
  double messageTime(Type type) {
    updateBacklog();
    double rate = warmRate * warmth();
    double freeFraction = Math.max(MIN_FREE_FRACTION, 1 - demand / MICROS_PER_SECOND / rate);
    return type.messageWork().toNanos() / 1000 / (warmRate / kind.cores() * warmth()) / freeFraction + backlog / rate;
  }

  /** An open request has arrived. Ignores one whose connection has been closed or whose proxy is unreachable. */
  void arrive(Attempt attempt) {
    if (attempt.left || !reachable(attempt.proxy)) {
      return;
    }
    long delay = simulation.delay(zone, attempt.proxy.zone);
    if (!running) {
      simulation.time.after(delay, () -> attempt.proxy.answered(attempt, Outcome.RESET));
      return;
    }
    simulation.checker.arrived(attempt);
    if (hung) {
      return; // accepted, but never answered
    }
    if (drainStarted || connections + queuedSetups >= kind.connections() * kind.cores()
        || queuedSetups >= kind.queue() * kind.cores()) {
      simulation.time.after(delay, () -> attempt.proxy.answered(attempt, Outcome.FULL));
      return;
    }
    if (simulation.chance.happens(kind.errors())) {
      simulation.time.after(delay, () -> attempt.proxy.answered(attempt, Outcome.ERROR));
      return;
    }
    updateBacklog();
    double setupWork = attempt.visit.client.type.setupWork().toNanos() / 1000.0 * simulation.chance.logNormal(0.8);
    backlog += setupWork;
    queuedSetups++;
    attempt.waiting = true;
    long backlogDoneAt = simulation.time.now() + (long) (backlog / (warmRate * warmth()));
    int ofIncarnation = incarnation;
    simulation.time.at(Math.max(backlogDoneAt, simulation.askStore()), () -> completeSetup(attempt, ofIncarnation));
  }

  /** Establishes a connection, unless the provider was cleared or the attempt closed since the setup was queued. */
  private void completeSetup(Attempt attempt, int ofIncarnation) {
    if (incarnation != ofIncarnation || !attempt.waiting) {
      return;
    }
    attempt.waiting = false;
    queuedSetups--;
    if (attempt.left || hung) {
      return;
    }
    attempt.up = true;
    connections++;
    establishedByProxy.get(attempt.proxy.index).add(attempt);
    updateBacklog();
    demand += updateGroupDemand(attempt, 1);
    attempt.load = attempt.visit.client.load();
    demand += attempt.load;
    long delay = simulation.delay(zone, attempt.proxy.zone);
    if (reachable(attempt.proxy)) {
      simulation.time.after(delay, () -> attempt.proxy.up(attempt));
      simulation.time.after(delay + 1, () -> attempt.proxy.load(attempt, attempt.load));
    }
  }

  /**
   * Adds (1) or removes (-1) a member of the attempt's group and returns the change in demand: the group's shared load
   * is there as long as the group has a member.
   */
  private double updateGroupDemand(Attempt attempt, int memberChange) {
    EmulatedClient client = attempt.visit.client;
    int memberCount = groupMembers.merge(client.group, memberChange, Integer::sum);
    if (memberCount == 0) {
      groupMembers.remove(client.group);
    }
    boolean firstOrLast = memberChange > 0 ? memberCount == 1 : memberCount == 0;
    double cost = simulation.experiment.fleet().groupCost() * client.type.load().toNanos() / 1000;
    return firstOrLast ? memberChange * cost : 0;
  }

  /** The load of a connection's client has changed, in work per second. */
  void loadChanged(Attempt attempt, double load) {
    if (attempt.up) {
      updateBacklog();
      demand += load - attempt.load;
      attempt.load = load;
      if (running && !vanished && reachable(attempt.proxy)) {
        simulation.time.after(simulation.delay(zone, attempt.proxy.zone), () -> attempt.proxy.load(attempt, load));
      }
    }
  }

  /** The proxy has closed a connection, established or not. */
  void left(Attempt attempt) {
    attempt.left = true;
    if (attempt.waiting) {
      attempt.waiting = false;
      queuedSetups--;
    }
    remove(attempt);
  }

  private void remove(Attempt attempt) {
    if (attempt.up) {
      attempt.up = false;
      updateBacklog();
      demand += updateGroupDemand(attempt, -1) - attempt.load;
      connections--;
      establishedByProxy.get(attempt.proxy.index).remove(attempt);
      if (connections == 0) {
        demand = 0; // drops accumulated rounding errors
      }
    }
  }

  /** Whether a message that arrives from this proxy now is answered. */
  boolean answers(EmulatedProxy proxy) {
    return running && !hung && reachable(proxy);
  }

  /**
   * Schedules the next periodic report: sends queueing delays, and drops connections, up to 50 at a time, while the
   * backlog is too long. Each connection dropped also removes 3 % of the backlog.
   */
  private void scheduleReport() {
    simulation.time.after(REPORT_PERIOD_MICROS, () -> {
      if (running && !vanished && !hung && connections > 0) {
        updateBacklog();
        sendQueueingDelays();
        for (int drops = 0; backlog / (warmRate * warmth()) > MAX_BACKLOG_MICROS && drops < 50
            && connections > 0; drops++) {
          drop(kind.sheds() == Shed.HEAVIEST ? heaviest() : newest());
          backlog *= 0.97;
        }
      }
      scheduleReport();
    });
  }

  /** Sends each proxy one queueing delay when messages take more than a third of the shortest message target. */
  private void sendQueueingDelays() {
    for (Set<Attempt> attempts : establishedByProxy) {
      if (!attempts.isEmpty()) {
        Attempt first = attempts.iterator().next();
        double micros = messageTime(first.visit.client.type);
        if (micros > simulation.shortestMessageAim() / 3 && reachable(first.proxy)) {
          double millis = Math.rint(micros / 10) / 100;
          simulation.time.after(simulation.delay(zone, first.proxy.zone), () -> first.proxy.load(first, millis));
        }
      }
    }
  }

  private Attempt newest() {
    Attempt newest = null;
    for (Set<Attempt> attempts : establishedByProxy) {
      for (Attempt attempt : attempts) {
        newest = newest == null || attempt.visit.sentAt > newest.visit.sentAt ? attempt : newest;
      }
    }
    return newest;
  }

  private Attempt heaviest() {
    Attempt heaviest = null;
    for (Set<Attempt> attempts : establishedByProxy) {
      for (Attempt attempt : attempts) {
        heaviest = heaviest == null || attempt.load > heaviest.load ? attempt : heaviest;
      }
    }
    return heaviest;
  }

  private void drop(Attempt attempt) {
    remove(attempt);
    simulation.figures.dropped++;
    simulation.time.after(simulation.delay(zone, attempt.proxy.zone),
        () -> attempt.proxy.ended(attempt, Outcome.RESET));
  }

  /** Sets whether it is hung: it accepts work and answers nothing. */
  void hang(boolean now) {
    hung = now;
  }

  /** Sets whether it is unreachable from this proxy. */
  void cut(EmulatedProxy proxy, boolean now) {
    if (now) {
      unreachableProxies.add(proxy.index);
    } else {
      unreachableProxies.remove(proxy.index);
    }
  }

  /** The host is lost: its connections end without any packet to their proxies. */
  void vanish() {
    vanished = true;
    clearConnections();
  }

  /** Drops all connections and queued setups without notice to their proxies. */
  private void clearConnections() {
    incarnation++;
    establishedByProxy.forEach(attempts -> new ArrayList<>(attempts).forEach(this::remove));
    queuedSetups = 0;
    backlog = 0;
    demand = 0;
  }

  /**
   * Starts to drain: rejects new connections, and stops the process after this time in microseconds, followed by the
   * callback. Unless this kind of machine keeps its connections, ends them one by one at even intervals until then.
   */
  void drain(long micros, Runnable stopped) {
    drainStarted = true;
    List<Attempt> all = new ArrayList<>();
    if (!kind.keeps()) {
      establishedByProxy.forEach(all::addAll);
    }
    for (int i = 0; i < all.size(); i++) {
      Attempt attempt = all.get(i);
      simulation.time.after(micros * (i + 1) / (all.size() + 1), () -> {
        if (attempt.up) {
          remove(attempt);
          simulation.time.after(simulation.delay(zone, attempt.proxy.zone),
              () -> attempt.proxy.ended(attempt, Outcome.CANCELLED));
        }
      });
    }
    simulation.time.after(micros, () -> {
      kill();
      stopped.run();
    });
  }

  /** Stops the process; its connections are reset. */
  void kill() {
    running = false;
    List<Attempt> all = new ArrayList<>();
    establishedByProxy.forEach(all::addAll);
    clearConnections();
    all.forEach(attempt -> simulation.time.after(simulation.delay(zone, attempt.proxy.zone),
        () -> attempt.proxy.ended(attempt, Outcome.RESET)));
  }

  /** Restarts the process, cold. */
  void start() {
    running = true;
    vanished = false;
    hung = false;
    drainStarted = false;
    startedAt = simulation.time.now();
    backlogUpdatedAt = startedAt;
    simulation.checker.started(this);
  }
}
