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
 * A provider. Its connections ask for work at their loads, each group once more for what it shares; what it cannot do
 * at once piles up, and messages wait behind it. A set-up is work too, waits behind the pile, and asks the store.
 */
final class EmulatedProvider {
  private static final double MICRO = 1e6;
  private static final long PERIOD = 1_000_000; // between delays told to a proxy
  private static final double NEAR = 0.02; // of its capacity left: messages take no longer than that makes them
  private static final double SHED = 3 * MICRO; // work piled up, in time, from which the newest connection is dropped

  final String name;
  final String zone;
  final Kind kind;
  private final World world;
  private final double work; // micros of work a micro when warm
  private final List<Set<Attempt>> standing = new ArrayList<>(); // by proxy
  private final Map<Integer, Integer> groups = new HashMap<>();
  private final Set<Integer> cutFrom = new LinkedHashSet<>();
  private boolean process = true;
  private boolean vanished;
  private boolean hung;
  private boolean draining;
  private long startedAt; // 0 for long ago
  private double demand; // micros of work a second
  private double pile; // micros of work
  private long settledAt;
  private int connections;
  private int waiting;
  private int life;

  EmulatedProvider(World world, String name, String zone, Kind kind, Chance chance) {
    this.world = world;
    this.name = name;
    this.zone = zone;
    this.kind = kind;
    double speed = kind.speed() * (1 + kind.spread() * (2 * chance.part() - 1));
    work = kind.cores() * speed;
    for (int i = 0; i < world.experiment.fleet().proxies(); i++) {
      standing.add(new LinkedHashSet<>());
    }
    settledAt = world.time.now();
    beat();
  }

  /** Work that it can do when warm, micros a second. */
  double capacity() {
    return work * MICRO;
  }

  /** The part of its capacity that it has by now. */
  double warmth() {
    long cold = kind.coldTime().toNanos() / 1000;
    if (startedAt == 0 || cold == 0) {
      return 1;
    }
    double part = (double) (world.time.now() - startedAt) / cold;
    return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * part);
  }

  /** The time in which it warms up; never 0. */
  double coldSeconds() {
    return Math.max(1, kind.coldTime().toMillis()) / 1000.0;
  }

  boolean process() {
    return process;
  }

  boolean draining() {
    return draining;
  }

  boolean cold() {
    return warmth() < 1;
  }

  /** Whether packets pass between it and this proxy. */
  boolean reachable(EmulatedProxy proxy) {
    return !vanished && !cutFrom.contains(proxy.index);
  }

  /** When it started, in micros; 0 for long ago. */
  long since() {
    return startedAt;
  }

  /** As the directory lists it. */
  Server listed() {
    ServerState state = !process || vanished ? ServerState.GONE : draining ? ServerState.DRAINING : ServerState.READY;
    return new Server(name, zone, kind.name(), 0, state, 1, startedAt);
  }

  private void settle() {
    long now = world.time.now();
    double gap = now - settledAt;
    if (gap > 0) {
      pile = Math.max(0, pile + gap * (demand / MICRO - work * warmth()));
      settledAt = now;
    }
  }

  /** The load asked of it over what it can do now. */
  double heat() {
    return demand / MICRO / (work * warmth());
  }

  /** How long a message of this class takes now, in micros. */
  double messageTime(Type type) {
    settle();
    double able = work * warmth();
    double left = Math.max(NEAR, 1 - demand / MICRO / able);
    return type.messageWork().toNanos() / 1000 / (work / kind.cores() * warmth()) / left + pile / able;
  }

  /** A first line has come. */
  void arrive(Attempt attempt) {
    if (attempt.left || !reachable(attempt.proxy)) {
      return;
    }
    long way = world.delay(zone, attempt.proxy.zone);
    if (!process) {
      world.time.after(way, () -> attempt.proxy.answered(attempt, Outcome.RESET));
      return;
    }
    world.checker.arrived(attempt);
    if (hung) {
      return; // takes it, and answers nothing
    }
    if (draining || connections + waiting >= kind.connections() * kind.cores()
        || waiting >= kind.queue() * kind.cores()) {
      world.time.after(way, () -> attempt.proxy.answered(attempt, Outcome.FULL));
      return;
    }
    if (world.chance.happens(kind.errors())) {
      world.time.after(way, () -> attempt.proxy.answered(attempt, Outcome.ERROR));
      return;
    }
    settle();
    double needed = attempt.visit.client.type.setupWork().toNanos() / 1000.0 * world.chance.logNormal(0.8);
    pile += needed;
    waiting++;
    attempt.waiting = true;
    long own = world.time.now() + (long) (pile / (work * warmth()));
    int ofLife = life;
    world.time.at(Math.max(own, world.askStore()), () -> setUp(attempt, ofLife));
  }

  private void setUp(Attempt attempt, int ofLife) {
    if (life != ofLife || !attempt.waiting) {
      return;
    }
    attempt.waiting = false;
    waiting--;
    if (attempt.left || hung) {
      return;
    }
    attempt.up = true;
    connections++;
    standing.get(attempt.proxy.index).add(attempt);
    settle();
    demand += share(attempt, 1);
    attempt.load = attempt.visit.client.load();
    demand += attempt.load;
    long way = world.delay(zone, attempt.proxy.zone);
    if (reachable(attempt.proxy)) {
      world.time.after(way, () -> attempt.proxy.up(attempt));
      world.time.after(way + 1, () -> attempt.proxy.load(attempt, attempt.load));
    }
  }

  /** What joining or leaving its group makes a difference of, in micros of work a second. */
  private double share(Attempt attempt, int by) {
    EmulatedClient client = attempt.visit.client;
    int members = groups.merge(client.group, by, Integer::sum);
    if (members == 0) {
      groups.remove(client.group);
    }
    boolean changes = by > 0 ? members == 1 : members == 0;
    double cost = world.experiment.fleet().groupCost() * client.type.load().toNanos() / 1000;
    return changes ? by * cost : 0;
  }

  /** The load of a connection's client is now another. */
  void loadChanged(Attempt attempt, double load) {
    if (attempt.up) {
      settle();
      demand += load - attempt.load;
      attempt.load = load;
      if (process && !vanished && reachable(attempt.proxy)) {
        world.time.after(world.delay(zone, attempt.proxy.zone), () -> attempt.proxy.load(attempt, load));
      }
    }
  }

  /** The proxy has closed a connection. */
  void left(Attempt attempt) {
    attempt.left = true;
    if (attempt.waiting) {
      attempt.waiting = false;
      waiting--;
    }
    remove(attempt);
  }

  private void remove(Attempt attempt) {
    if (attempt.up) {
      attempt.up = false;
      settle();
      demand += share(attempt, -1) - attempt.load;
      connections--;
      standing.get(attempt.proxy.index).remove(attempt);
      if (connections == 0) {
        demand = 0; // rounding must not be left over
      }
    }
  }

  /** Whether a message that comes now is answered. */
  boolean answers(EmulatedProxy proxy) {
    return process && !hung && reachable(proxy);
  }

  /** Once a second: delays told, and the newest connections dropped where too much is piled up. */
  private void beat() {
    world.time.after(PERIOD, () -> {
      if (process && !vanished && !hung && connections > 0) {
        settle();
        tellDelays();
        for (int drops = 0; pile / (work * warmth()) > SHED && drops < 50 && connections > 0; drops++) {
          drop(kind.sheds() == Shed.HEAVIEST ? heaviest() : newest());
          pile *= 0.97;
        }
      }
      beat();
    });
  }

  private void tellDelays() {
    for (Set<Attempt> of : standing) {
      if (!of.isEmpty()) {
        Attempt first = of.iterator().next();
        double micros = messageTime(first.visit.client.type);
        if (micros > world.shortestMessageAim() / 3 && reachable(first.proxy)) {
          double millis = Math.rint(micros / 10) / 100;
          world.time.after(world.delay(zone, first.proxy.zone), () -> first.proxy.load(first, millis));
        }
      }
    }
  }

  private Attempt newest() {
    Attempt newest = null;
    for (Set<Attempt> of : standing) {
      for (Attempt attempt : of) {
        newest = newest == null || attempt.visit.sentAt > newest.visit.sentAt ? attempt : newest;
      }
    }
    return newest;
  }

  private Attempt heaviest() {
    Attempt heaviest = null;
    for (Set<Attempt> of : standing) {
      for (Attempt attempt : of) {
        heaviest = heaviest == null || attempt.load > heaviest.load ? attempt : heaviest;
      }
    }
    return heaviest;
  }

  private void drop(Attempt attempt) {
    remove(attempt);
    world.figures.dropped++;
    world.time.after(world.delay(zone, attempt.proxy.zone), () -> attempt.proxy.ended(attempt, Outcome.RESET));
  }

  void hang(boolean now) {
    hung = now;
  }

  void cut(EmulatedProxy proxy, boolean now) {
    if (now) {
      cutFrom.add(proxy.index);
    } else {
      cutFrom.remove(proxy.index);
    }
  }

  /** Loses it without a sign; what stood on it is forgotten. */
  void vanish() {
    vanished = true;
    forget();
  }

  /** Everything that stood or waited is gone, whoever knows of it. */
  private void forget() {
    life++;
    standing.forEach(of -> new ArrayList<>(of).forEach(this::remove));
    waiting = 0;
    pile = 0;
    demand = 0;
  }

  /** Begins to drain: nothing new; unless it keeps its clients they are sent away evenly; when time is up it stops. */
  void drain(long micros, Runnable stopped) {
    draining = true;
    List<Attempt> all = new ArrayList<>();
    if (!kind.keeps()) {
      standing.forEach(all::addAll);
    }
    for (int i = 0; i < all.size(); i++) {
      Attempt attempt = all.get(i);
      world.time.after(micros * (i + 1) / (all.size() + 1), () -> {
        if (attempt.up) {
          remove(attempt);
          world.time.after(world.delay(zone, attempt.proxy.zone),
              () -> attempt.proxy.ended(attempt, Outcome.CANCELLED));
        }
      });
    }
    world.time.after(micros, () -> {
      kill();
      stopped.run();
    });
  }

  /** The process dies: its connections are reset. */
  void kill() {
    process = false;
    List<Attempt> all = new ArrayList<>();
    standing.forEach(all::addAll);
    forget();
    all.forEach(attempt -> world.time.after(world.delay(zone, attempt.proxy.zone),
        () -> attempt.proxy.ended(attempt, Outcome.RESET)));
  }

  /** Starts again, cold. */
  void start() {
    process = true;
    vanished = false;
    hung = false;
    draining = false;
    startedAt = world.time.now();
    settledAt = startedAt;
    world.checker.started(this);
  }
}
