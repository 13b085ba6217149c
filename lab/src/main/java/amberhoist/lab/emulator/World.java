package amberhoist.lab.emulator;

import amberhoist.core.Timing;
import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Policy;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.Experiment.Kind;
import amberhoist.lab.experiment.Experiment.Module;
import amberhoist.lab.experiment.Experiment.Tenant;
import amberhoist.lab.experiment.Experiment.Type;
import amberhoist.lab.experiment.Experiment.Variant;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.metrics.Counters.Count;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One run of an experiment in virtual time: the real core and module of each proxy between emulated providers, clients,
 * directory and network. One thread, one seed; the same seed brings the same events in the same order anywhere.
 */
public final class World {
  static final long START = 1_000_000_000_000L; // micros; 0 is long ago
  static final long MOST_ADVICE = 1_500_000;
  private static final long SECOND = 1_000_000;

  final Experiment experiment;
  final Mutant mutant;
  final VirtualTime time = new VirtualTime(START);
  final Chance chance;
  final Trace trace = new Trace();
  final Checker checker;
  final Figures figures;
  private final Chance arrivals;
  private final Variant variant;
  private final long seed;
  private final long length;
  private final Timing timing;
  private final Map<String, EmulatedProvider> byName = new LinkedHashMap<>();
  private final List<EmulatedProvider> providers = new ArrayList<>();
  private final List<EmulatedProxy> proxies = new ArrayList<>();
  private final Set<EmulatedClient> clients = new LinkedHashSet<>();
  private final boolean[] admitted;
  private final double[] typeShares;
  private final double[] tenantShares;
  private final double usualLoad;
  private final double usualLife;
  private final double capacity;
  private double slowness = 1;
  private double burst = 1; // times the usual traffic of the first account
  private long directoryBack;
  private long storeFree;
  private long numbers;
  private long retired; // calls of lives of proxies that are over
  private long retiredInvocations;
  private int turn;

  /** A world for this variant and seed. */
  public World(Experiment experiment, Variant variant, long seed, boolean quick) {
    this(experiment, variant, seed, quick, Mutant.NONE);
  }

  /** The same with a defect in its proxies. */
  public World(Experiment experiment, Variant variant, long seed, boolean quick, Mutant mutant) {
    this.mutant = mutant;
    this.experiment = experiment;
    this.variant = variant;
    this.seed = seed;
    length = micros(experiment.length(quick));
    chance = new Chance(seed, 1);
    arrivals = new Chance(seed, 2); // the same clients come whatever the variant does
    timing = ExperimentFile.keys(variant).operator().timing();
    checker = new Checker(this);
    figures = new Figures(this, (int) (length / SECOND));
    typeShares = experiment.classes().stream().mapToDouble(Type::share).toArray();
    tenantShares = experiment.tenants().stream().mapToDouble(Tenant::share).toArray();
    List<String> zones = experiment.fleet().zones();
    double[] kinds = experiment.kinds().stream().mapToDouble(Kind::share).toArray();
    Chance machines = new Chance(seed, 3);
    double sum = 0;
    for (int i = 0; i < experiment.fleet().providers(); i++) {
      EmulatedProvider provider = new EmulatedProvider(this, "s" + i, zones.get(i % zones.size()),
          experiment.kinds().get(machines.pick(kinds)), machines);
      byName.put(provider.name, provider);
      providers.add(provider);
      sum += provider.capacity();
    }
    capacity = sum;
    for (int i = 0; i < experiment.fleet().proxies(); i++) {
      proxies.add(new EmulatedProxy(this, i, zones.get(i % zones.size())));
    }
    admitted = new boolean[proxies.size()];
    usualLoad = mean(type -> micros(type.load()));
    usualLife = mean(type -> micros(type.life()) / 1e6);
    new Faults(this, new Chance(seed, 4)).arm(experiment.faults());
  }

  private double mean(java.util.function.ToDoubleFunction<Type> of) {
    double sum = 0;
    double weights = 0;
    for (Type type : experiment.classes()) {
      sum += type.share() * of.applyAsDouble(type);
      weights += type.share();
    }
    return sum / weights;
  }

  private static long micros(Duration duration) {
    return duration.toNanos() / 1000;
  }

  /**
   * What came of a run.
   *
   * @param hash of the event log
   * @param events that were handled
   * @param nanos that it took
   */
  public record Outcome(Map<String, Double> figures, List<Checker.Violation> violations, String hash, long events,
      long nanos, double[] serviceBySecond) {}

  /** Runs it to its end. */
  public Outcome run() {
    long began = System.nanoTime();
    proxies.forEach(this::startProxy);
    for (EmulatedProxy proxy : proxies) {
      admitted[proxy.index] = true;
    }
    long standing = Math.round(experiment.load().level() * capacity / usualLoad);
    for (long i = 0; i < standing; i++) {
      time.at(START + (long) (arrivals.part() * micros(experiment.warmup()) * 0.6), this::newClient);
    }
    nextArrival(standing / usualLife);
    time.runUntil(START + length);
    clients.forEach(EmulatedClient::worldEnds);
    long calls = retired + proxies.stream().mapToLong(proxy -> proxy.counters().get(Count.CALLS)).sum();
    return new Outcome(figures.all(checker, calls), checker.violations(), trace.toString(), time.handled(),
        System.nanoTime() - began, figures.serviceBySecond());
  }

  private void nextArrival(double perSecond) {
    double phase = (time.now() - START) * 2 * StrictMath.PI / micros(experiment.load().period());
    double bursting = 1 + (burst - 1) * tenantShares[0] / Arrays.stream(tenantShares).sum();
    double rate = perSecond * bursting * (1 + experiment.load().swing() * StrictMath.sin(phase));
    time.after((long) (arrivals.exponential(1e6 / Math.max(1e-6, rate))), () -> {
      newClient();
      nextArrival(perSecond);
    });
  }

  private void newClient() {
    int type = arrivals.pick(typeShares);
    double[] shares = tenantShares.clone();
    shares[0] *= burst;
    int tenant = arrivals.pick(shares);
    int groups = Math.max(1, (int) (experiment.load().level() * capacity / usualLoad / experiment.load().groupSize()));
    int group = arrivals.below(groups);
    List<String> zones = experiment.fleet().zones();
    String zone = zones.get(arrivals.below(zones.size()));
    long life = (long) (arrivals.exponential(micros(experiment.classes().get(type).life())));
    long ofTenant = clients.stream().filter(other -> other.tenantIndex == tenant).count();
    double part = ofTenant < covered(tenant) ? 1 : experiment.load().overShare();
    EmulatedClient client =
        new EmulatedClient(this, ++numbers, type, tenant, group, zone, Math.max(SECOND, life), part);
    clients.add(client);
    client.connect();
  }

  /** Connections that an account's share covers. */
  private double covered(int tenant) {
    return experiment.load().quota() * capacity / usualLoad * tenantShares[tenant] / Arrays.stream(tenantShares).sum();
  }

  double usualLoad() {
    return usualLoad;
  }

  /** From now on the first account sends so many times its usual traffic. */
  void burst(double times) {
    burst = times;
  }

  /** Nothing is told until then; the changes come after it. */
  void directoryDown(long until) {
    directoryBack = until;
  }

  void gone(EmulatedClient client) {
    clients.remove(client);
  }

  List<EmulatedClient> clients() {
    return new ArrayList<>(clients);
  }

  List<EmulatedProvider> providers() {
    return providers;
  }

  List<EmulatedProxy> proxies() {
    return proxies;
  }

  EmulatedProvider provider(String name) {
    return byName.get(name);
  }

  /** The proxy that the front gives a client, or null when it knows of none. */
  EmulatedProxy front(EmulatedClient client) {
    for (int near = 1; near >= 0; near--) {
      for (int i = 0; i < proxies.size(); i++) {
        EmulatedProxy proxy = proxies.get(turn++ % proxies.size());
        if (admitted[proxy.index] && (near == 0 || proxy.zone.equals(client.zone))) {
          return proxy;
        }
      }
    }
    return null;
  }

  void admit(EmulatedProxy proxy, boolean now) {
    admitted[proxy.index] = now;
  }

  void startProxy(EmulatedProxy proxy) {
    if (proxy.life() > 0) {
      retired += proxy.counters().get(Count.CALLS);
      retiredInvocations += proxy.counters().get(Count.INVOCATIONS);
      proxy.freshCounters();
    }
    proxy.start(providers.stream().map(EmulatedProvider::listed).toList());
  }

  long invocations() {
    return retiredInvocations + proxies.stream().mapToLong(proxy -> proxy.counters().get(Count.INVOCATIONS)).sum();
  }

  /** The directory has heard of a change; each proxy hears of it in its own time. */
  void announce(EmulatedProvider provider) {
    Server listed = provider.listed();
    for (EmulatedProxy proxy : proxies) {
      long late = chance.between(micros(experiment.directory().lateLeast()), micros(experiment.directory().lateMost()));
      time.at(Math.max(time.now(), directoryBack) + late, () -> proxy.told(ListUpdateKind.CHANGES, List.of(listed)));
    }
  }

  /** Whether all proxies have been told by now of what the directory heard then. */
  boolean wasTold(long heard) {
    return Math.max(heard, directoryBack) + micros(experiment.directory().lateMost()) < time.now();
  }

  long silentNotice() {
    return micros(experiment.directory().silent());
  }

  /** A call to the store: when it will have been answered. */
  long askStore() {
    long now = time.now();
    if (experiment.store().rate() == 0) {
      return now;
    }
    storeFree = Math.max(now, storeFree) + (long) (1e6 * slowness / experiment.store().rate());
    return storeFree + micros(experiment.store().time());
  }

  void slowStore(double times) {
    slowness = times;
  }

  /**
   * New connections a second that a provider can take, beside what stands: those whose usual load fills it while one
   * lives, or over its warm-up where that is shorter.
   */
  double newConnectionsPerSecond(EmulatedProvider provider) {
    return provider.capacity() / usualLoad / Math.min(usualLife, provider.coldSeconds());
  }

  long delay(String from, String to) {
    long usual = micros(from.equals(to) ? experiment.network().sameZone() : experiment.network().crossZone());
    return jittered(usual);
  }

  private long jittered(long usual) {
    return (long) (usual * (1 + experiment.network().jitter() * chance.part()));
  }

  long clientDelay() {
    return jittered(micros(experiment.network().clients()));
  }

  long messagePeriod() {
    return micros(experiment.clients().messages());
  }

  long backoff(int tries) {
    long most = micros(experiment.clients().backoffMost());
    long wait = micros(experiment.clients().backoff()) << Math.min(20, Math.max(0, tries - 1));
    return Math.max(1000, (long) (Math.min(most, wait) * (0.5 + chance.part())));
  }

  long rejoin() {
    return chance.between(micros(experiment.clients().rejoinLeast()), micros(experiment.clients().rejoinMost()));
  }

  long countsFrom() {
    return START + micros(experiment.warmup());
  }

  long longestDeadline() {
    return experiment.classes().stream().mapToLong(type -> micros(type.deadline())).max().orElse(SECOND);
  }

  long shortestMessageAim() {
    return experiment.classes().stream().mapToLong(type -> micros(type.message())).min().orElse(SECOND);
  }

  Timing timing() {
    return timing;
  }

  Balancer module() {
    return variant.module() == Module.RANDOM ? new RandomBalancer() : new Policy();
  }

  long seedOf(int proxy, int life) {
    return new Chance(seed, 1000L + 1000L * proxy + life).bits();
  }

  private ConnectionValue value() {
    Map<String, Double> shares = new HashMap<>();
    for (int i = 0; i < tenantShares.length; i++) {
      shares.put(experiment.tenants().get(i).name(), covered(i));
    }
    return new ConnectionValue(experiment.load().byWork(), experiment.load().overShare(), shares);
  }

  /** What the platform would tell the module of this world. */
  Settings settings(int index, String zone) {
    double coldShare = experiment.kinds().stream().mapToDouble(Kind::coldShare).min().orElse(1);
    long coldTime = experiment.kinds().stream().mapToLong(kind -> micros(kind.coldTime())).max().orElse(0);
    List<RequestClass> classes = experiment.classes().stream()
        .map(type -> new RequestClass(type.name(), Effect.IDEMPOTENT,
        DedupScope.ALL, micros(type.aim()), 0, type.worth(), micros(type.message()))).toList();
    double others = mutant == Mutant.RAMPS_AS_IF_ALONE ? proxies.size() : 1;
    return new Settings(zone, index, proxies.size(), classes, true, 10 * SECOND, 6, MOST_ADVICE, 0.02, 0.03, coldShare,
        coldTime, others * experiment.fleet().coldMultiple(), micros(experiment.fleet().coldWindow()),
        value(), experiment.fleet().reports());
  }
}
