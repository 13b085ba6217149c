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

/** A balancer with recorded actions and a clock set by hand. */
final class Bench implements Balancer.Actions {
  static final long MS = 1000;
  static final long S = 1_000_000;

  /** One recorded action; {@code amount} is the time-out, the advice or the due time. */
  record Act(String what, long request, String server, long amount) {
    boolean isSend() {
      return what.equals("send");
    }
  }

  final List<Act> acts = new ArrayList<>();
  final Balancer balancer = new Policy();
  long now = 1000 * S;
  long timerAt = Long.MAX_VALUE;

  static Settings settings(boolean subscribe, RequestClass... classes) {
    return settings(subscribe, Value.NONE, classes);
  }

  static Settings settings(boolean subscribe, Value value, RequestClass... classes) {
    return new Settings("z", 0, 2, List.of(classes), subscribe, 10 * S, 4, 600 * MS, 0.02, 0.02, 0.3, 9 * S,
        2.5, 3 * S, value, false);
  }

  static RequestClass type(Effect effect, Scope scope) {
    return new RequestClass("c", effect, scope, 300 * MS, 5 * S, 1, 100 * MS);
  }

  static Bench safe(String... servers) {
    return safe(7, servers);
  }

  static Bench safe(long seed, String... servers) {
    Bench bench = new Bench();
    bench.balancer.start(bench.now, settings(false, type(Effect.SAFE, Scope.ALL)), seed, bench);
    bench.full(servers);
    return bench;
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

  void servers(Server... servers) {
    balancer.members(now, ListKind.FULL, List.of(servers));
  }

  void full(String... names) {
    List<Server> list = new ArrayList<>();
    for (String name : names) {
      list.add(server(name, State.READY, 0));
    }
    balancer.members(now, ListKind.FULL, list);
  }

  void change(Server server) {
    balancer.members(now, ListKind.CHANGES, List.of(server));
  }

  static Request request(long id, String client, String group, long deadline) {
    return new Request(id, "c", null, client, deadline, 0, group, false, false);
  }

  /** Brings a request and returns the server it was sent to, or null. */
  String ask(long id, String client, String group) {
    int before = acts.size();
    balancer.request(now, request(id, client, group, now + 1200 * MS));
    return sentSince(before, id);
  }

  String open(long id, String client, String group) {
    String server = ask(id, client, group);
    balancer.opened(now, id, 0, 10 * MS);
    return server;
  }

  void fail(long id, int attempt, Outcome outcome) {
    balancer.ended(now, id, attempt, outcome, 10 * MS, false);
  }

  String sentSince(int before, long id) {
    return acts.subList(before, acts.size()).stream()
        .filter(act -> act.what().equals("send") && act.request() == id)
        .map(Act::server)
        .findFirst()
        .orElse(null);
  }

  long count(String what) {
    return acts.stream().filter(act -> act.what().equals(what)).count();
  }

  long count(String what, long id) {
    return acts.stream().filter(act -> act.what().equals(what) && act.request() == id).count();
  }

  /** Lets time pass, with every timer that falls due. */
  void pass(long time) {
    long end = now + time;
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
