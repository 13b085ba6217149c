package amberhoist.lab.experiment;

import amberhoist.config.schema.Setting;
import java.time.Duration;
import java.util.List;

/** An experiment as its file describes it: the world, what goes wrong in it, what is compared and what is claimed. */
@Setting("An experiment.")
public record Experiment(
    @Setting("Name, for results and reports.") String name,
    @Setting("What it asks, in one sentence.") String title,
    @Setting(value = "How long the world runs.", min = "1s", max = "2h") Duration length,
    @Setting(value = "Service counts from then on.", min = "0ms", max = "1h") Duration warmup,
    @Setting(value = "How long it runs with --quick; 0 for as long as ever.", min = "0ms", max = "2h")
    Duration quick,
    @Setting(value = "Seeds; --seeds N takes the first N, and counts on from the last.", min = "0",
        max = "2000000000") List<Integer> seeds,
    Fleet fleet, Load load, Clients clients, Network network, Store store, Directory directory, List<Kind> kinds,
    List<Type> classes, List<Tenant> tenants, List<Fault> faults, List<Variant> variants, List<Claim> claims) {

  /** How many of everything. */
  @Setting("How many providers and proxies there are, and where.")
  public record Fleet(
      @Setting(value = "Providers.", min = "1", max = "5000") int providers,
      @Setting(value = "Proxies; they share nothing.", min = "1", max = "1000") int proxies,
      @Setting("Zones; providers, proxies and clients are spread over them in turn.") List<String> zones,
      @Setting(value = "A cold provider falls over when it gets more than this multiple of its capacity of new"
          + " connections ...", min = "1", max = "100") double coldMultiple,
      @Setting(value = "... for this long.", min = "100ms", max = "1m") Duration coldWindow,
      @Setting(value = "What a group's first connection costs a provider beside its own load, in usual loads of its"
          + " class.", min = "0", max = "100") double groupCost,
      @Setting("Whether proxies may ask providers for their load reports.") boolean reports) {}

  /** What clients want. */
  @Setting("What clients want.")
  public record Load(
      @Setting(value = "Standing load over what all warm providers can carry.", min = "0.01", max = "5") double level,
      @Setting(value = "How far arrivals swing over the day, as a part of their rate.", min = "0", max = "1")
      double swing,
      @Setting(value = "Length of one swing.", min = "1s", max = "1h") Duration period,
      @Setting(value = "Clients that share work, on average; 1 for none.", min = "1", max = "1000") int groupSize,
      @Setting("Whether a connection's worth grows with its load; otherwise all of a class are worth the same.")
      boolean byWork,
      @Setting("Whether clients bring a guess at their load.") boolean hints,
      @Setting(value = "Part of what the fleet can carry that the accounts' shares cover; what an account wants beyond"
          + " its own is worth less.", min = "0.01", max = "100") double quota,
      @Setting(value = "The part that is left of the worth of what is beyond a share.", min = "0", max = "1")
      double overShare) {}

  /** How clients behave. */
  @Setting("How clients behave.")
  public record Clients(
      @Setting(value = "Between a client's messages.", min = "100ms", max = "1m") Duration messages,
      @Setting(value = "A client that was moved or cut off comes back after this ...", min = "0ms", max = "1m")
      Duration rejoinLeast,
      @Setting(value = "... or up to this.", min = "0ms", max = "1m") Duration rejoinMost,
      @Setting(value = "After a rejection without advice, a client waits this long; doubles each time.",
          min = "0ms", max = "1m") Duration backoff,
      @Setting(value = "The longest such wait.", min = "0ms", max = "10m") Duration backoffMost,
      @Setting(value = "Share of clients that wait as they are advised.", min = "0", max = "1") double honour,
      @Setting(value = "Share of clients that come again at once after a rejection.", min = "0", max = "1")
      double atOnce) {}

  /** The network. */
  @Setting("Delays of the network, one way.")
  public record Network(
      @Setting(value = "Within a zone.", min = "0ms", max = "10s") Duration sameZone,
      @Setting(value = "Between zones.", min = "0ms", max = "10s") Duration crossZone,
      @Setting(value = "Between clients and proxies.", min = "0ms", max = "10s") Duration clients,
      @Setting(value = "Jitter, as a part of the delay.", min = "0", max = "5") double jitter,
      @Setting(value = "Round trips of a handshake.", min = "1", max = "10") int handshakes) {}

  /** The store that all set-ups share. */
  @Setting("The store that every set-up asks.")
  public record Store(
      @Setting(value = "Set-ups a second that it can take; 0 for no store.", min = "0", max = "1000000") double rate,
      @Setting(value = "What a call takes when nobody waits.", min = "0ms", max = "10s") Duration time) {}

  /** The directory. */
  @Setting("The directory, which hears of things late.")
  public record Directory(
      @Setting(value = "A change that is told reaches a proxy after this ...", min = "0ms", max = "1m")
      Duration lateLeast,
      @Setting(value = "... or up to this.", min = "0ms", max = "1m") Duration lateMost,
      @Setting(value = "A host that is lost without a sign is noticed after this.", min = "0ms", max = "10m")
      Duration silent) {}

  /** A kind of machine. */
  @Setting("A kind of machine.")
  public record Kind(
      @Setting("Name.") String name,
      @Setting(value = "Share of the providers, beside the other kinds'.", min = "0", max = "1000000") double share,
      @Setting(value = "Cores.", min = "1", max = "1024") int cores,
      @Setting(value = "Work that a core does, in seconds a second.", min = "0.01", max = "100") double speed,
      @Setting(value = "Spread of speed between machines, as a part.", min = "0", max = "1") double spread,
      @Setting(value = "Capacity of a machine that has just started, as a part.", min = "0.01", max = "1")
      double coldShare,
      @Setting(value = "Until it is warm.", min = "0ms", max = "1h") Duration coldTime,
      @Setting(value = "Connections that a core holds at most.", min = "1", max = "1000000") int connections,
      @Setting(value = "Set-ups that wait on a core at most.", min = "1", max = "1000000") int queue,
      @Setting(value = "Share of set-ups that fail for no reason.", min = "0", max = "1") double errors,
      @Setting("Whether it keeps its connections while it drains, until it stops.") boolean keeps,
      @Setting("What it drops while too much is piled up: its `newest` or its `heaviest` connections.")
      Shed sheds) {
    /** What holds where a kind says nothing. */
    public static final Kind DEFAULT =
        new Kind("std", 1, 2, 1, 0.1, 0.2, Duration.ofSeconds(15), 750, 400, 0.001, false, Shed.NEWEST);
  }

  /** What a provider drops first. */
  public enum Shed { NEWEST, HEAVIEST }

  /** A class of connections. */
  @Setting("A class of connections.")
  public record Type(
      @Setting("Name.") String name,
      @Setting(value = "Share of the clients, beside the other classes'.", min = "0", max = "1000000") double share,
      @Setting(value = "Worth of a second served.", min = "0", max = "1000") double worth,
      @Setting(value = "Aim for the set-up.", min = "1ms", max = "1m") Duration aim,
      @Setting(value = "A client gives a set-up up after this.", min = "10ms", max = "1m") Duration deadline,
      @Setting(value = "Aim for a message's answer.", min = "1ms", max = "1m") Duration message,
      @Setting(value = "Work of a message.", min = "0ms", max = "10s") Duration messageWork,
      @Setting(value = "Work of a set-up.", min = "0ms", max = "10s") Duration setupWork,
      @Setting(value = "Usual load of a connection, work a second.", min = "0us", max = "1s") Duration load,
      @Setting(value = "Spread of loads between connections (sigma of a log-normal).", min = "0", max = "3")
      double spread,
      @Setting(value = "Swing of one connection's load about its own (sigma).", min = "0", max = "3") double swing,
      @Setting(value = "Between changes of a connection's load.", min = "100ms", max = "10m") Duration change,
      @Setting(value = "How long clients want a connection, on average.", min = "1s", max = "10h") Duration life) {
    /** What holds where a class says nothing. */
    public static final Type DEFAULT = new Type("scan-tiles", 1, 2, Duration.ofMillis(300), Duration.ofMillis(1200),
        Duration.ofMillis(100), Duration.ofMillis(5), Duration.ofMillis(8), Duration.ofMillis(30), 1.2, 0.5,
        Duration.ofSeconds(10), Duration.ofSeconds(100));
  }

  /** An account. */
  @Setting("An account.")
  public record Tenant(
      @Setting("Name.") String name,
      @Setting(value = "Share of the clients, beside the other accounts'.", min = "0", max = "1000000") double share) {
    /** What holds where an account says nothing. */
    public static final Tenant DEFAULT = new Tenant("acme", 1);
  }

  /** What goes wrong. */
  @Setting("Something that goes wrong.")
  public record Fault(
      @Setting(value = "When it begins.", min = "0ms", max = "2h") Duration at,
      @Setting("`hang` (takes work, answers nothing), `vanish` (no sign, comes back cold), `deploy` (rolling drain and"
          + " restart), `store_slow`, `drop` (clients cut off at once), `proxy_restart`, `cut` (a proxy and a provider"
          + " cannot reach each other), `burst` (the first account sends more), `shrink` (providers drain, one after"
          + " the other, and stay away), `directory_down` (no change is told).") FaultKind kind,
      @Setting(value = "How long it lasts.", min = "0ms", max = "2h") Duration length,
      @Setting(value = "Share of providers, clients or proxies that it meets.", min = "0", max = "1") double share,
      @Setting(value = "How much: times slower for `store_slow`, share of the fleet at once for `deploy`, times the"
          + " usual traffic for `burst`, seconds to drain for `shrink`.",
          min = "0", max = "1000") double size) {
    /** What holds where a fault says nothing. */
    public static final Fault DEFAULT = new Fault(Duration.ofSeconds(20), FaultKind.HANG, Duration.ofSeconds(10),
        0.1, 0.1);
  }

  /** The kinds of faults. */
  public enum FaultKind { HANG, VANISH, DEPLOY, STORE_SLOW, DROP, PROXY_RESTART, CUT, BURST, SHRINK, DIRECTORY_DOWN }

  /** Something to compare. */
  @Setting("Something to compare: the same worlds under other keys or another module.")
  public record Variant(
      @Setting("Name.") String name,
      @Setting("Operator's keys, as in `\"silence.alone=2s\"`.") List<String> set,
      @Setting("`policy` (the project's module) or `random` (any ready provider; a floor to measure from).")
      Module module) {
    /** What holds where a variant says nothing. */
    public static final Variant DEFAULT = new Variant("today", List.of(), Module.POLICY);
  }

  /** The modules to choose from. */
  public enum Module { POLICY, RANDOM }

  /** What must come out. */
  @Setting("A claim: a bound on a figure, over the mean of all seeds.")
  public record Claim(
      @Setting("The variant; empty for each.") String variant,
      @Setting("The figure, such as `service`, `violations`, `setup_p99_ms`, `service.CLASS`.") String figure,
      @Setting("Minus the same figure of this variant on the same seeds; empty for the figure itself.") String over,
      @Setting(value = "Not less than this.", min = "-1000000000", max = "1000000000") double least,
      @Setting(value = "Not more than this.", min = "-1000000000", max = "1000000000") double most) {
    /** What holds where a claim says nothing. */
    public static final Claim DEFAULT = new Claim("", "violations", "", 0, 0);
  }

  /** What holds where a file says nothing. */
  public static final Experiment DEFAULT = new Experiment("experiment", "", Duration.ofSeconds(60),
      Duration.ofSeconds(15), Duration.ZERO, List.of(1, 2, 3),
      new Fleet(12, 2, List.of("a", "b"), 4, Duration.ofSeconds(1), 1, false),
      new Load(0.6, 0, Duration.ofSeconds(30), 8, false, false, 100, 1),
      new Clients(Duration.ofSeconds(2), Duration.ofMillis(120), Duration.ofMillis(780), Duration.ofMillis(60),
          Duration.ofSeconds(2), 0.6, 0.2),
      new Network(Duration.ofNanos(240_000), Duration.ofMillis(15), Duration.ofNanos(500_000), 0.2, 2),
      new Store(0, Duration.ofMillis(10)),
      new Directory(Duration.ofMillis(800), Duration.ofSeconds(4), Duration.ofSeconds(8)),
      List.of(Kind.DEFAULT), List.of(Type.DEFAULT), List.of(Tenant.DEFAULT), List.of(), List.of(Variant.DEFAULT),
      List.of());

  /** The same with other faults. */
  public Experiment with(List<Fault> others) {
    return new Experiment(name, title, length, warmup, quick, seeds, fleet, load, clients, network, store, directory,
        kinds, classes, tenants, List.copyOf(others), variants, claims);
  }

  /** How long it runs. */
  public Duration length(boolean quickly) {
    return quickly && !quick.isZero() ? quick : length;
  }
}
