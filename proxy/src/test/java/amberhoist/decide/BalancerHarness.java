package amberhoist.decide;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.decide.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Test harness for one balancer: records the actions that the balancer requests, under a clock that the test advances
 * by hand. All times are in microseconds.
 */
final class BalancerHarness implements Balancer.Actions {
  /** One millisecond, in microseconds. */
  static final long MILLIS = 1000;

  /** One second, in microseconds. */
  static final long SECOND = 1_000_000;

  /**
   * One recorded action.
   *
   * @param kind "send" for a started attempt, "refuse" for a rejection, "ask" for a request for a load report, else the
   *     name of the method that was called
   * @param requestId the id of the request, 0 if the action concerns none
   * @param server the server, or the text of a log message; null if the action has neither
   * @param micros the timeout of a send, the retry-after of a rejection, or the time of a subscription or of a request
   *     for a load report; 0 if none
   */
  record Action(String kind, long requestId, String server, long micros) {
    boolean isSend() {
      return kind.equals("send");
    }
  }

  final List<Action> actions = new ArrayList<>();
  final Balancer balancer = new Policy();
  long now = 1000 * SECOND;
  long timerAt = Long.MAX_VALUE;

  /** Settings for two balancers with warm-up limits and no tenant shares. */
  static Settings settings(boolean subscribe, RequestClass... classes) {
    return settings(subscribe, ConnectionValue.DEFAULT, classes);
  }

  static Settings settings(boolean subscribe, ConnectionValue value, RequestClass... classes) {
    return new Settings("z", 0, 2, List.of(classes), subscribe, 10 * SECOND, 4, 600 * MILLIS, 0.02, 0.02,
        0.3, 9 * SECOND, 2.5, 3 * SECOND, value, false);
  }

  /** The request class {@code c}: setup within 300 ms, messages within 100 ms, repeats dropped for 5 s. */
  static RequestClass requestClass(Effect effect, DedupScope scope) {
    return new RequestClass("c", effect, scope, 300 * MILLIS, 5 * SECOND, 1, 100 * MILLIS);
  }

  /** A started balancer for requests that may be repeated at will, with these warm servers. */
  static BalancerHarness withSafeRequests(String... servers) {
    return withSafeRequests(7, servers);
  }

  static BalancerHarness withSafeRequests(long seed, String... servers) {
    BalancerHarness harness = new BalancerHarness();
    harness.balancer.start(harness.now, settings(false, requestClass(Effect.IDEMPOTENT, DedupScope.ALL)), seed,
        harness);
    harness.replaceWithReady(servers);
    return harness;
  }

  void start(Settings settings) {
    balancer.start(now, settings, 7, this);
  }

  static Server server(String name, ServerState state, long since) {
    return new Server(name, "z", "k", 0, state, 1, since);
  }

  static Server serverInZone(String name, String zone) {
    return new Server(name, zone, "k", 0, ServerState.READY, 1, 0);
  }

  /** Replaces the server list. */
  void replaceServers(Server... servers) {
    balancer.onServerList(now, ListUpdateKind.FULL, List.of(servers));
  }

  /** Replaces the server list by warm servers of these names, all in the balancer's own zone. */
  void replaceWithReady(String... names) {
    List<Server> list = new ArrayList<>();
    for (String name : names) {
      list.add(server(name, ServerState.READY, 0));
    }
    balancer.onServerList(now, ListUpdateKind.FULL, list);
  }

  /** Sends an update of one server. */
  void updateServer(Server server) {
    balancer.onServerList(now, ListUpdateKind.CHANGES, List.of(server));
  }

  static Request request(long id, String client, String group, long deadline) {
    return new Request(id, "c", null, client, deadline, 0, group, false, false);
  }

  /** Submits a request with a deadline in 1.2 s; returns the server that it was sent to, null if not sent yet. */
  String submit(long id, String client, String group) {
    int before = actions.size();
    balancer.onRequest(now, request(id, client, group, now + 1200 * MILLIS));
    return serverSentSince(before, id);
  }

  /** Submits a request and reports attempt 0 as established after 10 ms; returns its server, null if not sent. */
  String establish(long id, String client, String group) {
    String server = submit(id, client, group);
    balancer.onEstablished(now, id, 0, 10 * MILLIS);
    return server;
  }

  /** Reports that an attempt failed after 10 ms; the request is not yet answered. */
  void failAttempt(long id, int attempt, Outcome outcome) {
    balancer.onAttemptEnded(now, id, attempt, outcome, 10 * MILLIS, false);
  }

  /** The server of the request's first send from action {@code firstAction} on, or null if there is none. */
  String serverSentSince(int firstAction, long requestId) {
    return actions.subList(firstAction, actions.size()).stream()
        .filter(action -> action.kind().equals("send") && action.requestId() == requestId)
        .map(Action::server)
        .findFirst()
        .orElse(null);
  }

  long count(String kind) {
    return actions.stream().filter(action -> action.kind().equals(kind)).count();
  }

  long count(String kind, long requestId) {
    return actions.stream().filter(action -> action.kind().equals(kind) && action.requestId() == requestId).count();
  }

  /** Advances the clock by {@code micros} and runs each timer that falls due. */
  void advance(long micros) {
    long end = now + micros;
    while (timerAt <= end) {
      now = timerAt;
      timerAt = Long.MAX_VALUE;
      balancer.onTimer(now, 0);
    }
    now = end;
  }

  @Override
  public void startAttempt(long request, String server, long timeout) {
    actions.add(new Action("send", request, server, timeout));
  }

  @Override
  public void reject(long request, long retryAfter) {
    actions.add(new Action("refuse", request, null, retryAfter));
  }

  @Override
  public void fail(long request) {
    actions.add(new Action("fail", request, null, 0));
  }

  @Override
  public void move(long request) {
    actions.add(new Action("move", request, null, 0));
  }

  @Override
  public void subscribe() {
    actions.add(new Action("subscribe", 0, null, now));
  }

  @Override
  public void requestLoadReport(String server) {
    actions.add(new Action("ask", 0, server, now));
  }

  @Override
  public void scheduleTimer(long at, long token) {
    timerAt = at;
  }

  @Override
  public void log(String message) {
    actions.add(new Action("log", 0, message, 0));
  }
}
