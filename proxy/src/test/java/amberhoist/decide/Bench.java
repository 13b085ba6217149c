package amberhoist.decide;

import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Scope;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Balancer.State;
import amberhoist.decide.Balancer.Value;
import java.util.ArrayList;
import java.util.List;

/**
 * Test harness for one balancer: records the actions that the balancer requests, under a clock that the test advances
 * by hand. All times are in microseconds.
 */
final class Bench implements Balancer.Actions {
  /** One millisecond, in microseconds. */
  static final long MS = 1000;

  /** One second, in microseconds. */
  static final long S = 1_000_000;

  /**
   * One recorded action.
   *
   * @param what the name of the method that was called
   * @param request the id of the request, 0 if the action concerns none
   * @param server the server, or the text of a log message; null if the action has neither
   * @param amount the timeout of a send, the retry-after of a rejection, or the time of a subscription or of a request
   *     for a load report; 0 if none
   */
  record Act(String what, long request, String server, long amount) {
    boolean isSend() {
      return what.equals("send");
    }
  }

  final List<Act> acts = new ArrayList<>();
  final Balancer balancer = new Policy();
  long now = 1000 * S;
  long timerAt = Long.MAX_VALUE;

  /** Settings for two balancers with warm-up limits and no tenant shares. */
  static Settings settings(boolean subscribe, RequestClass... classes) {
    return settings(subscribe, Value.NONE, classes);
  }

  static Settings settings(boolean subscribe, Value value, RequestClass... classes) {
    return new Settings("z", 0, 2, List.of(classes), subscribe, 10 * S, 4, 600 * MS, 0.02, 0.02,
        0.3, 9 * S, 2.5, 3 * S, value, false);
  }

  /** The request class {@code c}: setup within 300 ms, messages within 100 ms, repeats dropped for 5 s. */
  static RequestClass type(Effect effect, Scope scope) {
    return new RequestClass("c", effect, scope, 300 * MS, 5 * S, 1, 100 * MS);
  }

  /** A started balancer for requests that may be repeated at will, with these warm servers. */
  static Bench safe(String... servers) {
    return safe(7, servers);
  }

  static Bench safe(long seed, String... servers) {
    Bench harness = new Bench();
    harness.balancer.start(harness.now, settings(false, type(Effect.SAFE, Scope.ALL)), seed, harness);
    harness.full(servers);
    return harness;
  }

  void start(Settings settings) {
    balancer.start(now, settings, 7, this);
  }

  static Server server(String name, State state, long since) {
    return new Server(name, "z", "k", 0, state, 1, since);
  }

  static Server zoned(String name, String zone) {
    return new Server(name, zone, "k", 0, State.READY, 1, 0);
  }

  /** Replaces the server list. */
  void servers(Server... servers) {
    balancer.members(now, ListKind.FULL, List.of(servers));
  }

  /** Replaces the server list by warm servers of these names, all in the balancer's own zone. */
  void full(String... names) {
    List<Server> list = new ArrayList<>();
    for (String name : names) {
      list.add(server(name, State.READY, 0));
    }
    balancer.members(now, ListKind.FULL, list);
  }

  /** Sends an update of one server. */
  void change(Server server) {
    balancer.members(now, ListKind.CHANGES, List.of(server));
  }

  static Request request(long id, String client, String group, long deadline) {
    return new Request(id, "c", null, client, deadline, 0, group, false, false);
  }

  /** Submits a request with a deadline in 1.2 s; returns the server that it was sent to, null if not sent yet. */
  String submit(long id, String client, String group) {
    int before = acts.size();
    balancer.request(now, request(id, client, group, now + 1200 * MS));
    return sentSince(before, id);
  }

  /** Submits a request and reports attempt 0 as established after 10 ms; returns its server, null if not sent. */
  String open(long id, String client, String group) {
    String server = submit(id, client, group);
    balancer.opened(now, id, 0, 10 * MS);
    return server;
  }

  /** Reports that an attempt failed after 10 ms; an answer is still owed. */
  void failAttempt(long id, int attempt, Outcome outcome) {
    balancer.ended(now, id, attempt, outcome, 10 * MS, false);
  }

  /** The server of the request's first send from action {@code before} on, or null if there is none. */
  String sentSince(int before, long id) {
    return acts.subList(before, acts.size()).stream()
        .filter(action -> action.what().equals("send") && action.request() == id)
        .map(Act::server)
        .findFirst()
        .orElse(null);
  }

  long count(String what) {
    return acts.stream().filter(action -> action.what().equals(what)).count();
  }

  long count(String what, long id) {
    return acts.stream().filter(action -> action.what().equals(what) && action.request() == id).count();
  }

  /** Advances the clock by {@code micros} and runs each timer that falls due. */
  void pass(long micros) {
    long end = now + micros;
    while (timerAt <= end) {
      now = timerAt;
      timerAt = Long.MAX_VALUE;
      balancer.timer(now, 0);
    }
    now = end;
  }

  @Override
  public void send(long request, String server, long timeout) {
    acts.add(new Act("send", request, server, timeout));
  }

  @Override
  public void refuse(long request, long retryAfter) {
    acts.add(new Act("refuse", request, null, retryAfter));
  }

  @Override
  public void fail(long request) {
    acts.add(new Act("fail", request, null, 0));
  }

  @Override
  public void move(long request) {
    acts.add(new Act("move", request, null, 0));
  }

  @Override
  public void subscribe() {
    acts.add(new Act("subscribe", 0, null, now));
  }

  @Override
  public void ask(String server) {
    acts.add(new Act("ask", 0, server, now));
  }

  @Override
  public void timer(long at, long token) {
    timerAt = at;
  }

  @Override
  public void log(String message) {
    acts.add(new Act("log", 0, message, 0));
  }
}
