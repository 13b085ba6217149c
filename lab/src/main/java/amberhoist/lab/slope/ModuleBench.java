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

/** The decision module with so many providers, groups and standing connections, and nothing round it. */
final class ModuleBench implements Balancer.Actions {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long WAIT = 5 * SECOND;
  private static final int PROXIES = 4_300;
  private static final double LOAD = 20_000; // micros of work a second

  private final Balancer balancer = new Policy();
  private final int groups;
  private long now = 1000 * SECOND;
  private long nextId;
  private long timerAt = Long.MAX_VALUE;
  private String sentTo;

  ModuleBench(int providers, int groups, boolean reports) {
    this.groups = groups;
    RequestClass type = new RequestClass("c", Effect.IDEMPOTENT, DedupScope.ALL, 300 * MILLI, WAIT, 1, 100 * MILLI);
    balancer.start(now, new Settings("z", 0, PROXIES, List.of(type), false, 10 * SECOND, 4, 600 * MILLI, 0, 0, 0.3,
        9 * SECOND, 2.5, 3 * SECOND, ConnectionValue.DEFAULT, reports), 7, this);
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < providers; i++) {
      servers.add(new Server(provider(i), "z", "k", 0, ServerState.READY, 1, 0));
    }
    balancer.onServerList(now, ListUpdateKind.FULL, servers);
  }

  static String provider(int i) {
    return "provider-" + i;
  }

  private Request request() {
    long id = nextId++;
    return new Request(id, "c", null, "client" + id, now + WAIT, 0, "group" + id % groups, false, false);
  }

  /** Takes over a connection that stands at this provider. */
  void stand(int provider) {
    Request request = request();
    balancer.onHandover(now, request, provider(provider));
    balancer.onLoad(now, request.id(), 0, LOAD);
  }

  /** Places a connection, which stands and then ends; whether it found a provider. */
  boolean place() {
    Request request = request();
    now += MILLI;
    sentTo = null;
    balancer.onRequest(now, request);
    if (sentTo == null) {
      return false;
    }
    balancer.onEstablished(now, request.id(), 0, 0); // at once, so that no pacing of set-ups is measured
    balancer.onAttemptEnded(now, request.id(), 0, Balancer.Outcome.SERVED, MILLI, true);
    return true;
  }

  /** A provider reports the part of what it can do that is asked of it. */
  void report(int provider, double heat) {
    balancer.onLoadReport(now, provider(provider), heat);
  }

  /** Lets a second pass, with every timer that falls due. */
  void second() {
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
    sentTo = server;
  }

  @Override
  public void reject(long request, long retryAfter) {
    // tried no more
  }

  @Override
  public void fail(long request) {
    // tried no more
  }

  @Override
  public void move(long request) {
    // stays: what a decision costs is asked here
  }

  @Override
  public void subscribe() {
    // the list is given
  }

  @Override
  public void requestLoadReport(String server) {
    // reports come as the measurement has them
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
