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
import amberhoist.lab.experiment.Experiment.ConnectionClass;
import amberhoist.lab.experiment.Experiment.MachineKind;
import amberhoist.lab.experiment.Experiment.Module;
import amberhoist.lab.experiment.Experiment.Tenant;
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
public final class Simulation {
  static final long START_MICROS = 1_000_000_000_000L; // start of the run; times of 0 mean "before it"
  static final long MAX_RETRY_AFTER_MICROS = 1_500_000;
  private static final long SECOND_MICROS = 1_000_000;

  final Experiment experiment;
  final Mutant mutant;
  final VirtualTime time = new VirtualTime(START_MICROS);
  final RandomSource random;
  final EventHash eventHash = new EventHash();
  final ProtocolChecker checker;
  final Figures figures;
  private final RandomSource arrivals; // separate, so that all variants get the same clients
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
  private final double typicalLoad;
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
  public Simulation(Experiment experiment, Variant variant, long seed, boolean quick) {
    this(experiment, variant, seed, quick, Mutant.NONE);
  }

  /** Creates a run whose proxies have this defect. */
  public Simulation(Experiment experiment, Variant variant, long seed, boolean quick, Mutant mutant) {
    this.mutant = mutant;
    this.experiment = experiment;
    this.variant = variant;
    this.seed = seed;
    lengthMicros = micros(experiment.length(quick));
    random = new RandomSource(seed, 1);
    arrivals = new RandomSource(seed, 2);
    timing = ExperimentFile.operatorSettings(variant).operator().coreTiming();
    checker = new ProtocolChecker(this);
    figures = new Figures(this, (int) (lengthMicros / SECOND_MICROS));
    typeShares = experiment.classes().stream().mapToDouble(ConnectionClass::share).toArray();
    tenantShares = experiment.tenants().stream().mapToDouble(Tenant::share).toArray();
    List<String> zones = experiment.fleet().zones();
    double[] kindShares = experiment.kinds().stream().mapToDouble(MachineKind::share).toArray();
    RandomSource machineRandom = new RandomSource(seed, 3);
    double totalCapacity = 0;
    for (int i = 0; i < experiment.fleet().providers(); i++) {
      EmulatedProvider provider = new EmulatedProvider(this, "s" + i, zones.get(i % zones.size()),
          experiment.kinds().get(machineRandom.nextIndex(kindShares)), machineRandom);
      providersByName.put(provider.name, provider);
      providers.add(provider);
      totalCapacity += provider.capacityPerSecond();
    }
    capacity = totalCapacity;
    for (int i = 0; i < experiment.fleet().proxies(); i++) {
      proxies.add(new EmulatedProxy(this, i, zones.get(i % zones.size())));
    }
    inRotation = new boolean[proxies.size()];
    typicalLoad = weightedMean(type -> micros(type.load()));
    typicalLifeSeconds = weightedMean(type -> micros(type.life()) / 1e6);
    new FaultInjector(this, new RandomSource(seed, 4)).schedule(experiment.faults());
  }

  private double weightedMean(java.util.function.ToDoubleFunction<ConnectionClass> property) {
    double sum = 0;
    double weights = 0;
    for (ConnectionClass type : experiment.classes()) {
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
   * @param eventCount number of events handled
   * @param elapsedNanos elapsed real time of the run
   * @param serviceBySecond value answered in time over value wanted
   */
  public record RunResult(Map<String, Double> figures, List<ProtocolChecker.Violation> violations, String hash,
      long eventCount, long elapsedNanos, double[] serviceBySecond) {}

  /** Runs the simulation to its end. May be called once. */
  public RunResult run() {
    long startNanos = System.nanoTime();
    proxies.forEach(this::startProxy);
    for (EmulatedProxy proxy : proxies) {
      inRotation[proxy.index] = true;
    }
    long initialClients = Math.round(experiment.load().level() * capacity / typicalLoad);
    for (long i = 0; i < initialClients; i++) {
      time.runAt(START_MICROS + (long) (arrivals.nextFraction() * micros(experiment.warmup()) * 0.6), this::newClient);
    }
    scheduleArrival(initialClients / typicalLifeSeconds);
    time.runUntil(START_MICROS + lengthMicros);
    clients.forEach(EmulatedClient::onSimulationEnd);
    long attempts = pastAttempts + proxies.stream().mapToLong(proxy -> proxy.counters().get(Count.CALLS)).sum();
    return new RunResult(figures.byName(checker, attempts), checker.violations(), eventHash.toString(),
        time.handledEvents(), System.nanoTime() - startNanos, figures.serviceBySecond());
  }

  private void scheduleArrival(double perSecond) {
    double phase = (time.now() - START_MICROS) * 2 * StrictMath.PI / micros(experiment.load().period());
    double burstFactor = 1 + (trafficFactor - 1) * tenantShares[0] / Arrays.stream(tenantShares).sum();
    double rate = perSecond * burstFactor * (1 + experiment.load().swing() * StrictMath.sin(phase));
    time.runAfter((long) (arrivals.nextExponential(1e6 / Math.max(1e-6, rate))), () -> {
      newClient();
      scheduleArrival(perSecond);
    });
  }

  private void newClient() {
    int typeIndex = arrivals.nextIndex(typeShares);
    double[] shares = tenantShares.clone();
    shares[0] *= trafficFactor;
    int tenantIndex = arrivals.nextIndex(shares);
    int groups = Math.max(1,
        (int) (experiment.load().level() * capacity / typicalLoad / experiment.load().groupSize()));
    int group = arrivals.nextInt(groups);
    List<String> zones = experiment.fleet().zones();
    String zone = zones.get(arrivals.nextInt(zones.size()));
    long lifeMicros = (long) (arrivals.nextExponential(micros(experiment.classes().get(typeIndex).life())));
    long tenantClients = clients.stream().filter(other -> other.tenantIndex == tenantIndex).count();
    double valueFraction = tenantClients < coveredConnections(tenantIndex) ? 1 : experiment.load().overShare();
    EmulatedClient client = new EmulatedClient(this, ++clientCount, typeIndex, tenantIndex, group, zone,
        Math.max(SECOND_MICROS, lifeMicros), valueFraction);
    clients.add(client);
    client.connect();
  }

  /** The number of connections that a tenant's share covers. */
  private double coveredConnections(int tenant) {
    return experiment.load().quota() * capacity / typicalLoad * tenantShares[tenant]
        / Arrays.stream(tenantShares).sum();
  }

  /** Mean load of a connection, microseconds of work per second. */
  double typicalLoad() {
    return typicalLoad;
  }

  /** Multiplies the arrivals of the first tenant by this factor from now on. */
  void setTrafficFactor(double factor) {
    trafficFactor = factor;
  }

  /** Holds back all directory updates until this time. */
  void pauseDirectory(long until) {
    directoryBackAt = until;
  }

  void removeClient(EmulatedClient client) {
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
  EmulatedProxy assignProxy(EmulatedClient client) {
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
  void setInRotation(EmulatedProxy proxy, boolean admitted) {
    inRotation[proxy.index] = admitted;
  }

  /** Starts or restarts a proxy with the current server list, and adds the counts before a restart to the totals. */
  void startProxy(EmulatedProxy proxy) {
    if (proxy.incarnation() > 0) {
      pastAttempts += proxy.counters().get(Count.CALLS);
      pastInvocations += proxy.counters().get(Count.INVOCATIONS);
      proxy.resetCounters();
    }
    proxy.start(providers.stream().map(EmulatedProvider::directoryEntry).toList());
  }

  /** Invocations of all proxies in the whole run. */
  long invocations() {
    return pastInvocations + proxies.stream().mapToLong(proxy -> proxy.counters().get(Count.INVOCATIONS)).sum();
  }

  /** Sends a provider's current directory entry to all proxies, each with its own random delay. */
  void publish(EmulatedProvider provider) {
    Server entry = provider.directoryEntry();
    for (EmulatedProxy proxy : proxies) {
      long delay = random.nextBetween(micros(experiment.directory().lateLeast()),
          micros(experiment.directory().lateMost()));
      time.runAt(Math.max(time.now(), directoryBackAt) + delay,
          () -> proxy.onDirectoryUpdate(ListUpdateKind.CHANGES, List.of(entry)));
    }
  }

  /** Whether all proxies have received by now a change that the directory published at this time. */
  boolean isPropagated(long publishedAt) {
    return Math.max(publishedAt, directoryBackAt) + micros(experiment.directory().lateMost()) < time.now();
  }

  /** Time until the directory notices a host that was lost without notice, in microseconds. */
  long lossDetectionMicros() {
    return micros(experiment.directory().silent());
  }

  /** Places a call to the shared store and returns the time of its answer. */
  long callStore() {
    long now = time.now();
    if (experiment.store().rate() == 0) {
      return now;
    }
    storeFreeAt = Math.max(now, storeFreeAt) + (long) (1e6 * storeSlowdown / experiment.store().rate());
    return storeFreeAt + micros(experiment.store().time());
  }

  /** Sets the factor by which the shared store is slowed down; 1 for none. */
  void setStoreSlowdown(double factor) {
    storeSlowdown = factor;
  }

  /**
   * The rate of new connections, per second, that a provider can take: at this rate, connections of typical load fill
   * its capacity within a typical connection's life, or within its warm-up if that is shorter.
   */
  double newConnectionsPerSecond(EmulatedProvider provider) {
    return provider.capacityPerSecond() / typicalLoad / Math.min(typicalLifeSeconds, provider.warmUpSeconds());
  }

  /** One-way network delay between two zones, in microseconds, with jitter. */
  long networkDelay(String fromZone, String toZone) {
    long mean = micros(fromZone.equals(toZone) ? experiment.network().sameZone() : experiment.network().crossZone());
    return withJitter(mean);
  }

  private long withJitter(long delayMicros) {
    return (long) (delayMicros * (1 + experiment.network().jitter() * random.nextFraction()));
  }

  long clientDelay() {
    return withJitter(micros(experiment.network().clients()));
  }

  /** Interval between a client's messages, in microseconds. */
  long messageIntervalMicros() {
    return micros(experiment.clients().messages());
  }

  /** Exponential backoff in microseconds, with jitter: between half and one and a half times the nominal wait. */
  long backoff(int attempts) {
    long max = micros(experiment.clients().backoffMost());
    long wait = micros(experiment.clients().backoff()) << Math.min(20, Math.max(0, attempts - 1));
    return Math.max(1000, (long) (Math.min(max, wait) * (0.5 + random.nextFraction())));
  }

  /** Time until a client that was moved or cut off connects again, in microseconds. */
  long reconnectDelay() {
    return random.nextBetween(micros(experiment.clients().rejoinLeast()), micros(experiment.clients().rejoinMost()));
  }

  /** End of the warm-up; figures count from then on. */
  long warmupEnd() {
    return START_MICROS + micros(experiment.warmup());
  }

  long maxDeadlineMicros() {
    return experiment.classes().stream().mapToLong(type -> micros(type.deadline())).max().orElse(SECOND_MICROS);
  }

  long minMessageTarget() {
    return experiment.classes().stream().mapToLong(type -> micros(type.message())).min().orElse(SECOND_MICROS);
  }

  Timing timing() {
    return timing;
  }

  Balancer newBalancer() {
    return variant.module() == Module.RANDOM ? new RandomBalancer() : new Policy();
  }

  /** The seed of the decision module for one incarnation of a proxy. */
  long balancerSeed(int proxyIndex, int incarnation) {
    return new RandomSource(seed, 1000L + 1000L * proxyIndex + incarnation).nextLong();
  }

  private ConnectionValue connectionValue() {
    Map<String, Double> connectionsByTenant = new HashMap<>();
    for (int i = 0; i < tenantShares.length; i++) {
      connectionsByTenant.put(experiment.tenants().get(i).name(), coveredConnections(i));
    }
    return new ConnectionValue(experiment.load().byWork(), experiment.load().overShare(), connectionsByTenant);
  }

  /** The settings that the platform would give the decision module of the proxy with this index. */
  Settings settings(int proxyIndex, String zone) {
    double coldShare = experiment.kinds().stream().mapToDouble(MachineKind::coldShare).min().orElse(1);
    long warmUpMicros = experiment.kinds().stream().mapToLong(kind -> micros(kind.coldTime())).max().orElse(0);
    List<RequestClass> classes = experiment.classes().stream()
        .map(type -> new RequestClass(type.name(), Effect.IDEMPOTENT, DedupScope.ALL, micros(type.aim()), 0,
            type.worth(), micros(type.message())))
        .toList();
    double budgetFactor = mutant == Mutant.RAMPS_AS_IF_ALONE ? proxies.size() : 1;
    return new Settings(zone, proxyIndex, proxies.size(), classes, true, 10 * SECOND_MICROS, 6, MAX_RETRY_AFTER_MICROS,
        0.02, 0.03, coldShare, warmUpMicros, budgetFactor * experiment.fleet().coldMultiple(),
        micros(experiment.fleet().coldWindow()), connectionValue(), experiment.fleet().reports());
  }
}
