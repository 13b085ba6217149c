package amberhoist.decide;

import amberhoist.decide.Ledger.Entry;
import amberhoist.decide.Ledger.Group;
import amberhoist.decide.Ledger.Job;
import amberhoist.decide.Ledger.Node;
import amberhoist.decide.Ledger.Rate;
import amberhoist.decide.Ledger.Usual;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** All decisions, by affinity polling; Balancer.java has every type, event and action. Read {@link #pick} first: an
 * unexpired affinity entry decides, otherwise the rotation with its load check. {@link #usable} has the exceptions. */
public final class Policy implements Balancer {
  // Settings. Times in microseconds; parts and multiples have no unit.
  static final long TTL = 60_000_000; // entry lifetime: outlives a client's pauses, not another day's visit
  static final long TICK = 20_000; // between looks at what is held or overdue: well below any aim
  static final long LOOK = 100_000; // between looks at all servers: hundreds of them cost little so
  static final long SWEEP = 10_000_000; // between sweeps of old entries: often enough to bound the memory
  static final long MARGIN = 2 * TICK; // an answer comes this long before the deadline: a batch may come late
  static final long LEAST_TRY = 50_000; // least time worth giving a further attempt: a few round trips
  static final double FIRST_ASK = 0.25; // of the time a list holds without asking: when the first ask comes
  static final long LIST_WAIT = 500_000; // first wait after a failed list call, doubled with each failure
  static final long LIST_WAIT_MOST = 8_000_000; // but no longer than this, lest the list grows too old
  static final double COLD_CAUTION = 0.8; // part of the cold budget used: capacity is a guess, chance bunches
  static final double MEMORY = 30_000_000; // of the rate of finished connections: spans a dozen at full size
  static final double CROWDED = 0.33; // of the shortest aim: messages this slow crowd a server, pass it by
  static final double JAMMED = 0.5; // messages this slow jam a server: some connections must go
  static final double FULL = 1.0; // messages this slow are of no worth: nothing is added, whatever waits
  static final long SLOW_MEMORY = 2_500_000; // a slow note holds this long: they come once a second
  static final double SECOND = 1_000_000; // slow notes come so often: what has piled up is to be worked off by the next
  static final double CAP_PART = 0.7; // of the load under which a server jams or sheds, its cap is at most
  static final double CAP_GROWTH = 14_000_000; // a learned cap grows e-fold in this time while not slow
  static final double CAP_FLOOR = 0.5; // of the due load: with less than this, load is not the cause
  static final double BOUND = 1.5; // of its due part a home takes: all balancers fill the same homes
  static final double GRAIN = 2; // and so many connections more, a cold one a part of one: all add theirs
  static final double SPAN = 0.5; // of a group's due servers, over which the starts of its walks are spread
  static final double GOLDEN = 0.618034; // step between the starts of a group's walks: spreads them evenly
  static final double SPREAD = 1.5; // a group's homes hold this multiple of its load at their due part
  static final double SPREAD_BLIND = 2.5; // for one of many with no reports, who cannot see which home is full
  static final double GROUPS_KEPT = 0.85; // of the counts by group at each sweep: a minute's memory
  static final double PRIOR = 9; // requests' worth of belief that a group not seen yet is a tenth of all
  static final int LEAST_HOMES = 3; // so that when one home fails its clients do not all go to one other
  static final double GROUP_COST = 4; // mean loads that a server pays for a group, as a guess: no setting tells it
  static final long AVOID = 500_000; // a server with a failed set-up is passed by; doubled with each strike
  static final int MOST_STRIKES = 6; // no longer than some seconds: a server that is back must be found out
  static final double TRUST_MOST = 20; // set-ups that may fail, net, before set-ups are throttled: half of it
  static final double TRUST_GAIN = 1.5; // for each that stands: recovery doubles the set-ups, and no faster
  static final double TRUST_DRIP = 0.2e-6; // a microsecond: a trial each 5 s of many balancers is little load
  static final double FEW = 4; // balancers; many share the shared call, so each takes a part of what one of few does
  static final double WINDOW_FIRST = 10; // set-ups out at once, until their latency says otherwise
  static final double WINDOW_LEAST = 2;
  static final double WINDOW_MOST = 100;
  static final double WINDOW_CUT = 0.7; // of the window, when set-ups grow slow
  static final double CUT_MOST = 0.3; // no one failure cuts by more: it may be the server's own
  static final long PACE_MOST = 20_000_000; // between set-ups: what is known of the shared call is old by then
  static final double HOLD_PART = 0.5; // of a client's wait that a request may queue: it must still be set up
  static final int LEAST_LOADS = 5; // told of a class before its usual load counts
  static final int LOADS_KEPT = 100; // in that figure: few enough to follow the hours of a day
  static final double HOT = 0.85; // of what a server can do, asked of it: from here on some connections must go
  static final double COOL = 0.8; // and so much stays: messages are in time at nearly all of such servers
  static final double ELSEWHERE = 0.1; // a home in another zone must be so much cooler: crossing has its price
  static final double LEAST_HEAT = 0.25; // of warm servers on average: a few reports may miss the busy ones
  static final long FRESH = 3_000_000; // a report counts so long: loads swing within some seconds
  static final long ASK_WAIT = 4 * TICK; // for reports, before a first attempt: round trips to another zone
  static final double ASK_RATE = 0.1e-6; // reports a microsecond for each connection here: of each server in seconds
  static final double RESERVE = 0.6; // of a learned cap, kept from what is worth nothing, less from what is worth more
  static final long CLEAR = 2_000_000; // a server taken out is clear of its clients by then, one called back is tried
  static final long YOUNG = 3_000_000; // a reset before this age is a failed set-up: servers shed the newest

  private static final RequestClass UNKNOWN = new RequestClass("", Effect.UNSAFE, Scope.CELL, 0, 0, 1, 0);

  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<Node> rotation = new ArrayList<>();
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Long> out = new HashMap<>(); // servers taken out by hand, since when
  private final Map<String, Group> groups = new LinkedHashMap<>();
  private final Map<Long, Job> jobs = new LinkedHashMap<>();
  private final Map<String, RequestClass> types = new HashMap<>();
  private ArrayDeque<Job> held = new ArrayDeque<>();
  private Settings settings;
  private Actions actions;
  private Random random;
  private double shortestAim = Double.MAX_VALUE;
  private double totalLoad;
  private int pairs; // of a server and a group that it holds any of
  private double totalSize; // of all ready servers, cold ones at their present part
  private double warmSize; // of those that are warm
  private double warmHeat = 1; // asked of warm servers on average, as a part of what they can do
  private final Map<String, Integer> tenants = new HashMap<>(); // open connections
  private final Map<String, Usual> usuals = new HashMap<>();
  private double meanLoad = 10_000;
  private double mostWorth = 1; // of a unit of load, in any class
  private int index;
  private final Rate rate = new Rate(MEMORY); // of finished connections
  private double seen;
  private double trust = TRUST_MOST;
  private long trustAt;
  private int settingUp;
  private double share; // of what one of few balancers may do to the shared call
  private boolean closing; // no more attempts
  private boolean asks; // for reports: one of many carries too little to know the servers by
  private double window;
  private long nextAt; // the next set-up, while less than one may be out on average
  private long cutAt;
  private double setUpAim = Double.MAX_VALUE;
  private long lookAt;
  private long nextSweep;
  private long askAt;
  private long listWait = LIST_WAIT;

  @Override
  public void start(long now, Settings given, long seed, Actions sink) {
    if (settings != null) {
      throw new IllegalStateException("started twice");
    }
    if (given == null || sink == null) {
      throw new IllegalArgumentException("settings and actions are needed");
    }
    actions = sink;
    random = new Random(seed);
    take(given);
    trustAt = now;
    window = WINDOW_FIRST * share;
    nextSweep = now + SWEEP;
    index = random.nextInt(1 << 16); // the rotation's length is not known yet
    long spread = (long) (random.nextDouble() * given.askWithin() * FIRST_ASK); // not all in one second
    askAt = given.subscribe() ? now + spread : Long.MAX_VALUE;
    actions.timer(now + TICK, 0);
  }

  @Override
  public void configure(long now, Settings given) {
    started();
    take(given);
    askAt = given.subscribe() ? askAt : Long.MAX_VALUE;
    rebuild(now);
  }

  private void take(Settings given) {
    settings = given;
    share = Math.min(1, FEW / given.balancers());
    asks = given.reports() && share < 1;
    types.clear();
    shortestAim = setUpAim = Double.MAX_VALUE;
    for (RequestClass type : given.classes()) {
      setUpAim = Math.min(setUpAim, type.aim());
      types.put(type.name(), type);
      shortestAim = type.messageAim() > 0 ? Math.min(shortestAim, type.messageAim()) : shortestAim;
    }
  }

  private void started() {
    if (settings == null) {
      throw new IllegalStateException("start must come first");
    }
  }

  @Override
  public void members(long now, ListKind kind, List<Server> servers) {
    started();
    if (kind == ListKind.FAILED) {
      askAt = now + listWait + (long) (random.nextDouble() * listWait);
      listWait = Math.min(2 * listWait, LIST_WAIT_MOST);
      return;
    }
    if (kind != ListKind.STALE && settings.subscribe()) {
      listWait = LIST_WAIT;
      askAt = Long.MAX_VALUE; // the subscription holds until a list event says that it failed
    }
    Map<String, Node> missing = new LinkedHashMap<>(kind == ListKind.CHANGES ? Map.of() : nodes);
    for (Server server : servers) {
      missing.remove(server.name());
      told(now, nodes.computeIfAbsent(server.name(), name -> new Node()), server);
    }
    missing.values().forEach(node -> told(now, node, node.info.as(State.GONE, node.info.since())));
    rebuild(now);
    retryHeld(now);
  }

  /** What a list says of a server. A list may be old: the latest start stays, and so, if need be, a drain. */
  private void told(long now, Node node, Server server) {
    long since = node.info == null ? 0 : node.info.since();
    if (node.info == null || server.since() > since) {
      node.luck = GRAIN * random.nextDouble();
      node.budget = random.nextDouble(); // many balancers, each with a part of one connection to spare
      node.budgetAt = now;
    }
    node.info = server.since() < since ? server.as(server.state(), since) : server;
  }

  /** Lists the servers to send to in the same order everywhere; entries bound to others go. */
  private void rebuild(long now) {
    nodes.values().forEach(node -> node.ready = node.info.state() == State.READY && !out.containsKey(node.info.name()));
    rotation.clear();
    nodes.values().stream().filter(node -> node.ready).forEach(rotation::add);
    rotation.sort(Comparator.comparing(node -> node.info.name()));
    nodes.values().removeIf(node -> !node.ready && node.open == 0 && node.info.state() == State.GONE);
    entries.values().removeIf(entry -> !entry.node().ready);
    groups.values().forEach(group -> group.order = null);
    weigh(now);
  }

  @Override
  public void suspend(long now, String server) {
    out.putIfAbsent(server, now);
    rebuild(now);
  }

  /** Called back, a server is a cold one of which nothing is known: most likely it was restarted. */
  @Override
  public void resume(long now, String server) {
    Node old = out.remove(server) == null ? null : nodes.remove(server);
    if (old != null) {
      Node node = new Node();
      nodes.put(server, node);
      told(now, node, old.info.as(old.info.state(), now));
      node.budget = 1; // for the trial
      node.tryAt = now + (long) (random.nextDouble() * CLEAR);
      rebuild(now);
    }
  }

  @Override
  public void handover(long now, Request request, String server) {
    started();
    Job job = job(now, request);
    job.open = true;
    rate.add(now, 0.5);
    Node node = nodes.get(server);
    bind(now, job, node);
    record(now, request.client(), node);
  }

  @Override
  public void request(long now, Request request) {
    started();
    place(now, job(now, request));
  }

  private Job job(long now, Request request) {
    Job job = new Job();
    if (jobs.putIfAbsent(request.id(), job) != null) {
      throw new IllegalStateException("request id in use: " + request.id());
    }
    job.request = request;
    job.type = types.getOrDefault(request.type(), UNKNOWN);
    job.group = request.group() == null ? null : groups.computeIfAbsent(request.group(),
        name -> new Group(random.nextDouble()));
    job.told = request.hint() > 0;
    job.load = job.told ? request.hint() : usual(job.type);
    seen += job.group == null ? 0 : 1;
    job.turn = job.group == null ? 0 : job.group.meet(GOLDEN);
    job.arrived = now;
    return job;
  }

  /** Sends a request that has no attempt out, holds it for a better moment, or answers it. */
  private void place(long now, Job job) {
    long left = job.request.deadline() - now;
    if (closing || job.errors > 1 || job.attempts >= settings.maxAttempts()
        || left <= MARGIN + (job.attempts == 0 ? 0 : LEAST_TRY)) {
      answer(now, job);
      return;
    }
    boolean queued = throttled(now); // its turn comes, so it may wait longer than one that nobody can take
    Node node = queued || asking(now, job) ? null : pick(now, job);
    boolean hopeless = rotation.isEmpty() && !out.isEmpty(); // all taken out by hand: nobody comes back soon
    long waited = now - job.arrived;
    if (node != null) {
      send(now, job, node, left);
    } else if (!hopeless && (waited < job.type.aim() || queued && waited < HOLD_PART * (waited + left))) {
      held.add(job);
    } else {
      answer(now, job);
    }
  }

  /** Whether reports of its homes are on their way. Guards against one of many taking busy servers for free ones. */
  private boolean asking(long now, Job job) {
    if (!asks || job.group == null || job.attempts > 0 || now > job.arrived + ASK_WAIT) {
      return false;
    }
    List<Node> first = homes(now, job).stream().limit(LEAST_HOMES).toList();
    first.stream().filter(home -> now - Math.max(home.toldAt, home.askedAt) >= FRESH).forEach(home -> ask(now, home));
    return first.stream().anyMatch(home -> home.askedAt > home.toldAt && now - home.askedAt < ASK_WAIT);
  }

  private void ask(long now, Node node) {
    node.askedAt = now;
    actions.ask(node.info.name());
  }

  /** Guards against a hot server keeping what it has: each of many moves its own part of what is too much there. */
  @Override
  public void report(long now, String server, double heat) {
    Node node = nodes.get(server);
    if (node != null) {
      node.heat = heat;
      node.toldAt = now;
      relieve(now, node, heat > HOT ? node.load * (1 - COOL / heat) : 0, false);
      retryHeld(now);
    }
  }

  /** Retry throttling. Guards against a storm that feeds itself: a late set-up takes trust, one in time gives some. */
  private boolean throttled(long now) {
    trust = Math.min(TRUST_MOST, trust + TRUST_DRIP * (now - trustAt));
    trustAt = now;
    return settingUp >= window || now < nextAt || trust < TRUST_MOST / 2 && trust < 1 + settingUp;
  }

  /** Learns how many set-ups may be out: what the shared call cannot take queues there until all of it times out. */
  private void learnWindow(long now, boolean slow, double latency) {
    if (!slow) {
      window = Math.min(WINDOW_MOST, Math.sqrt(window * window + 2 * share)); // many see few successes each
    } else if (now - cutAt > latency) { // those sent before the last cut say nothing new
      double unseen = latency > setUpAim ? Math.max(1, 1 / window) : 1; // latencies since the last set-up from here
      window = Math.max(WINDOW_LEAST * share * share, window * Math.max(CUT_MOST, Math.pow(WINDOW_CUT, unseen)));
      cutAt = now;
    }
    nextAt = now + (long) Math.min(PACE_MOST, Math.min(latency, 2 * setUpAim) * Math.max(0, 1 / window - 1));
  }

  /** The decision, in order: the unexpired entry, then the rotation with the load check. */
  private Node pick(long now, Job job) {
    Entry entry = job.reset ? null : entries.get(job.request.client());
    if (entry != null && now - entry.lastUsed() < TTL && usable(now, job, entry.node())) {
      return entry.node();
    }
    return rotation.stream().filter(node -> now >= node.tryAt && node.settingUp == 0 && usable(now, job, node))
        .findFirst().orElseGet(() -> walk(now, job, false)); // one called back is tried soon, whoever is due
  }

  /** The first server that passes the load check, by its report if any; else, unless strict, the least slow with room.
   * Without a group in the rotation's order; with one among its homes, the coolest or those in the own zone first. */
  private Node walk(long now, Job job, boolean strict) {
    List<Node> around = job.group == null ? rotation : homes(now, job);
    int start = job.group == null ? index : 0;
    double reserve = strict ? 1 : 1 - RESERVE * share * (1 - value(job)); // a part of one of many's is no connection
    Node good = null;
    Node best = null;
    double coolest = Double.MAX_VALUE;
    double least = FULL * shortestAim;
    for (int step = 0; step < around.size(); step++) {
      Node next = around.get((start + step) % around.size());
      if (after(job, next) > next.cap * reserve || job.group == null && !usable(now, job, next)) {
        continue;
      }
      double slow = slow(now, next);
      double due = due(next);
      double grain = next.cold ? next.luck : GRAIN;
      boolean known = next.known(now, FRESH);
      boolean room = known ? next.heat < HOT
          : next.load + job.load <= BOUND * totalLoad * next.weight / totalSize + grain * job.load;
      boolean near = settings.crossZonePrice() <= 0 || settings.zone().equals(next.info.zone());
      if (slow == 0 && room) {
        if (job.group == null) {
          return checked(now, job, start + step);
        }
        if (near && !asks) {
          return next;
        }
        double heat = (known ? next.heat : HOT) + (near ? 0 : ELSEWHERE);
        good = heat < coolest ? next : good;
        coolest = Math.min(coolest, heat);
      }
      double cost = slow > 0 ? slow : known ? next.heat : -due / after(job, next);
      best = cost < least ? next : best;
      least = Math.min(least, cost);
    }
    return good != null || strict ? good : best;
  }

  /** What a unit of this one's load is worth, as a part of the most that it may be; less beyond a tenant's share. */
  private double value(Job job) {
    String tenant = String.valueOf(job.request.tenant());
    double due = settings.value().shares().getOrDefault(tenant, Double.MAX_VALUE) / settings.balancers();
    double chance = 2 * Math.sqrt(due); // few of a tenant's come here: a second more than its due is no excess
    double part = tenants.getOrDefault(tenant, 0) > due + chance ? settings.value().overShare() : 1;
    return Math.min(1, worth(job.type, job.load) * part / mostWorth);
  }

  private double worth(RequestClass type, double load) {
    return settings.value().byWork() ? type.worth() : type.worth() / load;
  }

  /** What a server bears of this balancer's. Guards against servers that bear many thin groups looking free. */
  private double bears(Node node) {
    return node.load + node.groups.size() * groupCost();
  }

  private double after(Job job, Node node) {
    return bears(node) + job.load + (job.group == null || node.groups.containsKey(job.group) ? 0 : groupCost());
  }

  private double groupCost() {
    return GROUP_COST * meanLoad / settings.balancers(); // all of them share it
  }

  private double due(Node node) {
    return (totalLoad + pairs * groupCost()) * node.weight / totalSize;
  }

  /** The load check of the plain rotation: the one after is taken if it holds fewer; the index skips both. */
  private Node checked(long now, Job job, int at) {
    Node next = rotation.get(at % rotation.size());
    Node after = rotation.get((at + 1) % rotation.size());
    boolean skip = next.open > after.open && usable(now, job, after) && slow(now, after) == 0;
    index = (at + (skip ? 2 : 1)) % rotation.size();
    return skip ? after : next;
  }

  /** The servers for a group: the first of an order hashed from its name; for one of many cold ones with budget too. */
  private List<Node> homes(long now, Job job) {
    List<Node> homes = new ArrayList<>();
    double part = totalSize * job.group.seen / (seen + PRIOR); // few sightings hardly move the prior
    double wanted = (share < 1 && !asks ? SPREAD_BLIND : SPREAD) * part;
    for (Node node : order(job)) {
      if ((homes.size() < LEAST_HOMES || wanted > 0 || node.cold && share < 1) && usable(now, job, node)) {
        homes.add(node);
        wanted -= node.weight;
      }
    }
    double skip = job.turn * (share < 1 && !asks ? SPREAD_BLIND : SPAN) * part; // lest all balancers fill the first
    int start = 0;
    while (start < homes.size() && skip >= homes.get(start).weight) {
      skip -= homes.get(start++).weight;
    }
    Collections.rotate(homes, -start);
    homes.sort(Comparator.comparing(node -> !node.cold || share == 1)); // stable: cold ones come first for one of many
    return homes;
  }

  private List<Node> order(Job job) {
    if (job.group.order == null) {
      job.group.order = new ArrayList<>(rotation);
      rotation.forEach(node -> // weighted by size, so that a large server is the first home of more groups
          node.rank = -Math.log(Ledger.mix(job.request.group(), node.info.name())) / node.info.size());
      job.group.order.sort(Comparator.comparingDouble(node -> node.rank));
    }
    return job.group.order;
  }

  /** How long messages take at a server, 0 when they are not slow; the first connection after a pause is a trial. */
  private double slow(long now, Node node) {
    return now - Math.max(node.slowAt, node.trialAt) < SLOW_MEMORY && node.slow > CROWDED * shortestAim ? node.slow : 0;
  }

  private boolean usable(long now, Job job, Node node) {
    return node.ready && node != job.failedOn && !suspect(now, node) && inScope(now, job, node)
        && budget(now, node) >= 1;
  }

  /** Guards against a silent or failing server: passed by for a while, then given one trial at a time. */
  private boolean suspect(long now, Node node) {
    return node.strikes > 0 && (now < node.avoidUntil || node.settingUp > 0 || node.onTrial(now));
  }

  private void strike(long now, Node node) {
    if (now >= node.avoidUntil) {
      node.strikes = Math.min(node.strikes + 1, MOST_STRIKES);
      node.avoidUntil = now + (long) ((0.75 + random.nextDouble() / 2) * (AVOID << node.strikes - 1));
    }
  }

  /** Guards a keyed effect against running twice: repeats stay where they are dropped, and while they are. */
  private boolean inScope(long now, Job job, Node node) {
    boolean same = job.ranOn != null && (job.type.scope() == Scope.ZONE
        ? node.info.zone().equals(job.ranOn.zone()) : node.info.cell() == job.ranOn.cell());
    return repeatable(now, job, same || job.type.scope() == Scope.ALL);
  }

  private boolean repeatable(long now, Job job, boolean dropsRepeats) {
    boolean keyed = job.type.effect() == Effect.KEYED && dropsRepeats && now - job.ranAt < job.type.window() - MARGIN;
    return !job.mayHaveRun || job.type.effect() == Effect.SAFE || keyed;
  }

  /** Set-ups a server can take now without being pushed over while it is cold; no limit when it is warm. */
  private double budget(long now, Node node) {
    if (warmth(now, node) >= 1) {
      return Double.MAX_VALUE;
    }
    double ends = rate.at(now) * node.weight / (warmSize > 0 ? warmSize : totalSize); // by what warm ones bear
    double due = jobs.size() * node.weight / totalSize / settings.coldTime() / warmHeat; // before any end
    double perMicro = COLD_CAUTION * settings.coldMultiple() * Math.max(ends, due);
    node.budget = Math.min(Math.max(1, perMicro * settings.coldWindow()),
        node.budget + perMicro * (now - node.budgetAt));
    node.budgetAt = now;
    return node.budget;
  }

  /** The part of its capacity that a server has at least; it grows over the cold time. */
  private double warmth(long now, Node node) {
    long age = node.info.since() == 0 ? settings.coldTime() : Math.max(0, now - node.info.since());
    double grown = settings.coldTime() == 0 ? 1 : (double) age / settings.coldTime();
    return grown >= 1 ? 1 : settings.coldShare() + (1 - settings.coldShare()) * grown;
  }

  /** What a unit of load is worth at most, and sizes, now: a cold server counts with the part that it has. */
  private void weigh(long now) {
    mostWorth = settings.classes().stream().mapToDouble(type -> worth(type, usual(type))).max().orElse(1);
    warmHeat = Math.max(LEAST_HEAT, rotation.stream().filter(node -> !node.cold && node.known(now, FRESH))
        .mapToDouble(node -> node.heat).average().orElse(1));
    totalSize = warmSize = 0;
    for (Node node : rotation) {
      double warmth = warmth(now, node);
      node.weight = node.info.size() * warmth;
      totalSize += node.weight;
      warmSize += warmth < 1 ? 0 : node.weight;
      node.cold = warmth < 1;
    }
  }

  private void send(long now, Job job, Node node, long left) {
    if (job.type.effect() != Effect.SAFE && !job.mayHaveRun) {
      job.ranAt = now;
      job.ranOn = node.info;
    }
    bind(now, job, node);
    node.settingUp++;
    settingUp++;
    node.budget -= 1;
    record(now, job.request.client(), node);
    boolean jammed = share < 1 && window < WINDOW_FIRST * share / 2; // the shared call, so that others are as late
    boolean last = jammed || job.attempts >= settings.maxAttempts();
    long timeout = last ? left : Math.min(left, Math.max(job.type.aim(), left / 2));
    actions.send(job.request.id(), node.info.name(), timeout);
  }

  @Override
  public void bind(long now, Map<String, String> clients) {
    clients.values().removeIf(server -> !nodes.containsKey(server) || !nodes.get(server).ready);
    clients.forEach((client, server) -> entries.putIfAbsent(client, new Entry(nodes.get(server), now)));
  }

  private void record(long now, String client, Node node) {
    if (client != null && node != null && node.ready) {
      entries.put(client, new Entry(node, now));
    }
  }

  /** Books an attempt on a server, which may be unknown for a connection handed over. */
  private void bind(long now, Job job, Node node) {
    job.node = node == null ? new Node() : node;
    job.attempts++;
    job.out++;
    tenants.merge(String.valueOf(job.request.tenant()), 1, Integer::sum);
    job.node.trialAt = job.node.open++ == 0 ? now : job.node.trialAt;
    carry(job, job.load);
    pairs += job.group == null ? 0 : job.node.hold(job.group, 1);
  }

  private void carry(Job job, double load) {
    job.node.load += load;
    totalLoad += load;
  }

  private void retryHeld(long now) {
    ArrayDeque<Job> waiting = held;
    held = new ArrayDeque<>();
    waiting.stream().filter(job -> !job.answered).forEach(job -> place(now, job));
  }

  /** The final answer, with no attempt out: a refusal where nothing ran, or may repeat when the client is back. */
  private void answer(long now, Job job) {
    long advice = Math.min(settings.maxRetryAfter(), (long) (job.type.aim() * (0.5 + random.nextDouble())));
    if (repeatable(now + advice, job, job.type.scope() == Scope.ALL)) {
      actions.refuse(job.request.id(), advice);
    } else {
      actions.fail(job.request.id());
    }
    finish(job);
  }

  private void finish(Job job) {
    job.answered = true;
    if (job.out == 0) {
      jobs.remove(job.request.id());
    }
  }

  @Override
  public void opened(long now, long id, int attempt, long latency) {
    Job job = jobs.get(id);
    if (job != null && job.out > 0 && !job.open) {
      job.open = true;
      job.openedAt = now;
      job.node.tryAt = Long.MAX_VALUE;
      trust = Math.max(0, trust + (latency > job.type.aim() ? -1 : TRUST_GAIN));
      settingUp--;
      job.node.settingUp--;
      job.node.provenAt = job.node.sheds ? now + YOUNG : job.node.provenAt; // only one that is kept clears it
      job.node.strikes = Math.max(0, job.node.strikes - (job.node.sheds ? 0 : 1));
      learnWindow(now, latency > setUpAim, latency); // a slower one has queued somewhere
      retryHeld(now);
    }
  }

  @Override
  public void ended(long now, long id, int attempt, Outcome outcome, long latency, boolean closed) {
    Job job = jobs.get(id);
    if (job == null || job.out == 0) {
      return;
    }
    job.out--;
    tenants.merge(String.valueOf(job.request.tenant()), -1, Integer::sum);
    job.node.open--;
    job.node.settingUp -= job.open ? 0 : 1;
    settingUp -= job.open ? 0 : 1;
    carry(job, -job.load);
    pairs += job.group == null ? 0 : job.node.hold(job.group, -1);
    job.mayHaveRun |= !outcome.neverRan;
    rate.add(now, job.open && outcome == Outcome.SERVED ? 1 : 0);
    boolean failedSetUp = !job.open && outcome.failsSetUp();
    if (failedSetUp) {
      learnWindow(now, true, latency);
    }
    if (failedSetUp || outcome == Outcome.RESET) {
      reset(job);
      job.failedOn = job.node;
      boolean young = job.open && now - job.openedAt < YOUNG;
      boolean first = young && now >= job.node.avoidUntil; // of many that one server drops together: it is one fault
      if (first && job.node.open > 0) {
        crowd(job.node, CAP_PART);
      }
      job.node.sheds |= young;
      job.node.provenAt = young ? Long.MAX_VALUE : job.node.provenAt;
      trust = Math.max(0, trust - (job.open && !first ? 0 : 1));
      job.errors += outcome == Outcome.ERROR ? 1 : 0;
      if (job.errors < 2) { // guards against one request that no server can use striking them all
        strike(now, job.node);
      } else if (job.errors == 2 && job.accused != null) {
        job.accused.strikes = Math.max(0, job.accused.strikes - 1);
      }
      job.accused = outcome == Outcome.ERROR && job.errors == 1 ? job.node : null;
    }
    if (closed || job.open || job.answered) {
      finish(job);
    } else {
      place(now, job);
    }
    retryHeld(now);
  }

  /** A failed set-up or a broken connection resets the entry, and this request's picks skip the map. */
  private void reset(Job job) {
    job.reset = true;
    entries.computeIfPresent(job.request.client(), (client, entry) -> entry.node() == job.node ? null : entry);
  }

  @Override
  public void load(long now, long id, int attempt, double load) {
    Job job = jobs.get(id);
    if (job != null && job.out > 0) {
      carry(job, load - job.load);
      job.load = load;
      job.told = true;
      meanLoad += (load - meanLoad) / 50;
      usuals.computeIfAbsent(job.type.name(), name -> new Usual()).learn(load, LOADS_KEPT);
    }
  }

  /** The load to expect of a connection until it is told: classes differ tenfold. */
  private double usual(RequestClass type) {
    Usual usual = usuals.get(type.name());
    return usual == null || usual.told < LEAST_LOADS ? meanLoad : usual.load;
  }

  /** Guards against servers with many connections not told of yet, as after a restart, seeming to have room. */
  private void expect(Job job) {
    if (!job.told && job.out > 0) {
      double load = usual(job.type);
      carry(job, load - job.load);
      job.load = load;
    }
  }

  @Override
  public void delay(long now, long id, int attempt, double micros) {
    Job job = jobs.get(id);
    if (job != null && job.out > 0) {
      boolean runs = now - job.node.slowAt < 1.5 * SECOND; // notes come once a second
      job.node.growth = runs ? (micros - job.node.slow) / (now - job.node.slowAt) : Math.min(1, micros / SECOND);
      job.node.slow = micros;
      job.node.slowAt = now;
    }
  }

  /** Moves this balancer's own part of what is asked of a server beyond what it can do, by the growth of its delays. */
  private void relieve(long now, Node node) {
    double slow = slow(now, node);
    if (slow < JAMMED * shortestAim || node.slowAt <= node.relievedAt) {
      return; // once for each note
    }
    node.relievedAt = now;
    double asked = Math.max(1, 1 + node.growth); // of what it can do
    crowd(node, Math.min(CAP_PART, 1 / asked));
    relieve(now, node, node.load * (1 - Math.max(0, 1 - slow / SECOND) / asked), slow >= FULL * shortestAim);
  }

  /** Moves so much load off a server, where a home has room or {@code anyway}. A part of a connection is a chance. */
  private void relieve(long now, Node node, double most, boolean anyway) {
    List<Job> here = new ArrayList<>(most > 0 ? jobs.values() : List.of()); // of all standing ones: many
    here.removeIf(job -> job.node != node || !job.open || job.moved || job.group == null); // no group, no homes
    here.forEach(job -> job.foreign = !homes(now, job).contains(node)); // first: that frees the group's cost
    here.sort(Comparator.comparing((Job job) -> !job.foreign).thenComparing(this::value)
        .thenComparing(job -> -job.load));
    for (Job job : here) {
      double part = most / job.load;
      if (part > 0 && (anyway || walk(now, job, true) != null)) {
        most -= job.load;
        if (random.nextDouble() < part) {
          move(job);
        }
      }
    }
  }

  /** Caps a server at this part of its present own load. */
  private void crowd(Node node, double part) {
    double least = CAP_FLOOR * Math.max(due(node), meanLoad);
    node.cap = Math.min(node.cap, Math.max(bears(node) * part, least));
  }

  private void move(Job job) {
    job.moved = true;
    reset(job);
    actions.move(job.request.id());
  }

  @Override
  public boolean confirms(long now, long id) {
    Job job = jobs.get(id);
    return job != null && job.node.ready && inScope(now, job, job.node);
  }

  @Override
  public void close(long now) {
    closing = true;
    retryHeld(now);
  }

  @Override
  public void departed(long now, long id) {
    Job job = jobs.get(id);
    if (job != null) {
      finish(job);
    }
  }

  @Override
  public boolean avoids(long now, String server) {
    Node node = nodes.get(server);
    return node == null || !node.ready || suspect(now, node) || slow(now, node) > 0;
  }

  @Override
  public void timer(long now, long token) {
    started();
    actions.timer(now + TICK, 0);
    retryHeld(now);
    if (now >= askAt) {
      askAt = now + LIST_WAIT_MOST;
      actions.subscribe();
    }
    if (now < lookAt) {
      return;
    }
    lookAt = now + LOOK;
    weigh(now);
    for (Job job : jobs.values()) {
      expect(job);
      Long since = job.open && !job.moved && job.node.info != null ? out.get(job.node.info.name()) : null;
      if (since != null && random.nextDouble() * Math.max(1, since + CLEAR - now) < LOOK) {
        move(job); // guards against clients cut off at a server taken out, at an even pace, before it is restarted
      }
    }
    if (asks && random.nextDouble() < ASK_RATE * LOOK * jobs.size()) {
      rotation.stream().filter(node -> node.open > 0 && now - node.askedAt > FRESH / 2)
          .max(Comparator.comparing(node -> node.load * (now - node.toldAt))).ifPresent(node -> ask(now, node));
    }
    for (Node node : rotation) {
      relieve(now, node);
      node.slow = node.open > 0 && slow(now, node) == 0 ? 0 : node.slow;
      boolean proven = node.sheds && now >= node.provenAt;
      node.sheds &= !proven;
      node.strikes = proven ? 0 : node.strikes;
      node.cap *= slow(now, node) > 0 ? 1 : 1 + LOOK / CAP_GROWTH;
    }
    if (now >= nextSweep) {
      nextSweep = now + SWEEP;
      entries.values().removeIf(entry -> now - entry.lastUsed() >= TTL);
      groups.values().forEach(group -> group.seen *= GROUPS_KEPT);
      seen *= GROUPS_KEPT;
      groups.values().removeIf(group -> group.seen < 0.5);
    }
  }
}
