package amberhoist.decide;

import static amberhoist.decide.Bench.MS;
import static amberhoist.decide.Bench.S;

import amberhoist.decide.Balancer.ListKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * Many balancers of one fleet in virtual time, with a call that all set-ups share and that answers one after the other,
 * and servers that report the load asked of them. Clients go to any balancer and come again where they are not taken.
 */
final class FleetBench {
  private static final long TICK = 20 * MS;
  private static final long REPORT_DELAY = 30 * MS;

  private record Event(long at, long order, Runnable task) {}

  private final List<Balancer> balancers = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
      a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private final Random random = new Random(5);
  private final long setUp;
  private final long again;
  private final int serverHolds;
  private final Map<String, Server> servers = new TreeMap<>();
  private final Map<String, Integer> standing = new HashMap<>();
  private final Map<Long, String> at = new HashMap<>(); // server of each connection that is out or stands
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final Map<Long, String> clients = new HashMap<>();
  private long order;
  private long nextId;
  private long storeFreeAt;
  long now = 1000 * S;
  int opened;
  int timedOut;
  int refused;
  final Map<String, List<Long>> sent = new TreeMap<>(); // times, by server

  /**
   * A fleet.
   *
   * @param setUp micros that the shared call takes for one set-up
   * @param again micros after which a client that was refused comes again
   * @param serverHolds connections that fill a warm server
   */
  FleetBench(int count, Settings settings, long setUp, long again, int serverHolds) {
    this.setUp = setUp;
    this.again = again;
    this.serverHolds = serverHolds;
    for (int i = 0; i < count; i++) {
      Balancer balancer = new Policy();
      balancers.add(balancer);
      balancer.start(now, settings, 100 + i, new Sink(balancer));
    }
  }

  /** Tells all balancers of these servers, among those they know. */
  void change(List<Server> some) {
    some.forEach(server -> servers.put(server.name(), server));
    balancers.forEach(balancer -> balancer.members(now, ListKind.CHANGES, some));
  }

  /** So many connections of a few groups stand on these servers, spread evenly. */
  void stand(int count, List<String> on) {
    for (int i = 0; i < count; i++) {
      String server = on.get(i % on.size());
      Request request = request("client" + i);
      Balancer balancer = balancers.get(i % balancers.size());
      at.put(request.id(), server);
      standing.merge(server, 1, Integer::sum);
      balancer.handover(now, request, server);
      balancer.load(now, request.id(), 0, 20 * MS);
    }
  }

  /** A client asks any balancer, and comes again until it is taken. */
  void arrive(String client) {
    Request request = request(client);
    balancers.get(random.nextInt(balancers.size())).request(now, request);
  }

  private Request request(String client) {
    long id = nextId++;
    clients.put(id, client);
    return new Request(id, "c", null, client, now + 1000 * MS, 0, "g" + Math.floorMod(client.hashCode(), 20), false,
        false);
  }

  void at(long time, Runnable task) {
    events.add(new Event(time, order++, task));
  }

  /** Lets time pass. */
  void pass(long time) {
    long end = now + time;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = end;
  }

  int standing(String server) {
    return standing.getOrDefault(server, 0);
  }

  /** The most connections that were sent to a server within any such time. */
  int most(String server, long window) {
    List<Long> times = sent.getOrDefault(server, List.of());
    int most = 0;
    int from = 0;
    for (int to = 0; to < times.size(); to++) {
      while (times.get(to) - times.get(from) >= window) {
        from++;
      }
      most = Math.max(most, to - from + 1);
    }
    return most;
  }

  private final class Sink implements Balancer.Actions {
    private final Balancer balancer;

    Sink(Balancer balancer) {
      this.balancer = balancer;
    }

    @Override
    public void send(long id, String server, long timeout) {
      int attempt = attempts.merge(id, 1, Integer::sum) - 1;
      sent.computeIfAbsent(server, name -> new ArrayList<>()).add(now);
      storeFreeAt = Math.max(now, storeFreeAt) + setUp; // also for who has given up by then
      long took = storeFreeAt - now;
      if (took > timeout) {
        FleetBench.this.at(now + timeout, () -> {
          timedOut++;
          balancer.ended(now, id, attempt, Outcome.TIMED_OUT, timeout, false);
        });
      } else {
        FleetBench.this.at(storeFreeAt, () -> {
          opened++;
          at.put(id, server);
          standing.merge(server, 1, Integer::sum);
          balancer.opened(now, id, attempt, took);
          balancer.load(now, id, attempt, 20 * MS);
        });
      }
    }

    @Override
    public void refuse(long id, long retryAfter) {
      refused++;
      FleetBench.this.at(now + again, () -> arrive(clients.get(id)));
    }

    @Override
    public void fail(long id) {
      refuse(id, 0);
    }

    @Override
    public void move(long id) {
      FleetBench.this.at(now + TICK, () -> {
        standing.merge(at.remove(id), -1, Integer::sum);
        balancer.ended(now, id, 0, Outcome.CANCELLED, 0, true);
        arrive(clients.get(id));
      });
    }

    @Override
    public void subscribe() {
      // the list is told by the test
    }

    @Override
    public void ask(String server) {
      FleetBench.this.at(now + REPORT_DELAY, () -> balancer.report(now, server, heat(server)));
    }

    private double heat(String server) {
      return standing(server) / (serverHolds * warmth(servers.get(server)));
    }

    @Override
    public void timer(long time, long token) {
      FleetBench.this.at(Math.max(time, now + 1), () -> balancer.timer(now, token));
    }

    @Override
    public void log(String message) {
      throw new AssertionError(message);
    }
  }

  /** A tenth of what it can do at its start, all of it after 28 s. */
  double warmth(Server server) {
    double age = server.since() == 0 ? 1 : (now - server.since()) / (28.0 * S);
    return Math.min(1, 0.1 + 0.9 * age);
  }
}
