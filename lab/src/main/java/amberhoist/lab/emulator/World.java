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
 * One run of an experiment in virtual time: the real core and decision module of each proxy, between emulated
 * providers, clients, directory and network. It is single-threaded, and the same seed gives the same events in the same
 * order on any machine.
 */
public final class World {
  static final long START = 1_000_000_000_000L; // start of the run; times of 0 mean "before it"
  static final long MOST_ADVICE = 1_500_000;
  private static final long SECOND_MICROS = 1_000_000;

  final Experiment experiment;
  final Mutant mutant;
  final VirtualTime time = new VirtualTime(START);
  final Chance chance;
  final Trace trace = new Trace();
  final Checker checker;
  final Figures figures;
  private final Chance arrivals; // separate, so that all variants get the same clients
  private final Variant variant;
  private final long seed;
  private final long lengthMicros;
  private final Timing timing;
  private final Map<String, EmulatedProvider> providersByName = new LinkedHashMap<>();
  private final List<EmulatedProvider> providers = new ArrayList<>();
  private final List<EmulatedProxy> proxies = new ArrayList<>();
  private final Set<EmulatedClient> clients = new LinkedHashSet<>();
  private final boolean[] inRotation;
  private final double[] typeShares;
  private final double[] tenantShares;
  private final double usualLoad;
  private final double typicalLifeSeconds;
  private final double capacity;
  private double storeSlowdown = 1;
  private double trafficFactor = 1; // on arrivals of the first tenant
  private long directoryBackAt; // end of the directory's last outage; 0 for none
  private long storeFreeAt; // when the store has started all calls so far
  private long clientCount;
  private long pastAttempts; // attempts of proxies before their restarts
  private long pastInvocations;
  private int nextProxy;

  /** Creates a run of this variant with this seed. */
  public World(Experiment experiment, Variant variant, long seed, boolean quick) {
    this(experiment, variant, seed, quick, Mutant.NONE);
  }

  /** Creates a run whose proxies have this defect. */
  public World(Experiment experiment, Variant variant, long seed, boolean quick, Mutant mutant) {
    this.mutant = mutant;
    this.experiment = experiment;
    this.variant = variant;
    this.seed = seed;
    lengthMicros = micros(experiment.length(quick));
    chance = new Chance(seed, 1);
    arrivals = new Chance(seed, 2);
    timing = ExperimentFile.keys(variant).operator().timing();
    checker = new Checker(this);
    figures = new Figures(this, (int) (lengthMicros / SECOND_MICROS));
    typeShares = experiment.classes().stream().mapToDouble(Type::share).toArray();
    tenantShares = experiment.tenants().stream().mapToDouble(Tenant::share).toArray();
    List<String> zones = experiment.fleet().zones();
    double[] kindShares = experiment.kinds().stream().mapToDouble(Kind::share).toArray();
    Chance machineRandom = new Chance(seed, 3);
    double totalCapacity = 0;
    for (int i = 0; i < experiment.fleet().providers(); i++) {
      EmulatedProvider provider = new EmulatedProvider(this, "s" + i, zones.get(i % zones.size()),
          experiment.kinds().get(machineRandom.pick(kindShares)), machineRandom);
      providersByName.put(provider.name, provider);
      providers.add(provider);
      totalCapacity += provider.capacity();
    }
    capacity = totalCapacity;
    for (int i = 0; i < experiment.fleet().proxies(); i++) {
      proxies.add(new EmulatedProxy(this, i, zones.get(i % zones.size())));
    }
    inRotation = new boolean[proxies.size()];
    usualLoad = weightedMean(type -> micros(type.load()));
    typicalLifeSeconds = weightedMean(type -> micros(type.life()) / 1e6);
    new Faults(this, new Chance(seed, 4)).arm(experiment.faults());
  }

  private double weightedMean(java.util.function.ToDoubleFunction<Type> property) {
    double sum = 0;
    double weights = 0;
    for (Type type : experiment.classes()) {
      sum += type.share() * property.applyAsDouble(type);
      weights += type.share();
    }
    return sum / weights;
  }

  private static long micros(Duration duration) {
    return duration.toNanos() / 1000;
  }

  /**
   * The result of a run.
   *
   * @param figures by name, in the order of reports
   * @param violations the first rules broken, in order of time
   * @param hash of the event log
   * @param events number of events handled
   * @param nanos elapsed real time of the run
   * @param serviceBySecond value answered in time over value wanted
   */
  public record Outcome(Map<String, Double> figures, List<Checker.Violation> violations, String hash, long events,
      long nanos, double[] serviceBySecond) {}

  /** Runs the simulation to its end. May be called once. */
  public Outcome run() {
    long startNanos = System.nanoTime();
    proxies.forEach(this::startProxy);
    for (EmulatedProxy proxy : proxies) {
      inRotation[proxy.index] = true;
    }
    long initialClients = Math.round(experiment.load().level() * capacity / usualLoad);
    for (long i = 0; i < initialClients; i++) {
      time.at(START + (long) (arrivals.part() * micros(experiment.warmup()) * 0.6), this::newClient);
    }
    scheduleArrival(initialClients / typicalLifeSeconds);
    time.runUntil(START + lengthMicros);
    clients.forEach(EmulatedClient::worldEnds);
    long attempts = pastAttempts + proxies.stream().mapToLong(proxy -> proxy.counters().get(Count.CALLS)).sum();
    return new Outcome(figures.all(checker, attempts), checker.violations(), trace.toString(), time.handled(),
        System.nanoTime() - startNanos, figures.serviceBySecond());
  }

  private void scheduleArrival(double perSecond) {
    double phase = (time.now() - START) * 2 * StrictMath.PI / micros(experiment.load().period());
    double burstFactor = 1 + (trafficFactor - 1) * tenantShares[0] / Arrays.stream(tenantShares).sum();
    double rate = perSecond * burstFactor * (1 + experiment.load().swing() * StrictMath.sin(phase));
    time.after((long) (arrivals.exponential(1e6 / Math.max(1e-6, rate))), () -> {
      newClient();
      scheduleArrival(perSecond);
    });
  }

  private void newClient() {
    int typeIndex = arrivals.pick(typeShares);
    double[] shares = tenantShares.clone();
    shares[0] *= trafficFactor;
    int tenantIndex = arrivals.pick(shares);
    int groups = Math.max(1, (int) (experiment.load().level() * capacity / usualLoad / experiment.load().groupSize()));
    int group = arrivals.below(groups);
    List<String> zones = experiment.fleet().zones();
    String zone = zones.get(arrivals.below(zones.size()));
    long lifeMicros = (long) (arrivals.exponential(micros(experiment.classes().get(typeIndex).life())));
    long tenantClients = clients.stream().filter(other -> other.tenantIndex == tenantIndex).count();
    double valueFraction = tenantClients < coveredConnections(tenantIndex) ? 1 : experiment.load().overShare();
    EmulatedClient client =
        new EmulatedClient(this, ++clientCount, typeIndex, tenantIndex, group, zone,
            Math.max(SECOND_MICROS, lifeMicros), valueFraction);
    clients.add(client);
    client.connect();
  }

  /** The number of connections that a tenant's share covers. */
  private double coveredConnections(int tenant) {
    return experiment.load().quota() * capacity / usualLoad * tenantShares[tenant] / Arrays.stream(tenantShares).sum();
  }

  /** Mean load of a connection, microseconds of work per second. */
  double usualLoad() {
    return usualLoad;
  }

  /** Multiplies the arrivals of the first tenant by this factor from now on. */
  void burst(double times) {
    trafficFactor = times;
  }

  /** Holds back all directory updates until this time. */
  void directoryDown(long until) {
    directoryBackAt = until;
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
    return providersByName.get(name);
  }

  /** The proxy that the front load balancer picks for a client, preferably in its zone; null if none is in rotation. */
  EmulatedProxy front(EmulatedClient client) {
    for (int sameZone = 1; sameZone >= 0; sameZone--) {
      for (int i = 0; i < proxies.size(); i++) {
        EmulatedProxy proxy = proxies.get(nextProxy++ % proxies.size());
        if (inRotation[proxy.index] && (sameZone == 0 || proxy.zone.equals(client.zone))) {
          return proxy;
        }
      }
    }
    return null;
  }

  /** Puts a proxy into or out of the rotation of the front load balancer. */
  void admit(EmulatedProxy proxy, boolean now) {
    inRotation[proxy.index] = now;
  }

  /** Starts or restarts a proxy with the current server list, and adds the counts before a restart to the totals. */
  void startProxy(EmulatedProxy proxy) {
    if (proxy.life() > 0) {
      pastAttempts += proxy.counters().get(Count.CALLS);
      pastInvocations += proxy.counters().get(Count.INVOCATIONS);
      proxy.freshCounters();
    }
    proxy.start(providers.stream().map(EmulatedProvider::listed).toList());
  }

  /** Invocations of all proxies in the whole run. */
  long invocations() {
    return pastInvocations + proxies.stream().mapToLong(proxy -> proxy.counters().get(Count.INVOCATIONS)).sum();
  }

  /** Sends a provider's current directory entry to all proxies, each with its own random delay. */
  void announce(EmulatedProvider provider) {
    Server entry = provider.listed();
    for (EmulatedProxy proxy : proxies) {
      long delay =
          chance.between(micros(experiment.directory().lateLeast()), micros(experiment.directory().lateMost()));
      time.at(Math.max(time.now(), directoryBackAt) + delay, () -> proxy.told(ListUpdateKind.CHANGES, List.of(entry)));
    }
  }

  /** Whether all proxies have received by now a change that the directory published at this time. */
  boolean wasTold(long heard) {
    return Math.max(heard, directoryBackAt) + micros(experiment.directory().lateMost()) < time.now();
  }

  /** Time until the directory notices a host that was lost without notice, in microseconds. */
  long silentNotice() {
    return micros(experiment.directory().silent());
  }

  /** Places a call to the shared store and returns the time of its answer. */
  long askStore() {
    long now = time.now();
    if (experiment.store().rate() == 0) {
      return now;
    }
    storeFreeAt = Math.max(now, storeFreeAt) + (long) (1e6 * storeSlowdown / experiment.store().rate());
    return storeFreeAt + micros(experiment.store().time());
  }

  /** Sets the factor by which the shared store is slowed down; 1 for none. */
  void slowStore(double times) {
    storeSlowdown = times;
  }

  /**
   * The rate of new connections, per second, that a provider can take: at this rate, connections of typical load fill
   * its capacity within a typical connection's life, or within its warm-up if that is shorter.
   */
  double newConnectionsPerSecond(EmulatedProvider provider) {
    return provider.capacity() / usualLoad / Math.min(typicalLifeSeconds, provider.coldSeconds());
  }

  /** One-way network delay between two zones, in microseconds, with jitter. */
  long delay(String from, String to) {
    long mean = micros(from.equals(to) ? experiment.network().sameZone() : experiment.network().crossZone());
    return withJitter(mean);
  }

  private long withJitter(long delayMicros) {
    return (long) (delayMicros * (1 + experiment.network().jitter() * chance.part()));
  }

  long clientDelay() {
    return withJitter(micros(experiment.network().clients()));
  }

  /** Interval between a client's messages, in microseconds. */
  long messagePeriod() {
    return micros(experiment.clients().messages());
  }

  /** Exponential backoff in microseconds, with jitter: between half and one and a half times the nominal wait. */
  long backoff(int tries) {
    long max = micros(experiment.clients().backoffMost());
    long wait = micros(experiment.clients().backoff()) << Math.min(20, Math.max(0, tries - 1));
    return Math.max(1000, (long) (Math.min(max, wait) * (0.5 + chance.part())));
  }

  /** Time until a client that was moved or cut off connects again, in microseconds. */
  long rejoin() {
    return chance.between(micros(experiment.clients().rejoinLeast()), micros(experiment.clients().rejoinMost()));
  }

  /** End of the warm-up; figures count from then on. */
  long countsFrom() {
    return START + micros(experiment.warmup());
  }

  long longestDeadline() {
    return experiment.classes().stream().mapToLong(type -> micros(type.deadline())).max().orElse(SECOND_MICROS);
  }

  long shortestMessageAim() {
    return experiment.classes().stream().mapToLong(type -> micros(type.message())).min().orElse(SECOND_MICROS);
  }

  Timing timing() {
    return timing;
  }

  Balancer module() {
    return variant.module() == Module.RANDOM ? new RandomBalancer() : new Policy();
  }

  /** The seed of the decision module for one incarnation of a proxy. */
  long seedOf(int proxy, int life) {
    return new Chance(seed, 1000L + 1000L * proxy + life).bits();
  }

  private ConnectionValue connectionValue() {
    Map<String, Double> connectionsByTenant = new HashMap<>();
    for (int i = 0; i < tenantShares.length; i++) {
      connectionsByTenant.put(experiment.tenants().get(i).name(), coveredConnections(i));
    }
    return new ConnectionValue(experiment.load().byWork(), experiment.load().overShare(), connectionsByTenant);
  }

  /** The settings that the platform would give the decision module of the proxy with this index. */
  Settings settings(int index, String zone) {
    double coldShare = experiment.kinds().stream().mapToDouble(Kind::coldShare).min().orElse(1);
    long warmUpMicros = experiment.kinds().stream().mapToLong(kind -> micros(kind.coldTime())).max().orElse(0);
    List<RequestClass> classes = experiment.classes().stream()
        .map(type -> new RequestClass(type.name(), Effect.IDEMPOTENT,
        DedupScope.ALL, micros(type.aim()), 0, type.worth(), micros(type.message()))).toList();
    double budgetFactor = mutant == Mutant.RAMPS_AS_IF_ALONE ? proxies.size() : 1;
    return new Settings(zone, index, proxies.size(), classes, true, 10 * SECOND_MICROS, 6, MOST_ADVICE, 0.02, 0.03,
        coldShare, warmUpMicros, budgetFactor * experiment.fleet().coldMultiple(),
        micros(experiment.fleet().coldWindow()), connectionValue(), experiment.fleet().reports());
  }
}
