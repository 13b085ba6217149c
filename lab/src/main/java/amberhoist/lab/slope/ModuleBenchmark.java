package amberhoist.lab.slope;

import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Policy;
import java.util.ArrayList;
import java.util.List;

/** The decision module in isolation, with a given number of providers, groups and established connections. */
final class ModuleBenchmark implements Balancer.Actions {
  private static final long MILLISECOND = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long DEADLINE_MICROS = 5 * SECOND;
  private static final int FLEET_SIZE = 4_300;
  private static final double CONNECTION_LOAD = 20_000; // microseconds of work per second

  private final Balancer balancer = new Policy();
  private final int groups;
  private long now = 1000 * SECOND;
  private long nextId;
  private long timerAt = Long.MAX_VALUE;
  private String attemptedServer;

  ModuleBenchmark(int providers, int groups, boolean hasLoadReports) {
    this.groups = groups;
    RequestClass requestClass = new RequestClass("c", Effect.IDEMPOTENT, DedupScope.ALL, 300 * MILLISECOND,
        DEADLINE_MICROS, 1, 100 * MILLISECOND);
    balancer.start(now, new Settings("z", 0, FLEET_SIZE, List.of(requestClass), false, 10 * SECOND, 4,
        600 * MILLISECOND, 0, 0, 0.3, 9 * SECOND, 2.5, 3 * SECOND, ConnectionValue.DEFAULT, hasLoadReports), 7, this);
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < providers; i++) {
      servers.add(new Server(providerName(i), "z", "k", 0, ServerState.READY, 1, 0));
    }
    balancer.onServerList(now, ListUpdateKind.FULL, servers);
  }

  static String providerName(int i) {
    return "provider-" + i;
  }

  private Request newRequest() {
    long id = nextId++;
    return new Request(id, "c", null, "client" + id, now + DEADLINE_MICROS, 0, "group" + id % groups, false, false);
  }

  /** Hands over a connection that is established with this provider. */
  void handOverConnection(int provider) {
    Request request = newRequest();
    balancer.onHandover(now, request, providerName(provider));
    balancer.onLoad(now, request.id(), 0, CONNECTION_LOAD);
  }

  /** Places a connection, establishes and ends it; returns whether a provider was found. */
  boolean placeConnection() {
    Request request = newRequest();
    now += MILLISECOND;
    attemptedServer = null;
    balancer.onRequest(now, request);
    if (attemptedServer == null) {
      return false;
    }
    balancer.onEstablished(now, request.id(), 0, 0); // at once, to exclude pacing of setups
    balancer.onAttemptEnded(now, request.id(), 0, Balancer.Outcome.SERVED, MILLISECOND, true);
    return true;
  }

  /** Sends a load report of a provider: its demand over its capacity. */
  void reportLoad(int provider, double utilization) {
    balancer.onLoadReport(now, providerName(provider), utilization);
  }

  /** Advances time by one second and runs the timers that expire. */
  void advanceOneSecond() {
    long end = now + SECOND;
    while (timerAt <= end) {
      now = timerAt;
      timerAt = Long.MAX_VALUE;
      balancer.onTimer(now, 0);
    }
    now = end;
  }

  @Override
  public void startAttempt(long request, String server, long timeout) {
    attemptedServer = server;
  }

  @Override
  public void reject(long request, long retryAfter) {
    // not retried
  }

  @Override
  public void fail(long request) {
    // not retried
  }

  @Override
  public void move(long request) {
    // ignored: only the cost of the decision is measured
  }

  @Override
  public void subscribe() {
    // the list is set by the constructor
  }

  @Override
  public void requestLoadReport(String server) {
    // the measurement sends load reports itself
  }

  @Override
  public void scheduleTimer(long at, long token) {
    timerAt = at;
  }

  @Override
  public void log(String message) {
    throw new IllegalStateException(message);
  }
}
