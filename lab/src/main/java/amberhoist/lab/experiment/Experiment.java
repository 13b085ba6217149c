package amberhoist.lab.experiment;

import amberhoist.config.schema.Setting;
import java.time.Duration;
import java.util.List;

/** An experiment as described by its file: the simulated fleet and clients, the faults, the variants and the claims. */
@Setting("An experiment.")
public record Experiment(
    @Setting("Name in results and reports.") String name,
    @Setting("Question that the experiment answers, in one sentence.") String title,
    @Setting(value = "Length of a run.", min = "1s", max = "2h") Duration length,
    @Setting(value = "Warm-up; service is measured from its end on.", min = "0ms", max = "1h") Duration warmup,
    @Setting(value = "Length of a run with --quick; 0 for the normal length.", min = "0ms", max = "2h")
    Duration quick,
    @Setting(value = "Seeds; --seeds N uses the first N, continued upwards from the last one.", min = "0",
        max = "2000000000") List<Integer> seeds,
    Fleet fleet, Load load, Clients clients, Network network, Store store, Directory directory, List<MachineKind> kinds,
    List<ConnectionClass> classes, List<Tenant> tenants, List<Fault> faults, List<Variant> variants,
    List<Claim> claims) {

  /** Number and location of providers and proxies. */
  @Setting("Number and location of providers and proxies.")
  public record Fleet(
      @Setting(value = "Number of providers.", min = "1", max = "5000") int providers,
      @Setting(value = "Number of proxies; they share no state.", min = "1", max = "1000") int proxies,
      @Setting("Zones; providers and proxies are assigned to them in turn, clients at random.") List<String> zones,
      @Setting(value = "A cold provider is overloaded when it gets new connections at more than this multiple of the"
          + " rate that it can take ...", min = "1", max = "100") double coldMultiple,
      @Setting(value = "... over this time.", min = "100ms", max = "1m") Duration coldWindow,
      @Setting(value = "Load that each group with connections on a provider adds to theirs, in mean loads of its"
          + " class.", min = "0", max = "100") double groupCost,
      @Setting("Whether proxies may request load reports from providers.") boolean reports) {}

  /** The demand of clients. */
  @Setting("Demand of clients.")
  public record Load(
      @Setting(value = "Load of established connections over the capacity of all providers when warm.",
          min = "0.01", max = "5") double level,
      @Setting(value = "Amplitude of the periodic variation of the arrival rate, as a fraction of it.",
          min = "0", max = "1") double swing,
      @Setting(value = "Period of this variation.", min = "1s", max = "1h") Duration period,
      @Setting(value = "Mean number of clients in a group that shares work; 1 for no sharing.", min = "1", max = "1000")
      int groupSize,
      @Setting("Whether a connection's value is proportional to its load; if not, it depends on the class only.")
      boolean byWork,
      @Setting("Whether clients send a hint of their load.") boolean hints,
      @Setting(value = "Fraction of the fleet's capacity that the tenants' shares cover; connections of a tenant"
          + " beyond its share have less value.", min = "0.01", max = "100") double quota,
      @Setting(value = "Factor on the value of connections beyond a share.", min = "0", max = "1")
      double overShare) {}

  /** The behavior of clients. */
  @Setting("Behavior of clients.")
  public record Clients(
      @Setting(value = "Interval between a client's messages.", min = "100ms", max = "1m") Duration messages,
      @Setting(value = "A client that was moved or cut off reconnects after at least this time ...",
          min = "0ms", max = "1m") Duration rejoinLeast,
      @Setting(value = "... and at most this time.", min = "0ms", max = "1m") Duration rejoinMost,
      @Setting(value = "First backoff after a rejection, if the client does not wait for retry-after; then doubled.",
          min = "0ms", max = "1m") Duration backoff,
      @Setting(value = "Maximum backoff.", min = "0ms", max = "10m") Duration backoffMost,
      @Setting(value = "Share of clients that wait for the retry-after of a rejection.", min = "0", max = "1")
      double honour,
      @Setting(value = "Share of clients that retry immediately after a rejection.", min = "0", max = "1")
      double atOnce) {}

  /** The network. */
  @Setting("One-way delays of the network.")
  public record Network(
      @Setting(value = "Within a zone.", min = "0ms", max = "10s") Duration sameZone,
      @Setting(value = "Between zones.", min = "0ms", max = "10s") Duration crossZone,
      @Setting(value = "Between clients and proxies.", min = "0ms", max = "10s") Duration clients,
      @Setting(value = "Jitter: a random addition of up to this fraction of the delay.", min = "0", max = "5")
      double jitter,
      @Setting(value = "Round trips of a connection handshake.", min = "1", max = "10") int handshakes) {}

  /** The shared store. */
  @Setting("Shared store, which every setup calls.")
  public record Store(
      @Setting(value = "Maximum calls per second; 0 for no store.", min = "0", max = "1000000") double rate,
      @Setting(value = "Duration of a call without queueing.", min = "0ms", max = "10s") Duration time) {}

  /** The directory. */
  @Setting("Directory, whose updates arrive late.")
  public record Directory(
      @Setting(value = "A change reaches a proxy after at least this time ...", min = "0ms", max = "1m")
      Duration lateLeast,
      @Setting(value = "... and at most this time.", min = "0ms", max = "1m") Duration lateMost,
      @Setting(value = "Time until a host lost without notice is listed as gone.", min = "0ms", max = "10m")
      Duration silent) {}

  /** A kind of machine. */
  @Setting("A kind of machine.")
  public record MachineKind(
      @Setting("Name.") String name,
      @Setting(value = "Share of the providers, relative to the other kinds' shares.", min = "0", max = "1000000")
      double share,
      @Setting(value = "Number of cores.", min = "1", max = "1024") int cores,
      @Setting(value = "Work per core, in seconds of work per second.", min = "0.01", max = "100") double speed,
      @Setting(value = "Maximum deviation of a machine's speed, as a fraction.", min = "0", max = "1") double spread,
      @Setting(value = "Capacity of a machine that has just started, as a fraction of its warm capacity.",
          min = "0.01", max = "1") double coldShare,
      @Setting(value = "Time until it is warm; its capacity grows linearly until then.", min = "0ms", max = "1h")
      Duration coldTime,
      @Setting(value = "Maximum connections per core.", min = "1", max = "1000000") int connections,
      @Setting(value = "Maximum queued setups per core.", min = "1", max = "1000000") int queue,
      @Setting(value = "Share of setups that fail at random.", min = "0", max = "1") double errors,
      @Setting("Whether it keeps its connections while it drains, until it stops.") boolean keeps,
      @Setting("Connections that it drops while its backlog is too long: its `newest` or its `heaviest`.")
      Shed sheds) {
    /** Defaults of a kind of machine. */
    public static final MachineKind DEFAULT =
        new MachineKind("std", 1, 2, 1, 0.1, 0.2, Duration.ofSeconds(15), 750, 400, 0.001, false, Shed.NEWEST);
  }

  /** Which connections an overloaded provider drops first. */
  public enum Shed { NEWEST, HEAVIEST }

  /** A class of connections. */
  @Setting("A class of connections.")
  public record ConnectionClass(
      @Setting("Name.") String name,
      @Setting(value = "Share of the clients, relative to the other classes' shares.", min = "0", max = "1000000")
      double share,
      @Setting(value = "Value of a second served.", min = "0", max = "1000") double worth,
      @Setting(value = "Target for the duration of a setup.", min = "1ms", max = "1m") Duration aim,
      @Setting(value = "Time after which a client abandons a setup.", min = "10ms", max = "1m") Duration deadline,
      @Setting(value = "Target for the time until a message is answered.", min = "1ms", max = "1m") Duration message,
      @Setting(value = "Work of a message.", min = "0ms", max = "10s") Duration messageWork,
      @Setting(value = "Mean work of a setup.", min = "0ms", max = "10s") Duration setupWork,
      @Setting(value = "Mean load of a connection, in work per second.", min = "0us", max = "1s") Duration load,
      @Setting(value = "Spread of loads between connections (sigma of a log-normal distribution).",
          min = "0", max = "3") double spread,
      @Setting(value = "Variation of a connection's load over time (sigma of a log-normal distribution).",
          min = "0", max = "3") double swing,
      @Setting(value = "Mean time between changes of a connection's load.", min = "100ms", max = "10m") Duration change,
      @Setting(value = "Mean time for which a client wants a connection.", min = "1s", max = "10h") Duration life) {
    /** Defaults of a class. */
    public static final ConnectionClass DEFAULT =
        new ConnectionClass("scan-tiles", 1, 2, Duration.ofMillis(300), Duration.ofMillis(1200),
        Duration.ofMillis(100), Duration.ofMillis(5), Duration.ofMillis(8), Duration.ofMillis(30), 1.2, 0.5,
        Duration.ofSeconds(10), Duration.ofSeconds(100));
  }

  /** A tenant. */
  @Setting("A tenant.")
  public record Tenant(
      @Setting("Name.") String name,
      @Setting(value = "Share of the clients, relative to the other tenants' shares.", min = "0", max = "1000000")
      double share) {
    /** Defaults of a tenant. */
    public static final Tenant DEFAULT = new Tenant("acme", 1);
  }

  /** A fault to inject. */
  @Setting("A fault to inject.")
  public record Fault(
      @Setting(value = "Start, from the start of the run.", min = "0ms", max = "2h") Duration at,
      @Setting("`hang` (accepts work, answers nothing), `vanish` (lost without notice, restarts cold), `deploy`"
          + " (rolling drain and restart), `store_slow`, `drop` (clients close their connections), `proxy_restart`,"
          + " `cut` (a proxy and a provider cannot reach each other), `burst` (the first tenant sends more), `shrink`"
          + " (providers drain one after the other and do not return), `directory_down` (no updates).") FaultKind kind,
      @Setting(value = "Duration.", min = "0ms", max = "2h") Duration length,
      @Setting(value = "Share of providers, clients or proxies that it affects.", min = "0", max = "1") double share,
      @Setting(value = "Size: slowdown factor for `store_slow`, share of the fleet in a batch for `deploy`, share of"
          + " the providers for `cut`, factor on the traffic for `burst`, seconds to drain for `shrink`.",
          min = "0", max = "1000") double size) {
    /** Defaults of a fault. */
    public static final Fault DEFAULT = new Fault(Duration.ofSeconds(20), FaultKind.HANG, Duration.ofSeconds(10),
        0.1, 0.1);
  }

  /** The kinds of faults. */
  public enum FaultKind { HANG, VANISH, DEPLOY, STORE_SLOW, DROP, PROXY_RESTART, CUT, BURST, SHRINK, DIRECTORY_DOWN }

  /** A variant to compare with others. */
  @Setting("A variant to compare: the same runs with other settings or another decision module.")
  public record Variant(
      @Setting("Name.") String name,
      @Setting("Settings of the operator's file, such as `\"silence.alone=2s\"`.") List<String> set,
      @Setting("Decision module: `policy` (the project's) or `random` (any ready provider; a baseline).")
      Module module) {
    /** Defaults of a variant. */
    public static final Variant DEFAULT = new Variant("today", List.of(), Module.POLICY);
  }

  /** The decision modules. */
  public enum Module { POLICY, RANDOM }

  /** A claim about the results. */
  @Setting("A claim: bounds on the mean of a figure over all seeds.")
  public record Claim(
      @Setting("Variant; empty for each of them.") String variant,
      @Setting("Figure, such as `service`, `violations`, `setup_p99_ms`, `service.CLASS`.") String figure,
      @Setting("Variant whose figure on the same seeds is subtracted; empty for none.") String over,
      @Setting(value = "Minimum.", min = "-1000000000", max = "1000000000") double least,
      @Setting(value = "Maximum.", min = "-1000000000", max = "1000000000") double most) {
    /** Defaults of a claim. */
    public static final Claim DEFAULT = new Claim("", "violations", "", 0, 0);
  }

  /** Defaults of an experiment. */
  public static final Experiment DEFAULT = new Experiment("experiment", "", Duration.ofSeconds(60),
      Duration.ofSeconds(15), Duration.ZERO, List.of(1, 2, 3),
      new Fleet(12, 2, List.of("a", "b"), 4, Duration.ofSeconds(1), 1, false),
      new Load(0.6, 0, Duration.ofSeconds(30), 8, false, false, 100, 1),
      new Clients(Duration.ofSeconds(2), Duration.ofMillis(120), Duration.ofMillis(780), Duration.ofMillis(60),
          Duration.ofSeconds(2), 0.6, 0.2),
      new Network(Duration.ofNanos(240_000), Duration.ofMillis(15), Duration.ofNanos(500_000), 0.2, 2),
      new Store(0, Duration.ofMillis(10)),
      new Directory(Duration.ofMillis(800), Duration.ofSeconds(4), Duration.ofSeconds(8)),
      List.of(MachineKind.DEFAULT), List.of(ConnectionClass.DEFAULT), List.of(Tenant.DEFAULT), List.of(),
      List.of(Variant.DEFAULT), List.of());

  /** Returns this experiment with other faults. */
  public Experiment withFaults(List<Fault> newFaults) {
    return new Experiment(name, title, length, warmup, quick, seeds, fleet, load, clients, network, store, directory,
        kinds, classes, tenants, List.copyOf(newFaults), variants, claims);
  }

  /** The length of a run, or the short length, if there is one, when {@code quickly}. */
  public Duration length(boolean quickly) {
    return quickly && !quick.isZero() ? quick : length;
  }
}
