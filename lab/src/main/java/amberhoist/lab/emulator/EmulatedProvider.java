package amberhoist.lab.emulator;

import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.lab.experiment.Experiment.ConnectionClass;
import amberhoist.lab.experiment.Experiment.MachineKind;
import amberhoist.lab.experiment.Experiment.Shed;
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
  final MachineKind kind;
  private final Simulation simulation;
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

  EmulatedProvider(Simulation simulation, String name, String zone, MachineKind kind, RandomSource random) {
    this.simulation = simulation;
    this.name = name;
    this.zone = zone;
    this.kind = kind;
    double speed = kind.speed() * (1 + kind.spread() * (2 * random.nextFraction() - 1));
    warmRate = kind.cores() * speed;
    for (int i = 0; i < simulation.experiment.fleet().proxies(); i++) {
      establishedByProxy.add(new LinkedHashSet<>());
    }
    backlogUpdatedAt = simulation.time.now();
    scheduleReport();
  }

  /** Work per second that it can do when warm. */
  double capacityPerSecond() {
    return warmRate * MICROS_PER_SECOND;
  }

  /** The fraction of its warm capacity that is available now; above 0, at most 1. */
  double warmFraction() {
    long warmUpMicros = kind.coldTime().toNanos() / 1000;
    if (startedAt == 0 || warmUpMicros == 0) {
      return 1;
    }
    double elapsedFraction = (double) (simulation.time.now() - startedAt) / warmUpMicros;
    return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * elapsedFraction);
  }

  /** The length of its warm-up in seconds, at least 0.001. */
  double warmUpSeconds() {
    return Math.max(1, kind.coldTime().toMillis()) / 1000.0;
  }

  boolean isRunning() {
    return running;
  }

  boolean isDraining() {
    return drainStarted;
  }

  boolean isCold() {
    return warmFraction() < 1;
  }

  /** Whether packets pass between it and this proxy. */
  boolean isReachable(EmulatedProxy proxy) {
    return !vanished && !unreachableProxies.contains(proxy.index);
  }

  /** Time of its last restart in microseconds; 0 if it has not been restarted. */
  long restartedAt() {
    return startedAt;
  }

  /** Its current entry in the directory. */
  Server directoryEntry() {
    ServerState state = !running || vanished ? ServerState.GONE
        : drainStarted ? ServerState.DRAINING : ServerState.READY;
    return new Server(name, zone, kind.name(), 0, state, 1, startedAt);
  }

  /** Brings the backlog up to the present time at the current demand. */
  private void updateBacklog() {
    long now = simulation.time.now();
    double elapsed = now - backlogUpdatedAt;
    if (elapsed > 0) {
      backlog = Math.max(0, backlog + elapsed * (demand / MICROS_PER_SECOND - warmRate * warmFraction()));
      backlogUpdatedAt = now;
    }
  }

  /** Current demand over current capacity; above 1 the backlog grows. */
  double utilization() {
    return demand / MICROS_PER_SECOND / (warmRate * warmFraction());
  }

  /** The time that a message of this class takes now, in microseconds. */
  double messageMicros(ConnectionClass type) {
    updateBacklog();
    double rate = warmRate * warmFraction();
    double freeFraction = Math.max(MIN_FREE_FRACTION, 1 - demand / MICROS_PER_SECOND / rate);
    return type.messageWork().toNanos() / 1000 / (warmRate / kind.cores() * warmFraction()) / freeFraction
        + backlog / rate;
  }

  /** An open request has arrived. Ignores one whose connection has been closed or whose proxy is unreachable. */
  void onOpenRequest(Attempt attempt) {
    if (attempt.closedByProxy || !isReachable(attempt.proxy)) {
      return;
    }
    long delay = simulation.networkDelay(zone, attempt.proxy.zone);
    if (!running) {
      simulation.time.runAfter(delay, () -> attempt.proxy.onAttemptEnded(attempt, Outcome.RESET));
      return;
    }
    simulation.checker.onOpenRequestReceived(attempt);
    if (hung) {
      return; // accepted, but never answered
    }
    if (drainStarted || connections + queuedSetups >= kind.connections() * kind.cores()
        || queuedSetups >= kind.queue() * kind.cores()) {
      simulation.time.runAfter(delay, () -> attempt.proxy.onAttemptEnded(attempt, Outcome.FULL));
      return;
    }
    if (simulation.random.nextBoolean(kind.errors())) {
      simulation.time.runAfter(delay, () -> attempt.proxy.onAttemptEnded(attempt, Outcome.ERROR));
      return;
    }
    updateBacklog();
    double setupWork = attempt.session.client.type.setupWork()
        .toNanos() / 1000.0 * simulation.random.nextLogNormal(0.8);
    backlog += setupWork;
    queuedSetups++;
    attempt.setupQueued = true;
    long backlogDoneAt = simulation.time.now() + (long) (backlog / (warmRate * warmFraction()));
    int ofIncarnation = incarnation;
    simulation.time.runAt(Math.max(backlogDoneAt, simulation.callStore()), () -> completeSetup(attempt, ofIncarnation));
  }

  /** Establishes a connection, unless the provider was cleared or the attempt closed since the setup was queued. */
  private void completeSetup(Attempt attempt, int ofIncarnation) {
    if (incarnation != ofIncarnation || !attempt.setupQueued) {
      return;
    }
    attempt.setupQueued = false;
    queuedSetups--;
    if (attempt.closedByProxy || hung) {
      return;
    }
    attempt.established = true;
    connections++;
    establishedByProxy.get(attempt.proxy.index).add(attempt);
    updateBacklog();
    demand += updateGroupDemand(attempt, 1);
    attempt.load = attempt.session.client.load();
    demand += attempt.load;
    long delay = simulation.networkDelay(zone, attempt.proxy.zone);
    if (isReachable(attempt.proxy)) {
      simulation.time.runAfter(delay, () -> attempt.proxy.onUp(attempt));
      simulation.time.runAfter(delay + 1, () -> attempt.proxy.onLoadLine(attempt, attempt.load));
    }
  }

  /**
   * Adds (1) or removes (-1) a member of the attempt's group and returns the change in demand: the group's shared load
   * is there as long as the group has a member.
   */
  private double updateGroupDemand(Attempt attempt, int memberChange) {
    EmulatedClient client = attempt.session.client;
    int memberCount = groupMembers.merge(client.group, memberChange, Integer::sum);
    if (memberCount == 0) {
      groupMembers.remove(client.group);
    }
    boolean firstOrLast = memberChange > 0 ? memberCount == 1 : memberCount == 0;
    double cost = simulation.experiment.fleet().groupCost() * client.type.load().toNanos() / 1000;
    return firstOrLast ? memberChange * cost : 0;
  }

  /** The load of a connection's client has changed, in work per second. */
  void onLoadChanged(Attempt attempt, double load) {
    if (attempt.established) {
      updateBacklog();
      demand += load - attempt.load;
      attempt.load = load;
      if (running && !vanished && isReachable(attempt.proxy)) {
        simulation.time.runAfter(simulation.networkDelay(zone, attempt.proxy.zone),
            () -> attempt.proxy.onLoadLine(attempt, load));
      }
    }
  }

  /** The proxy has closed a connection, established or not. */
  void onProxyClosed(Attempt attempt) {
    attempt.closedByProxy = true;
    if (attempt.setupQueued) {
      attempt.setupQueued = false;
      queuedSetups--;
    }
    remove(attempt);
  }

  private void remove(Attempt attempt) {
    if (attempt.established) {
      attempt.established = false;
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
  boolean isResponding(EmulatedProxy proxy) {
    return running && !hung && isReachable(proxy);
  }

  /**
   * Schedules the next periodic report: sends queueing delays, and drops connections, up to 50 at a time, while the
   * backlog is too long. Each connection dropped also removes 3 % of the backlog.
   */
  private void scheduleReport() {
    simulation.time.runAfter(REPORT_PERIOD_MICROS, () -> {
      if (running && !vanished && !hung && connections > 0) {
        updateBacklog();
        sendQueueingDelays();
        for (int drops = 0; backlog / (warmRate * warmFraction()) > MAX_BACKLOG_MICROS && drops < 50
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
        double micros = messageMicros(first.session.client.type);
        if (micros > simulation.minMessageTarget() / 3 && isReachable(first.proxy)) {
          double millis = Math.rint(micros / 10) / 100;
          simulation.time.runAfter(simulation.networkDelay(zone, first.proxy.zone),
              () -> first.proxy.onLoadLine(first, millis));
        }
      }
    }
  }

  private Attempt newest() {
    Attempt newest = null;
    for (Set<Attempt> attempts : establishedByProxy) {
      for (Attempt attempt : attempts) {
        newest = newest == null || attempt.session.startedAt > newest.session.startedAt ? attempt : newest;
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
    simulation.figures.droppedByProviders++;
    simulation.time.runAfter(simulation.networkDelay(zone, attempt.proxy.zone),
        () -> attempt.proxy.onConnectionEnded(attempt, Outcome.RESET));
  }

  /** Sets whether it is hung: it accepts work and answers nothing. */
  void setHung(boolean isHung) {
    hung = isHung;
  }

  /** Sets whether it is unreachable from this proxy. */
  void setPartitioned(EmulatedProxy proxy, boolean isPartitioned) {
    if (isPartitioned) {
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
  void drain(long durationMicros, Runnable onStopped) {
    drainStarted = true;
    List<Attempt> all = new ArrayList<>();
    if (!kind.keeps()) {
      establishedByProxy.forEach(all::addAll);
    }
    for (int i = 0; i < all.size(); i++) {
      Attempt attempt = all.get(i);
      simulation.time.runAfter(durationMicros * (i + 1) / (all.size() + 1), () -> {
        if (attempt.established) {
          remove(attempt);
          simulation.time.runAfter(simulation.networkDelay(zone, attempt.proxy.zone),
              () -> attempt.proxy.onConnectionEnded(attempt, Outcome.CANCELLED));
        }
      });
    }
    simulation.time.runAfter(durationMicros, () -> {
      kill();
      onStopped.run();
    });
  }

  /** Stops the process; its connections are reset. */
  void kill() {
    running = false;
    List<Attempt> all = new ArrayList<>();
    establishedByProxy.forEach(all::addAll);
    clearConnections();
    all.forEach(attempt -> simulation.time.runAfter(simulation.networkDelay(zone, attempt.proxy.zone),
        () -> attempt.proxy.onConnectionEnded(attempt, Outcome.RESET)));
  }

  /** Restarts the process, cold. */
  void start() {
    running = true;
    vanished = false;
    hung = false;
    drainStarted = false;
    startedAt = simulation.time.now();
    backlogUpdatedAt = startedAt;
    simulation.checker.onProviderStarted(this);
  }
}
