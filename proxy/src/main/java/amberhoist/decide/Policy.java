package amberhoist.decide;

import amberhoist.decide.BalancerState.AffinityEntry;
import amberhoist.decide.BalancerState.ConnectionGroup;
import amberhoist.decide.BalancerState.DecayingRate;
import amberhoist.decide.BalancerState.TrackedRequest;
import amberhoist.decide.BalancerState.TrackedServer;
import amberhoist.decide.BalancerState.TypicalLoad;
import amberhoist.decide.table.BoundedTable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The balancer's decisions, by affinity and rotation. Balancer.java defines all types, events and actions.
 *
 * <p>The central method is {@link #selectServer}: an unexpired affinity entry decides; without one the rotation does,
 * with a check of the load. {@link #isUsable} lists the conditions under which a server is passed over.
 */
public final class Policy implements Balancer {
  // Times are in microseconds, as the names say; fractions and factors have no unit.

  /** Lifetime of an affinity entry: longer than a client's pauses, too short to last until a visit on another day. */
  static final long AFFINITY_TTL_MICROS = 60_000_000;
  /** Interval between checks of queued requests and deadlines: well below any setup target. */
  static final long TICK_INTERVAL_MICROS = 20_000;
  /** Interval between scans of all servers: long enough for scans of hundreds of servers to cost little. */
  static final long SCAN_INTERVAL_MICROS = 100_000;
  /** Interval between removals of old entries. */
  static final long SWEEP_INTERVAL_MICROS = 10_000_000;
  /** How long before the deadline an answer is given, since a batch of events may come late. */
  static final long ANSWER_MARGIN_MICROS = 2 * TICK_INTERVAL_MICROS;
  /** Minimum time left for a further attempt: a few round trips. */
  static final long MIN_RETRY_TIME_MICROS = 50_000;

  /** Maximum delay of the first subscription, as a fraction of the age up to which the list counts as known. */
  static final double FIRST_SUBSCRIBE_FRACTION = 0.25;
  /** Base wait after a failed call to the list service; doubled with each further failure. */
  static final long MIN_LIST_RETRY_MICROS = 500_000;
  /** Maximum base wait after a failed call to the list service, so that the list does not become too old. */
  static final long MAX_LIST_RETRY_MICROS = 8_000_000;

  /** Fraction of the warm-up budget to use, since the capacity is an estimate and random arrivals cluster. */
  static final double WARM_UP_BUDGET_FRACTION = 0.8;
  /** Averaging time for the rate of finished connections: spans about a dozen of them at full size. */
  static final double COMPLETION_RATE_MEMORY_MICROS = 30_000_000;

  /** Fraction of the shortest message target; a server whose messages take longer gets no new connections. */
  static final double AVOID_DELAY_FRACTION = 0.33;
  /** Fraction of the shortest message target; a server whose messages take this long is offloaded in part. */
  static final double OFFLOAD_DELAY_FRACTION = 0.5;
  /**
   * Fraction of the shortest message target; messages that take this long have no value, so nothing is added, even
   * if requests are queued.
   */
  static final double MAX_DELAY_FRACTION = 1.0;
  /** How long a delay report remains valid; one arrives each second. */
  static final long DELAY_REPORT_TTL_MICROS = 2_500_000;
  /** Interval between delay reports; queued work is to be finished by the next one. */
  static final double DELAY_REPORT_INTERVAL_MICROS = 1_000_000;

  /** Maximum of a load limit, as a fraction of the load at which the server was overloaded or dropped connections. */
  static final double LOAD_LIMIT_FRACTION = 0.7;
  /** Time in which a lowered load limit grows by a factor of e while the server is not overloaded. */
  static final double LOAD_LIMIT_GROWTH_MICROS = 14_000_000;
  /** Lower bound of a load limit, as a fraction of the fair share: with less than this, load is not the cause. */
  static final double MIN_LOAD_LIMIT_FRACTION = 0.5;

  /** Multiple of its fair share that a preferred server accepts, since all balancers fill the same ones. */
  static final double FAIR_SHARE_FACTOR = 1.5;
  /** Connections accepted beyond the fair share, by a cold server a random part of them: all balancers add theirs. */
  static final double EXTRA_CONNECTIONS = 2;
  /** Range of offsets into the preferred servers of a group, as a fraction of the servers that its load requires. */
  static final double OFFSET_RANGE_FRACTION = 0.5;
  /** Step between the offsets of a group's requests; the golden ratio distributes them evenly. */
  static final double OFFSET_STEP = 0.618034;
  /** The preferred servers of a group hold this multiple of the group's load at their fair share. */
  static final double GROUP_SPREAD_FACTOR = 1.5;
  /** The same in a large fleet without load reports, where a balancer cannot see which preferred server is full. */
  static final double GROUP_SPREAD_NO_REPORTS = 2.5;
  /** Factor for the request counts of groups at each removal of old entries: a memory of one minute. */
  static final double GROUP_COUNT_DECAY = 0.85;
  /** Weight, in requests, of the prior assumption that a new group accounts for a tenth of all requests. */
  static final double PRIOR_REQUESTS = 9;
  /** Minimum number of preferred servers: if one fails, its clients do not all go to the same other server. */
  static final int MIN_PREFERRED_SERVERS = 3;
  /** Load that a group costs a server, in mean connection loads: an estimate, since no setting states it. */
  static final double GROUP_COST_MEAN_LOADS = 4;

  /** How long a server is ejected after a failed setup; doubled with each consecutive failure. */
  static final long BASE_EJECTION_MICROS = 500_000;
  /** Maximum number of failures counted: limits an ejection to some seconds, so that a recovered server is noticed. */
  static final int MAX_CONSECUTIVE_FAILURES = 6;

  /** Maximum number of retry tokens; setups are throttled when net failures have used half of them. */
  static final double MAX_RETRY_TOKENS = 20;
  /** Tokens gained by a successful setup: during recovery setups double at most. */
  static final double RETRY_TOKENS_PER_SUCCESS = 1.5;
  /** Tokens gained over time: one setup every 5 s from each of many balancers is little load. */
  static final double RETRY_TOKENS_PER_MICRO = 0.2e-6;

  /**
   * Maximum number of balancers of a small fleet. Every setup calls the shared store, so a balancer of a larger fleet
   * takes only a fraction of what one of a small fleet does.
   */
  static final double MAX_SMALL_FLEET_BALANCERS = 4;
  /** Initial setup concurrency limit, until the latency of setups is known. */
  static final double INITIAL_SETUP_LIMIT = 10;
  static final double MIN_SETUP_LIMIT = 2;
  static final double MAX_SETUP_LIMIT = 100;
  /** Factor for the setup limit when setups become slow. */
  static final double SETUP_LIMIT_FACTOR = 0.7;
  /** Smallest factor that one failure applies to the setup limit: the failure may be the server's own. */
  static final double MIN_SETUP_LIMIT_FACTOR = 0.3;
  /** Maximum time between setups: by then, what is known about the shared store is out of date. */
  static final long MAX_SETUP_SPACING_MICROS = 20_000_000;

  /** Fraction of a client's wait for which a request may be queued, since the setup itself still takes time. */
  static final double MAX_QUEUED_FRACTION = 0.5;
  /** Number of loads reported for a class before its typical load is used. */
  static final int MIN_LOAD_SAMPLES = 5;
  /** Number of loads over which the typical load is averaged: few enough to follow changes within a day. */
  static final int MAX_LOAD_SAMPLES = 100;

  /** Utilization from which on a server is overloaded, and some of its connections are moved. */
  static final double HIGH_UTILIZATION = 0.85;
  /** Utilization that remains after offloading: nearly all servers at this level meet the message target. */
  static final double OFFLOADED_UTILIZATION = 0.8;
  /** Difference in utilization that justifies a server in another zone, because crossing zones has a cost. */
  static final double CROSS_ZONE_PENALTY = 0.1;
  /** Lower bound for the mean utilization of warm servers, because a few reports may miss the busy ones. */
  static final double MIN_WARM_UTILIZATION = 0.25;
  /** How long a load report remains valid: loads vary within a few seconds. */
  static final long LOAD_REPORT_TTL_MICROS = 3_000_000;
  /** Maximum wait for load reports before a first attempt: covers round trips to another zone. */
  static final long LOAD_REPORT_WAIT_MICROS = 4 * TICK_INTERVAL_MICROS;
  /** Rate of load report requests per connection: each server is asked every few seconds. */
  static final double REPORT_REQUESTS_PER_MICRO = 0.1e-6;

  /** Fraction of a load limit reserved from connections of no value; less is reserved from more valuable ones. */
  static final double LOAD_LIMIT_RESERVE_FRACTION = 0.6;
  /** Time within which a suspended server loses its connections, and within which a resumed one is probed. */
  static final long SUSPEND_DRAIN_MICROS = 2_000_000;
  /** A reset before this age counts as a failed setup, because servers drop their newest connections first. */
  static final long EARLY_RESET_MICROS = 3_000_000;

  /** Memory of each table by names that clients choose, if the creator of this module names none. */
  private static final long DEFAULT_MAX_TABLE_BYTES = 8L << 20;
  private static final int REFERENCE_BYTES = 4;

  private static final RequestClass UNKNOWN_CLASS =
      new RequestClass("", Effect.NON_IDEMPOTENT, DedupScope.CELL, 0, 0, 1, 0);

  private final Map<String, TrackedServer> servers = new LinkedHashMap<>();
  private final List<TrackedServer> rotation = new ArrayList<>();
  private final BoundedTable<AffinityEntry> affinityEntries; // by client key
  private final Map<String, Long> suspendedAt = new HashMap<>(); // by server name
  private final BoundedTable<ConnectionGroup> groups; // by name
  private final BoundedTable<List<TrackedServer>> rankings; // of the servers in the rotation, by name of the group
  private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private ArrayDeque<TrackedRequest> queued = new ArrayDeque<>();
  private Settings settings;
  private Actions actions;
  private Random random;
  private double minMessageTargetMicros = Double.MAX_VALUE;
  private double totalLoad;
  private int serverGroupPairs; // pairs of a server and a group that has connections on it
  private double totalCapacity; // of all servers in the rotation, cold ones at their present capacity
  private double warmCapacity; // of the warm servers in the rotation
  private double warmUtilization = 1; // mean over the warm servers
  private final Map<String, Integer> tenantConnections = new HashMap<>(); // open connections
  private final Map<String, TypicalLoad> typicalLoads = new HashMap<>();
  private double meanLoad = 10_000;
  private double maxValue = 1; // of a unit of load, over all classes
  private int nextIndex; // in the rotation
  private final DecayingRate completionRate = new DecayingRate(COMPLETION_RATE_MEMORY_MICROS);
  private double recentGroupedRequests;
  private double retryTokens = MAX_RETRY_TOKENS;
  private long retryTokensAt;
  private int setupsInFlight;
  private double fleetShare; // of the use of the shared store that a balancer of a small fleet may make
  private boolean attemptsStopped;
  private boolean usesLoadReports; // in a large fleet, where own connections are too few to judge servers by
  private double setupLimit;
  private long nextSetupAt; // while the setup limit is below one
  private long setupLimitLoweredAt;
  private double minSetupTargetMicros = Double.MAX_VALUE;
  private long nextScanAt;
  private long nextSweepAt;
  private long subscribeAt;
  private long listRetryMicros = MIN_LIST_RETRY_MICROS;

  /** Creates a module whose tables by names that clients choose are bounded by default values. */
  public Policy() {
    this(DEFAULT_MAX_TABLE_BYTES);
  }

  /**
   * Creates a module with bounded tables.
   *
   * @param maxTableBytes memory for affinity entries, and again for groups and for their rankings of servers; above it,
   *     the entries of the clients and groups that have been absent for the longest time are dropped
   */
  public Policy(long maxTableBytes) {
    affinityEntries = new BoundedTable<>(maxTableBytes);
    groups = new BoundedTable<>(maxTableBytes);
    rankings = new BoundedTable<>(maxTableBytes);
  }

  @Override
  public void start(long now, Settings newSettings, long seed, Actions newActions) {
    if (settings != null) {
      throw new IllegalStateException("balancer was already started");
    }
    if (newSettings == null || newActions == null) {
      throw new IllegalArgumentException("settings and actions must not be null");
    }
    actions = newActions;
    random = new Random(seed);
    applySettings(newSettings);
    retryTokensAt = now;
    setupLimit = INITIAL_SETUP_LIMIT * fleetShare;
    nextSweepAt = now + SWEEP_INTERVAL_MICROS;
    nextIndex = random.nextInt(1 << 16); // taken modulo the length of the rotation, which is not known yet
    // random, so that the balancers do not all subscribe within the same second
    long subscribeDelayMicros =
        (long) (random.nextDouble() * newSettings.maxListAgeMicros() * FIRST_SUBSCRIBE_FRACTION);
    subscribeAt = newSettings.requiresSubscription() ? now + subscribeDelayMicros : Long.MAX_VALUE;
    actions.scheduleTimer(now + TICK_INTERVAL_MICROS, 0);
  }

  @Override
  public void configure(long now, Settings newSettings) {
    requireStarted();
    applySettings(newSettings);
    subscribeAt = newSettings.requiresSubscription() ? subscribeAt : Long.MAX_VALUE;
    rebuildRotation(now);
  }

  private void applySettings(Settings newSettings) {
    settings = newSettings;
    fleetShare = Math.min(1, MAX_SMALL_FLEET_BALANCERS / newSettings.balancerCount());
    usesLoadReports = newSettings.offersLoadReports() && fleetShare < 1;
    requestClasses.clear();
    minMessageTargetMicros = minSetupTargetMicros = Double.MAX_VALUE;
    for (RequestClass requestClass : newSettings.requestClasses()) {
      minSetupTargetMicros = Math.min(minSetupTargetMicros, requestClass.setupTargetMicros());
      requestClasses.put(requestClass.name(), requestClass);
      minMessageTargetMicros = requestClass.messageTargetMicros() > 0
          ? Math.min(minMessageTargetMicros, requestClass.messageTargetMicros()) : minMessageTargetMicros;
    }
  }

  private void requireStarted() {
    if (settings == null) {
      throw new IllegalStateException("balancer was not started");
    }
  }

  @Override
  public void onServerList(long now, ListUpdateKind kind, List<Server> listed) {
    requireStarted();
    if (kind == ListUpdateKind.FAILED) {
      subscribeAt = now + listRetryMicros + (long) (random.nextDouble() * listRetryMicros);
      listRetryMicros = Math.min(2 * listRetryMicros, MAX_LIST_RETRY_MICROS);
      return;
    }
    if (kind != ListUpdateKind.STALE && settings.requiresSubscription()) {
      listRetryMicros = MIN_LIST_RETRY_MICROS;
      subscribeAt = Long.MAX_VALUE; // the subscription is valid until a list event reports a failure
    }
    Map<String, TrackedServer> missing = new LinkedHashMap<>(kind == ListUpdateKind.CHANGES ? Map.of() : servers);
    for (Server info : listed) {
      missing.remove(info.name());
      updateInfo(now, servers.computeIfAbsent(info.name(), name -> new TrackedServer()), info);
    }
    missing.values().forEach(server ->
        updateInfo(now, server, server.info.withState(ServerState.GONE, server.info.startedAt())));
    rebuildRotation(now);
    retryQueued(now);
  }

  /** Updates a server from a list entry. The list may be old, so the latest start time stays, with the state listed. */
  private void updateInfo(long now, TrackedServer server, Server info) {
    long startedAt = server.info == null ? 0 : server.info.startedAt();
    if (server.info == null || info.startedAt() > startedAt) {
      server.coldExtraConnections = EXTRA_CONNECTIONS * random.nextDouble();
      server.warmUpBudget = random.nextDouble(); // many balancers may each use a fraction of one connection
      server.warmUpBudgetAt = now;
    }
    server.info = info.startedAt() < startedAt ? info.withState(info.state(), startedAt) : info;
  }

  /** Rebuilds the rotation in an order that is the same at every balancer, and removes entries of other servers. */
  private void rebuildRotation(long now) {
    servers.values().forEach(server -> server.inRotation =
        server.info.state() == ServerState.READY && !suspendedAt.containsKey(server.info.name()));
    rotation.clear();
    servers.values().stream().filter(server -> server.inRotation).forEach(rotation::add);
    rotation.sort(Comparator.comparing(server -> server.info.name()));
    servers.values().removeIf(server -> !server.inRotation && server.connections == 0
        && server.info.state() == ServerState.GONE);
    affinityEntries.removeIf(entry -> !entry.server().inRotation);
    rankings.clear();
    updateCapacities(now);
  }

  @Override
  public void suspend(long now, String serverName) {
    suspendedAt.putIfAbsent(serverName, now);
    rebuildRotation(now);
  }

  /** A resumed server was most likely restarted, so it counts as cold and nothing learned about it is kept. */
  @Override
  public void resume(long now, String serverName) {
    TrackedServer previous = suspendedAt.remove(serverName) == null ? null : servers.remove(serverName);
    if (previous != null) {
      TrackedServer server = new TrackedServer();
      servers.put(serverName, server);
      updateInfo(now, server, previous.info.withState(previous.info.state(), now));
      server.warmUpBudget = 1; // for the probe
      server.resumeProbeAt = now + (long) (random.nextDouble() * SUSPEND_DRAIN_MICROS);
      rebuildRotation(now);
    }
  }

  @Override
  public void onHandover(long now, Request request, String serverName) {
    requireStarted();
    TrackedRequest tracked = track(now, request);
    tracked.established = true;
    completionRate.add(now, 0.5);
    TrackedServer server = servers.get(serverName);
    assign(now, tracked, server);
    recordAffinity(now, request.clientKey(), server);
  }

  @Override
  public void onRequest(long now, Request request) {
    requireStarted();
    dispatch(now, track(now, request));
  }

  private TrackedRequest track(long now, Request request) {
    TrackedRequest tracked = new TrackedRequest();
    if (requests.putIfAbsent(request.id(), tracked) != null) {
      throw new IllegalStateException("request id is already in use: " + request.id());
    }
    tracked.request = request;
    tracked.requestClass = requestClasses.getOrDefault(request.className(), UNKNOWN_CLASS);
    tracked.group = request.groupName() == null ? null
        : groups.computeIfAbsent(request.groupName(), () -> new ConnectionGroup(random.nextDouble()));
    tracked.loadKnown = request.loadHint() > 0;
    tracked.load = tracked.loadKnown ? request.loadHint() : typicalLoad(tracked.requestClass);
    recentGroupedRequests += tracked.group == null ? 0 : 1;
    tracked.offset = tracked.group == null ? 0 : tracked.group.countRequest(OFFSET_STEP);
    tracked.arrivedAt = now;
    return tracked;
  }

  /** Starts an attempt for a request that has none in flight, queues the request, or answers it. */
  private void dispatch(long now, TrackedRequest tracked) {
    long timeLeftMicros = tracked.request.deadline() - now;
    if (attemptsStopped || tracked.errors > 1 || tracked.attempts >= settings.maxAttempts()
        || timeLeftMicros <= ANSWER_MARGIN_MICROS + (tracked.attempts == 0 ? 0 : MIN_RETRY_TIME_MICROS)) {
      rejectOrFail(now, tracked);
      return;
    }
    boolean throttled = isThrottled(now); // will get its turn, so it may wait longer than one that no server can take
    TrackedServer server = throttled || awaitsReports(now, tracked) ? null : selectServer(now, tracked);
    boolean allSuspended = rotation.isEmpty() && !suspendedAt.isEmpty(); // no server is expected back soon
    long waitedMicros = now - tracked.arrivedAt;
    if (server != null) {
      startAttempt(now, tracked, server, timeLeftMicros);
    } else if (!allSuspended && (waitedMicros < tracked.requestClass.setupTargetMicros()
        || throttled && waitedMicros < MAX_QUEUED_FRACTION * (waitedMicros + timeLeftMicros))) {
      queued.add(tracked);
    } else {
      rejectOrFail(now, tracked);
    }
  }

  /**
   * Whether load reports of the preferred servers are still expected. Without them, a balancer of a large fleet would
   * take busy servers for free ones.
   */
  private boolean awaitsReports(long now, TrackedRequest tracked) {
    if (!usesLoadReports || tracked.group == null || tracked.attempts > 0
        || now > tracked.arrivedAt + LOAD_REPORT_WAIT_MICROS) {
      return false;
    }
    List<TrackedServer> asked = preferredServers(now, tracked).stream().limit(MIN_PREFERRED_SERVERS).toList();
    asked.stream()
        .filter(server -> now - Math.max(server.reportedAt, server.reportRequestedAt) >= LOAD_REPORT_TTL_MICROS)
        .forEach(server -> requestReport(now, server));
    return asked.stream().anyMatch(server -> server.reportRequestedAt > server.reportedAt
        && now - server.reportRequestedAt < LOAD_REPORT_WAIT_MICROS);
  }

  private void requestReport(long now, TrackedServer server) {
    server.reportRequestedAt = now;
    actions.requestLoadReport(server.info.name());
  }

  /** Offloads an overloaded server: each balancer of a large fleet moves its own part of the excess. */
  @Override
  public void onLoadReport(long now, String serverName, double utilization) {
    TrackedServer server = servers.get(serverName);
    if (server != null) {
      server.utilization = utilization;
      server.reportedAt = now;
      offload(now, server,
          utilization > HIGH_UTILIZATION ? server.load * (1 - OFFLOADED_UTILIZATION / utilization) : 0, false);
      retryQueued(now);
    }
  }

  /**
   * Whether setups are limited at present. Retry throttling prevents storms that feed themselves: a late setup costs a
   * retry token, and one in time earns some.
   */
  private boolean isThrottled(long now) {
    retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_MICRO * (now - retryTokensAt));
    retryTokensAt = now;
    return setupsInFlight >= setupLimit || now < nextSetupAt
        || retryTokens < MAX_RETRY_TOKENS / 2 && retryTokens < 1 + setupsInFlight;
  }

  /**
   * Adapts the setup concurrency limit. Setups in excess of what the shared store can serve would queue there until all
   * of them time out.
   */
  private void updateSetupLimit(long now, boolean isSlow, double latencyMicros) {
    if (!isSlow) { // scaled by the fleet share, as each balancer of a large fleet sees few successes
      setupLimit = Math.min(MAX_SETUP_LIMIT, Math.sqrt(setupLimit * setupLimit + 2 * fleetShare));
    } else if (now - setupLimitLoweredAt > latencyMicros) { // setups from before the last decrease tell nothing new
      // the number of latencies that have passed since this balancer's previous setup
      double latencies = latencyMicros > minSetupTargetMicros ? Math.max(1, 1 / setupLimit) : 1;
      setupLimit = Math.max(MIN_SETUP_LIMIT * fleetShare * fleetShare,
          setupLimit * Math.max(MIN_SETUP_LIMIT_FACTOR, Math.pow(SETUP_LIMIT_FACTOR, latencies)));
      setupLimitLoweredAt = now;
    }
    nextSetupAt = now + (long) Math.min(MAX_SETUP_SPACING_MICROS,
        Math.min(latencyMicros, 2 * minSetupTargetMicros) * Math.max(0, 1 / setupLimit - 1));
  }

  /**
   * Selects a server: first by an unexpired affinity entry, then a resumed server that is due for its probe, then by
   * the rotation and the load check. Returns null if no server is available.
   */
  private TrackedServer selectServer(long now, TrackedRequest tracked) {
    AffinityEntry entry = tracked.ignoresAffinity ? null : affinityEntries.get(tracked.request.clientKey());
    if (entry != null && now - entry.lastUsed() < AFFINITY_TTL_MICROS && isUsable(now, tracked, entry.server())) {
      return entry.server();
    }
    // a resumed server is probed soon, whichever server would be next
    return rotation.stream().filter(server -> now >= server.resumeProbeAt && server.setupsInFlight == 0
        && isUsable(now, tracked, server)).findFirst().orElseGet(() -> searchServers(now, tracked, false));
  }

  /**
   * Returns the first server that passes the load check, judged by its load report if there is one. Without such a
   * server, returns null if {@code strict}, otherwise the one within its load limit that has the lowest cost by delay,
   * utilization or fair share, or null. A request without a group follows the order of the rotation. One with a group
   * takes the least utilized preferred server if load reports are used, otherwise those in the own zone first.
   */
  private TrackedServer searchServers(long now, TrackedRequest tracked, boolean strict) {
    List<TrackedServer> candidates = tracked.group == null ? rotation : preferredServers(now, tracked);
    int start = tracked.group == null ? nextIndex : 0;
    // scaled by the fleet share, as the part of a balancer of a large fleet is less than one connection
    double limitFactor = strict ? 1 : 1 - LOAD_LIMIT_RESERVE_FRACTION * fleetShare * (1 - relativeValue(tracked));
    TrackedServer leastUtilized = null;
    TrackedServer leastCostly = null;
    double minUtilization = Double.MAX_VALUE;
    double minCost = MAX_DELAY_FRACTION * minMessageTargetMicros;
    for (int step = 0; step < candidates.size(); step++) {
      TrackedServer next = candidates.get((start + step) % candidates.size());
      if (loadAfter(tracked, next) > next.loadLimit * limitFactor
          || tracked.group == null && !isUsable(now, tracked, next)) {
        continue;
      }
      double delayMicros = overloadDelay(now, next);
      double fairShare = fairShare(next);
      double extraConnections = next.isCold ? next.coldExtraConnections : EXTRA_CONNECTIONS;
      boolean reported = next.hasRecentReport(now, LOAD_REPORT_TTL_MICROS);
      boolean hasRoom = reported ? next.utilization < HIGH_UTILIZATION
          : next.load + tracked.load <= FAIR_SHARE_FACTOR * totalLoad * next.effectiveCapacity / totalCapacity
              + extraConnections * tracked.load;
      boolean isNear = settings.crossZoneCost() <= 0 || settings.zone().equals(next.info.zone());
      if (delayMicros == 0 && hasRoom) {
        if (tracked.group == null) {
          return nextInRotation(now, tracked, start + step);
        }
        if (isNear && !usesLoadReports) {
          return next;
        }
        double utilization = (reported ? next.utilization : HIGH_UTILIZATION) + (isNear ? 0 : CROSS_ZONE_PENALTY);
        leastUtilized = utilization < minUtilization ? next : leastUtilized;
        minUtilization = Math.min(minUtilization, utilization);
      }
      double cost = delayMicros > 0 ? delayMicros
          : reported ? next.utilization : -fairShare / loadAfter(tracked, next);
      leastCostly = cost < minCost ? next : leastCostly;
      minCost = Math.min(minCost, cost);
    }
    return leastUtilized != null || strict ? leastUtilized : leastCostly;
  }

  /** The value of a unit of this request's load over the maximum value; lower beyond the tenant's share. */
  private double relativeValue(TrackedRequest tracked) {
    String tenant = String.valueOf(tracked.request.tenant());
    double tenantShare = settings.connectionValue().tenantShares().getOrDefault(tenant, Double.MAX_VALUE)
        / settings.balancerCount();
    // a balancer sees few connections of a tenant, so a second one beyond a small share is no excess
    double tolerance = 2 * Math.sqrt(tenantShare);
    double factor = tenantConnections.getOrDefault(tenant, 0) > tenantShare + tolerance
        ? settings.connectionValue().overShareFactor() : 1;
    return Math.min(1, valuePerLoad(tracked.requestClass, tracked.load) * factor / maxValue);
  }

  private double valuePerLoad(RequestClass requestClass, double load) {
    return settings.connectionValue().growsWithLoad() ? requestClass.value() : requestClass.value() / load;
  }

  /**
   * The load of this balancer's connections on a server, including the cost of their groups. Without that cost, a
   * server with few connections of each of many groups would appear free.
   */
  private double loadWithGroups(TrackedServer server) {
    return server.load + server.groupConnections.size() * groupCost();
  }

  private double loadAfter(TrackedRequest tracked, TrackedServer server) {
    return loadWithGroups(server) + tracked.load
        + (tracked.group == null || server.groupConnections.containsKey(tracked.group) ? 0 : groupCost());
  }

  private double groupCost() {
    return GROUP_COST_MEAN_LOADS * meanLoad / settings.balancerCount(); // shared by all balancers
  }

  private double fairShare(TrackedServer server) {
    return (totalLoad + serverGroupPairs * groupCost()) * server.effectiveCapacity / totalCapacity;
  }

  /** Returns the server at a position of the rotation, or the next one if that is usable and has fewer connections. */
  private TrackedServer nextInRotation(long now, TrackedRequest tracked, int position) {
    TrackedServer next = rotation.get(position % rotation.size());
    TrackedServer following = rotation.get((position + 1) % rotation.size());
    boolean skipsNext = next.connections > following.connections && isUsable(now, tracked, following)
        && overloadDelay(now, following) == 0;
    nextIndex = (position + (skipsNext ? 2 : 1)) % rotation.size();
    return skipsNext ? following : next;
  }

  /**
   * Returns the preferred servers of the request's group: the first usable ones of its ranking by rendezvous
   * hashing, in a large fleet also all cold servers that have budget.
   */
  private List<TrackedServer> preferredServers(long now, TrackedRequest tracked) {
    List<TrackedServer> preferred = new ArrayList<>();
    // the prior keeps the estimate stable while few requests of the group have been seen
    double groupCapacity = totalCapacity * tracked.group.recentRequests / (recentGroupedRequests + PRIOR_REQUESTS);
    double missingCapacity = (fleetShare < 1 && !usesLoadReports ? GROUP_SPREAD_NO_REPORTS : GROUP_SPREAD_FACTOR)
        * groupCapacity;
    for (TrackedServer server : rankServers(tracked)) {
      if ((preferred.size() < MIN_PREFERRED_SERVERS || missingCapacity > 0 || server.isCold && fleetShare < 1)
          && isUsable(now, tracked, server)) {
        preferred.add(server);
        missingCapacity -= server.effectiveCapacity;
      }
    }
    // requests start at different offsets, so that the balancers do not all fill the first server
    double offsetCapacity = tracked.offset
        * (fleetShare < 1 && !usesLoadReports ? GROUP_SPREAD_NO_REPORTS : OFFSET_RANGE_FRACTION) * groupCapacity;
    int start = 0;
    while (start < preferred.size() && offsetCapacity >= preferred.get(start).effectiveCapacity) {
      offsetCapacity -= preferred.get(start++).effectiveCapacity;
    }
    Collections.rotate(preferred, -start);
    // in a large fleet, cold servers come first; the sort is stable
    preferred.sort(Comparator.comparing(server -> !server.isCold || fleetShare == 1));
    return preferred;
  }

  private List<TrackedServer> rankServers(TrackedRequest tracked) {
    List<TrackedServer> ranked = rankings.get(tracked.request.groupName());
    if (ranked == null) {
      ranked = new ArrayList<>(rotation);
      rotation.forEach(server -> // weighted by capacity, so that a large server ranks first for more groups
          server.groupRank = -Math.log(BalancerState.hashToFraction(tracked.request.groupName(), server.info.name()))
              / server.info.relativeCapacity());
      ranked.sort(Comparator.comparingDouble(server -> server.groupRank));
      rankings.put(tracked.request.groupName(), ranked, (long) REFERENCE_BYTES * ranked.size());
    }
    return ranked;
  }

  /**
   * The message delay of a server that is overloaded, otherwise 0. The first connection to a server that had none is a
   * probe: the latest delay counts as reported when it started, so that no others follow before its own report.
   */
  private double overloadDelay(long now, TrackedServer server) {
    return now - Math.max(server.delayReportedAt, server.firstConnectionAt) < DELAY_REPORT_TTL_MICROS
        && server.queueingDelayMicros > AVOID_DELAY_FRACTION * minMessageTargetMicros ? server.queueingDelayMicros : 0;
  }

  private boolean isUsable(long now, TrackedRequest tracked, TrackedServer server) {
    return server.inRotation && server != tracked.failedServer && !isEjected(now, server)
        && mayRunOn(now, tracked, server) && warmUpBudget(now, server) >= 1;
  }

  /** Whether a silent or failing server is passed over; after its ejection it gets one probe at a time. */
  private boolean isEjected(long now, TrackedServer server) {
    return server.consecutiveFailures > 0
        && (now < server.ejectedUntil || server.setupsInFlight > 0 || server.isProbing(now));
  }

  private void recordFailure(long now, TrackedServer server) {
    if (now >= server.ejectedUntil) {
      server.consecutiveFailures = Math.min(server.consecutiveFailures + 1, MAX_CONSECUTIVE_FAILURES);
      server.ejectedUntil = now
          + (long) ((0.75 + random.nextDouble() / 2) * (BASE_EJECTION_MICROS << server.consecutiveFailures - 1));
    }
  }

  /**
   * Whether the request may run on this server without the risk that its effect occurs twice: repeats of a request
   * that servers deduplicate go only to servers that drop them, and only while they do.
   */
  private boolean mayRunOn(long now, TrackedRequest tracked, TrackedServer server) {
    boolean sameScope = tracked.mayHaveRunOn != null && (tracked.requestClass.dedupScope() == DedupScope.ZONE
        ? server.info.zone().equals(tracked.mayHaveRunOn.zone())
        : server.info.cell() == tracked.mayHaveRunOn.cell());
    return isRepeatable(now, tracked, sameScope || tracked.requestClass.dedupScope() == DedupScope.ALL);
  }

  private boolean isRepeatable(long now, TrackedRequest tracked, boolean dropsRepeats) {
    boolean repeatIsDropped = tracked.requestClass.effect() == Effect.DEDUPLICATED && dropsRepeats
        && now - tracked.mayHaveRunAt < tracked.requestClass.dedupWindowMicros() - ANSWER_MARGIN_MICROS;
    return !tracked.mayHaveRun || tracked.requestClass.effect() == Effect.IDEMPOTENT || repeatIsDropped;
  }

  /** The setups that a server can take now without failing under load while it is cold; unlimited when it is warm. */
  private double warmUpBudget(long now, TrackedServer server) {
    if (capacityFraction(now, server) >= 1) {
      return Double.MAX_VALUE;
    }
    // connections that end, in proportion to what the warm servers carry
    double endingPerMicro = completionRate.valueAt(now) * server.effectiveCapacity
        / (warmCapacity > 0 ? warmCapacity : totalCapacity);
    // the server's fair share over the warm-up time, which applies before any connection ends
    double fairPerMicro = requests.size() * server.effectiveCapacity / totalCapacity / settings.warmUpMicros()
        / warmUtilization;
    double perMicro = WARM_UP_BUDGET_FRACTION * settings.overloadFactor() * Math.max(endingPerMicro, fairPerMicro);
    server.warmUpBudget = Math.min(Math.max(1, perMicro * settings.overloadWindowMicros()),
        server.warmUpBudget + perMicro * (now - server.warmUpBudgetAt));
    server.warmUpBudgetAt = now;
    return server.warmUpBudget;
  }

  /** The fraction of its full capacity that a server has at least; it grows during the warm-up time. */
  private double capacityFraction(long now, TrackedServer server) {
    long age = server.info.startedAt() == 0 ? settings.warmUpMicros() : Math.max(0, now - server.info.startedAt());
    double progress = settings.warmUpMicros() == 0 ? 1 : (double) age / settings.warmUpMicros();
    return progress >= 1 ? 1 : settings.coldCapacityFraction() + (1 - settings.coldCapacityFraction()) * progress;
  }

  /** Updates the maximum value of a unit of load, and the capacities, where a cold server counts with its fraction. */
  private void updateCapacities(long now) {
    maxValue = settings.requestClasses().stream()
        .mapToDouble(each -> valuePerLoad(each, typicalLoad(each))).max().orElse(1);
    warmUtilization = Math.max(MIN_WARM_UTILIZATION, rotation.stream()
        .filter(server -> !server.isCold && server.hasRecentReport(now, LOAD_REPORT_TTL_MICROS))
        .mapToDouble(server -> server.utilization).average().orElse(1));
    totalCapacity = warmCapacity = 0;
    for (TrackedServer server : rotation) {
      double fraction = capacityFraction(now, server);
      server.effectiveCapacity = server.info.relativeCapacity() * fraction;
      totalCapacity += server.effectiveCapacity;
      warmCapacity += fraction < 1 ? 0 : server.effectiveCapacity;
      server.isCold = fraction < 1;
    }
  }

  private void startAttempt(long now, TrackedRequest tracked, TrackedServer server, long timeLeftMicros) {
    if (tracked.requestClass.effect() != Effect.IDEMPOTENT && !tracked.mayHaveRun) {
      tracked.mayHaveRunAt = now;
      tracked.mayHaveRunOn = server.info;
    }
    assign(now, tracked, server);
    server.setupsInFlight++;
    setupsInFlight++;
    server.warmUpBudget -= 1;
    recordAffinity(now, tracked.request.clientKey(), server);
    // an overloaded shared store delays attempts on other servers just as much
    boolean storeOverloaded = fleetShare < 1 && setupLimit < INITIAL_SETUP_LIMIT * fleetShare / 2;
    boolean isLast = storeOverloaded || tracked.attempts >= settings.maxAttempts();
    long timeoutMicros = isLast ? timeLeftMicros
        : Math.min(timeLeftMicros, Math.max(tracked.requestClass.setupTargetMicros(), timeLeftMicros / 2));
    actions.startAttempt(tracked.request.id(), server.info.name(), timeoutMicros);
  }

  @Override
  public void restoreAffinity(long now, Map<String, String> serverByClient) {
    serverByClient.values().removeIf(name -> !servers.containsKey(name) || !servers.get(name).inRotation);
    serverByClient.forEach((clientKey, name) ->
        affinityEntries.computeIfAbsent(clientKey, () -> new AffinityEntry(servers.get(name), now)));
  }

  private void recordAffinity(long now, String clientKey, TrackedServer server) {
    if (clientKey != null && server != null && server.inRotation) {
      affinityEntries.put(clientKey, new AffinityEntry(server, now), 0);
    }
  }

  /** Counts an attempt on a server; {@code server} is null if the server of a handed-over connection is unknown. */
  private void assign(long now, TrackedRequest tracked, TrackedServer server) {
    tracked.server = server == null ? new TrackedServer() : server;
    tracked.attempts++;
    tracked.unendedAttempts++;
    tenantConnections.merge(String.valueOf(tracked.request.tenant()), 1, Integer::sum);
    tracked.server.firstConnectionAt = tracked.server.connections++ == 0 ? now : tracked.server.firstConnectionAt;
    addLoad(tracked, tracked.load);
    serverGroupPairs += tracked.group == null ? 0 : tracked.server.addConnections(tracked.group, 1);
  }

  private void addLoad(TrackedRequest tracked, double load) {
    tracked.server.load += load;
    totalLoad += load;
  }

  private void retryQueued(long now) {
    ArrayDeque<TrackedRequest> retried = queued;
    queued = new ArrayDeque<>();
    retried.stream().filter(tracked -> !tracked.answered).forEach(tracked -> dispatch(now, tracked));
  }

  /**
   * Gives the final answer to a request without an attempt in flight: a rejection if nothing has run, or if it may be
   * repeated when the client retries; otherwise a failure.
   */
  private void rejectOrFail(long now, TrackedRequest tracked) {
    long retryAfterMicros = Math.min(settings.maxRetryAfterMicros(),
        (long) (tracked.requestClass.setupTargetMicros() * (0.5 + random.nextDouble())));
    if (isRepeatable(now + retryAfterMicros, tracked, tracked.requestClass.dedupScope() == DedupScope.ALL)) {
      actions.reject(tracked.request.id(), retryAfterMicros);
    } else {
      actions.fail(tracked.request.id());
    }
    finish(tracked);
  }

  private void finish(TrackedRequest tracked) {
    tracked.answered = true;
    if (tracked.unendedAttempts == 0) {
      requests.remove(tracked.request.id());
    }
  }

  @Override
  public void onEstablished(long now, long requestId, int attempt, long latencyMicros) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked != null && tracked.unendedAttempts > 0 && !tracked.established) {
      tracked.established = true;
      tracked.establishedAt = now;
      tracked.server.resumeProbeAt = Long.MAX_VALUE;
      retryTokens = Math.max(0, retryTokens
          + (latencyMicros > tracked.requestClass.setupTargetMicros() ? -1 : RETRY_TOKENS_PER_SUCCESS));
      setupsInFlight--;
      tracked.server.setupsInFlight--;
      // a server that drops new connections is cleared only by one that it keeps
      tracked.server.probeKeptAt = tracked.server.dropsNewConnections
          ? now + EARLY_RESET_MICROS : tracked.server.probeKeptAt;
      tracked.server.consecutiveFailures = Math.max(0,
          tracked.server.consecutiveFailures - (tracked.server.dropsNewConnections ? 0 : 1));
      updateSetupLimit(now, latencyMicros > minSetupTargetMicros, latencyMicros); // a slower setup was queued somewhere
      retryQueued(now);
    }
  }

  @Override
  public void onAttemptEnded(long now, long requestId, int attempt, Outcome outcome, long latencyMicros,
      boolean requestFinished) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked == null || tracked.unendedAttempts == 0) {
      return;
    }
    tracked.unendedAttempts--;
    tenantConnections.computeIfPresent(String.valueOf(tracked.request.tenant()),
        (tenant, connections) -> connections > 1 ? connections - 1 : null);
    tracked.server.connections--;
    tracked.server.setupsInFlight -= tracked.established ? 0 : 1;
    setupsInFlight -= tracked.established ? 0 : 1;
    addLoad(tracked, -tracked.load);
    serverGroupPairs += tracked.group == null ? 0 : tracked.server.addConnections(tracked.group, -1);
    tracked.mayHaveRun |= !outcome.neverRan;
    completionRate.add(now, tracked.established && outcome == Outcome.SERVED ? 1 : 0);
    boolean setupFailed = !tracked.established && outcome.isSetupFailure();
    if (setupFailed) {
      updateSetupLimit(now, true, latencyMicros);
    }
    if (setupFailed || outcome == Outcome.RESET) {
      resetAffinity(tracked);
      tracked.failedServer = tracked.server;
      boolean isYoung = tracked.established && now - tracked.establishedAt < EARLY_RESET_MICROS;
      // connections that a server drops together count as one failure
      boolean isFirstDropped = isYoung && now >= tracked.server.ejectedUntil;
      if (isFirstDropped && tracked.server.connections > 0) {
        lowerLoadLimit(tracked.server, LOAD_LIMIT_FRACTION);
      }
      tracked.server.dropsNewConnections |= isYoung;
      tracked.server.probeKeptAt = isYoung ? Long.MAX_VALUE : tracked.server.probeKeptAt;
      retryTokens = Math.max(0, retryTokens - (tracked.established && !isFirstDropped ? 0 : 1));
      tracked.errors += outcome == Outcome.ERROR ? 1 : 0;
      // a second error suggests that the request is at fault: otherwise it could get every server ejected
      if (tracked.errors < 2) {
        recordFailure(now, tracked.server);
      } else if (tracked.errors == 2 && tracked.blamedServer != null) {
        tracked.blamedServer.consecutiveFailures = Math.max(0, tracked.blamedServer.consecutiveFailures - 1);
      }
      tracked.blamedServer = outcome == Outcome.ERROR && tracked.errors == 1 ? tracked.server : null;
    }
    if (requestFinished || tracked.established || tracked.answered) {
      finish(tracked);
    } else {
      dispatch(now, tracked);
    }
    retryQueued(now);
  }

  /** Removes the affinity entry after a failed setup or a broken connection, and ignores entries for this request. */
  private void resetAffinity(TrackedRequest tracked) {
    tracked.ignoresAffinity = true;
    AffinityEntry entry = affinityEntries.get(tracked.request.clientKey());
    if (entry != null && entry.server() == tracked.server) {
      affinityEntries.remove(tracked.request.clientKey());
    }
  }

  @Override
  public void onLoad(long now, long requestId, int attempt, double load) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked != null && tracked.unendedAttempts > 0) {
      addLoad(tracked, load - tracked.load);
      tracked.load = load;
      tracked.loadKnown = true;
      meanLoad += (load - meanLoad) / 50;
      typicalLoads.computeIfAbsent(tracked.requestClass.name(), name -> new TypicalLoad()).add(load, MAX_LOAD_SAMPLES);
    }
  }

  /** The load to expect of a connection until it is reported; it differs between classes by a factor of ten. */
  private double typicalLoad(RequestClass requestClass) {
    TypicalLoad typical = typicalLoads.get(requestClass.name());
    return typical == null || typical.samples < MIN_LOAD_SAMPLES ? meanLoad : typical.mean;
  }

  /**
   * Updates the load of a connection for which none was reported. Otherwise servers with many such connections, as
   * after a restart, would appear to have room.
   */
  private void applyTypicalLoad(TrackedRequest tracked) {
    if (!tracked.loadKnown && tracked.unendedAttempts > 0) {
      double load = typicalLoad(tracked.requestClass);
      addLoad(tracked, load - tracked.load);
      tracked.load = load;
    }
  }

  @Override
  public void onQueueingDelay(long now, long requestId, int attempt, double delayMicros) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked != null && tracked.unendedAttempts > 0) {
      // reports arrive once a second
      boolean hasPrevious = now - tracked.server.delayReportedAt < 1.5 * DELAY_REPORT_INTERVAL_MICROS;
      tracked.server.delayGrowth = hasPrevious
          ? (delayMicros - tracked.server.queueingDelayMicros) / (now - tracked.server.delayReportedAt)
          : Math.min(1, delayMicros / DELAY_REPORT_INTERVAL_MICROS);
      tracked.server.queueingDelayMicros = delayMicros;
      tracked.server.delayReportedAt = now;
    }
  }

  /** Moves this balancer's part of the demand that exceeds a server's capacity, judged by the growth of its delays. */
  private void offload(long now, TrackedServer server) {
    double delayMicros = overloadDelay(now, server);
    if (delayMicros < OFFLOAD_DELAY_FRACTION * minMessageTargetMicros
        || server.delayReportedAt <= server.offloadedAt) {
      return; // offloads once for each delay report
    }
    server.offloadedAt = now;
    double demand = Math.max(1, 1 + server.delayGrowth); // over the server's capacity
    lowerLoadLimit(server, Math.min(LOAD_LIMIT_FRACTION, 1 / demand));
    offload(now, server, server.load * (1 - Math.max(0, 1 - delayMicros / DELAY_REPORT_INTERVAL_MICROS) / demand),
        delayMicros >= MAX_DELAY_FRACTION * minMessageTargetMicros);
  }

  /**
   * Moves load off a server, connection by connection: those that a preferred server has room for, or any if
   * {@code unconditional}. A last connection that exceeds the remaining load is moved with the matching probability.
   */
  private void offload(long now, TrackedServer server, double remainingLoad, boolean unconditional) {
    // a copy of all requests, made only if there is load to move, since there are many
    List<TrackedRequest> movable = new ArrayList<>(remainingLoad > 0 ? requests.values() : List.of());
    movable.removeIf(tracked -> tracked.server != server || !tracked.established || tracked.moved
        || tracked.group == null); // without a group there are no preferred servers
    movable.forEach(tracked -> tracked.outsidePreferred = !preferredServers(now, tracked).contains(server));
    // connections outside their preferred servers first, since that frees the cost of the group
    movable.sort(Comparator.comparing((TrackedRequest tracked) -> !tracked.outsidePreferred)
        .thenComparing(this::relativeValue).thenComparing(tracked -> -tracked.load));
    for (TrackedRequest tracked : movable) {
      double probability = remainingLoad / tracked.load;
      if (probability > 0 && (unconditional || searchServers(now, tracked, true) != null)) {
        remainingLoad -= tracked.load;
        if (random.nextDouble() < probability) {
          move(tracked);
        }
      }
    }
  }

  /** Limits a server to a fraction of this balancer's present load on it. */
  private void lowerLoadLimit(TrackedServer server, double fraction) {
    double minLimit = MIN_LOAD_LIMIT_FRACTION * Math.max(fairShare(server), meanLoad);
    server.loadLimit = Math.min(server.loadLimit, Math.max(loadWithGroups(server) * fraction, minLimit));
  }

  private void move(TrackedRequest tracked) {
    tracked.moved = true;
    resetAffinity(tracked);
    actions.move(tracked.request.id());
  }

  @Override
  public boolean shouldSend(long now, long requestId) {
    TrackedRequest tracked = requests.get(requestId);
    return tracked != null && tracked.server.inRotation && mayRunOn(now, tracked, tracked.server);
  }

  @Override
  public void stopAttempts(long now) {
    attemptsStopped = true;
    retryQueued(now);
  }

  @Override
  public void onClientDisconnected(long now, long requestId) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked != null) {
      finish(tracked);
    }
  }

  @Override
  public boolean isExcluded(long now, String serverName) {
    TrackedServer server = servers.get(serverName);
    return server == null || !server.inRotation || isEjected(now, server) || overloadDelay(now, server) > 0;
  }

  @Override
  public void onTimer(long now, long token) {
    requireStarted();
    actions.scheduleTimer(now + TICK_INTERVAL_MICROS, 0);
    retryQueued(now);
    if (now >= subscribeAt) {
      subscribeAt = now + MAX_LIST_RETRY_MICROS;
      actions.subscribe();
    }
    if (now < nextScanAt) {
      return;
    }
    nextScanAt = now + SCAN_INTERVAL_MICROS;
    updateCapacities(now);
    for (TrackedRequest tracked : requests.values()) {
      applyTypicalLoad(tracked);
      Long suspendedSince = tracked.established && !tracked.moved && tracked.server.info != null
          ? suspendedAt.get(tracked.server.info.name()) : null;
      // moves clients off a suspended server at an even rate, before its restart would disconnect them
      if (suspendedSince != null
          && random.nextDouble() * Math.max(1, suspendedSince + SUSPEND_DRAIN_MICROS - now) < SCAN_INTERVAL_MICROS) {
        move(tracked);
      }
    }
    if (usesLoadReports && random.nextDouble() < REPORT_REQUESTS_PER_MICRO * SCAN_INTERVAL_MICROS * requests.size()) {
      rotation.stream()
          .filter(server -> server.connections > 0 && now - server.reportRequestedAt > LOAD_REPORT_TTL_MICROS / 2)
          .max(Comparator.comparing(server -> server.load * (now - server.reportedAt)))
          .ifPresent(server -> requestReport(now, server));
    }
    for (TrackedServer server : rotation) {
      offload(now, server);
      server.queueingDelayMicros = server.connections > 0 && overloadDelay(now, server) == 0
          ? 0 : server.queueingDelayMicros;
      boolean keptProbe = server.dropsNewConnections && now >= server.probeKeptAt;
      server.dropsNewConnections &= !keptProbe;
      server.consecutiveFailures = keptProbe ? 0 : server.consecutiveFailures;
      server.loadLimit *= overloadDelay(now, server) > 0 ? 1 : 1 + SCAN_INTERVAL_MICROS / LOAD_LIMIT_GROWTH_MICROS;
    }
    if (now >= nextSweepAt) {
      nextSweepAt = now + SWEEP_INTERVAL_MICROS;
      affinityEntries.removeIf(entry -> now - entry.lastUsed() >= AFFINITY_TTL_MICROS);
      groups.forEach(group -> group.recentRequests *= GROUP_COUNT_DECAY);
      recentGroupedRequests *= GROUP_COUNT_DECAY;
      groups.removeIf(group -> group.recentRequests < 0.5);
    }
  }
}
