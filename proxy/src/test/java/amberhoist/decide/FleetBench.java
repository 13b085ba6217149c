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
 * Test harness for the balancers of one fleet in virtual time. All setups call a shared store, which handles its calls
 * one after the other, and servers report their utilization. Clients pick a balancer at random and retry after a
 * rejection. All times are in microseconds.
 */
final class FleetBench {
  private static final long RECONNECT_MICROS = 20 * MS;
  private static final long REPORT_DELAY_MICROS = 30 * MS;

  private record Event(long at, long order, Runnable task) {}

  private final List<Balancer> balancers = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
      a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private final Random random = new Random(5);
  private final long storeCallMicros;
  private final long clientRetryMicros;
  private final int connectionsPerServer;
  private final Map<String, Server> servers = new TreeMap<>();
  private final Map<String, Integer> connectionCounts = new HashMap<>();
  private final Map<Long, String> serverByRequest = new HashMap<>(); // of each established connection
  private final Map<Long, Integer> attemptCounts = new HashMap<>();
  private final Map<Long, String> clientByRequest = new HashMap<>();
  private long nextOrder;
  private long nextRequestId;
  private long storeFreeAt;
  long now = 1000 * S;
  int opened;
  int timedOut;
  int refused;
  final Map<String, List<Long>> sent = new TreeMap<>(); // times of all attempts, by server

  /**
   * Starts a fleet.
   *
   * @param count number of balancers
   * @param storeCallMicros time that the shared store takes for one setup
   * @param clientRetryMicros time after which a rejected client tries again
   * @param connectionsPerServer connections at which a warm server reaches a utilization of 1
   */
  FleetBench(int count, Settings settings, long storeCallMicros, long clientRetryMicros,
      int connectionsPerServer) {
    this.storeCallMicros = storeCallMicros;
    this.clientRetryMicros = clientRetryMicros;
    this.connectionsPerServer = connectionsPerServer;
    for (int i = 0; i < count; i++) {
      Balancer balancer = new Policy();
      balancers.add(balancer);
      balancer.start(now, settings, 100 + i, new SimulatedActions(balancer));
    }
  }

  /** Sends an update of these servers to all balancers; other known servers stay listed. */
  void change(List<Server> changed) {
    changed.forEach(server -> servers.put(server.name(), server));
    balancers.forEach(balancer -> balancer.members(now, ListKind.CHANGES, changed));
  }

  /** Hands over {@code count} established connections of 20 groups, spread evenly over servers and balancers. */
  void stand(int count, List<String> serverNames) {
    for (int i = 0; i < count; i++) {
      String server = serverNames.get(i % serverNames.size());
      Request request = request("client" + i);
      Balancer balancer = balancers.get(i % balancers.size());
      serverByRequest.put(request.id(), server);
      connectionCounts.merge(server, 1, Integer::sum);
      balancer.handover(now, request, server);
      balancer.load(now, request.id(), 0, 20 * MS);
    }
  }

  /** Submits a request of the client to a random balancer; after each rejection the client tries again. */
  void arrive(String client) {
    Request request = request(client);
    balancers.get(random.nextInt(balancers.size())).request(now, request);
  }

  private Request request(String client) {
    long id = nextRequestId++;
    clientByRequest.put(id, client);
    return new Request(id, "c", null, client, now + 1000 * MS, 0, "g" + Math.floorMod(client.hashCode(), 20),
        false, false);
  }

  /** Schedules a task at a time of the virtual clock; tasks of the same time run in the order of scheduling. */
  void at(long time, Runnable task) {
    events.add(new Event(time, nextOrder++, task));
  }

  /** Advances the clock by {@code micros} and runs the tasks that fall due. */
  void pass(long micros) {
    long end = now + micros;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = end;
  }

  /** Number of established connections on a server. */
  int standing(String server) {
    return connectionCounts.getOrDefault(server, 0);
  }

  /** The highest number of attempts that were sent to a server within any period of {@code windowMicros}. */
  int most(String server, long windowMicros) {
    List<Long> times = sent.getOrDefault(server, List.of());
    int max = 0;
    int from = 0;
    for (int to = 0; to < times.size(); to++) {
      while (times.get(to) - times.get(from) >= windowMicros) {
        from++;
      }
      max = Math.max(max, to - from + 1);
    }
    return max;
  }

  private final class SimulatedActions implements Balancer.Actions {
    private final Balancer balancer;

    SimulatedActions(Balancer balancer) {
      this.balancer = balancer;
    }

    @Override
    public void send(long id, String server, long timeout) {
      int attempt = attemptCounts.merge(id, 1, Integer::sum) - 1;
      sent.computeIfAbsent(server, name -> new ArrayList<>()).add(now);
      storeFreeAt = Math.max(now, storeFreeAt) + storeCallMicros; // also for attempts that time out meanwhile
      long latency = storeFreeAt - now;
      if (latency > timeout) {
        FleetBench.this.at(now + timeout, () -> {
          timedOut++;
          balancer.ended(now, id, attempt, Outcome.TIMED_OUT, timeout, false);
        });
      } else {
        FleetBench.this.at(storeFreeAt, () -> {
          opened++;
          serverByRequest.put(id, server);
          connectionCounts.merge(server, 1, Integer::sum);
          balancer.opened(now, id, attempt, latency);
          balancer.load(now, id, attempt, 20 * MS);
        });
      }
    }

    @Override
    public void refuse(long id, long retryAfter) {
      refused++;
      FleetBench.this.at(now + clientRetryMicros, () -> arrive(clientByRequest.get(id)));
    }

    @Override
    public void fail(long id) {
      refuse(id, 0);
    }

    @Override
    public void move(long id) {
      FleetBench.this.at(now + RECONNECT_MICROS, () -> {
        connectionCounts.merge(serverByRequest.remove(id), -1, Integer::sum);
        balancer.ended(now, id, 0, Outcome.CANCELLED, 0, true);
        arrive(clientByRequest.get(id));
      });
    }

    @Override
    public void subscribe() {
      // the test sends the updates of the server list
    }

    @Override
    public void ask(String server) {
      FleetBench.this.at(now + REPORT_DELAY_MICROS, () -> balancer.report(now, server, utilization(server)));
    }

    private double utilization(String server) {
      return standing(server) / (connectionsPerServer * warmth(servers.get(server)));
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

  /** The part of its capacity that a server has now: from 0.1 at its start, growing evenly to 1 after 28 s. */
  double warmth(Server server) {
    double age = server.since() == 0 ? 1 : (now - server.since()) / (28.0 * S);
    return Math.min(1, 0.1 + 0.9 * age);
  }
}
