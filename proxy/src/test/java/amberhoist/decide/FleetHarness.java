package amberhoist.decide;

import static amberhoist.decide.BalancerHarness.MILLIS;
import static amberhoist.decide.BalancerHarness.SECOND;

import amberhoist.decide.Balancer.ListUpdateKind;
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
final class FleetHarness {
  private static final long RECONNECT_MICROS = 20 * MILLIS;
  private static final long REPORT_DELAY_MICROS = 30 * MILLIS;

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
  long now = 1000 * SECOND;
  int establishedCount;
  int timedOutCount;
  int rejectedCount;
  final Map<String, List<Long>> sentAtByServer = new TreeMap<>(); // times of all attempts, by server

  /**
   * Starts a fleet.
   *
   * @param count number of balancers
   * @param storeCallMicros time that the shared store takes for one setup
   * @param clientRetryMicros time after which a rejected client tries again
   * @param connectionsPerServer connections at which a warm server reaches a utilization of 1
   */
  FleetHarness(int count, Settings settings, long storeCallMicros, long clientRetryMicros, int connectionsPerServer) {
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
  void updateServers(List<Server> changed) {
    changed.forEach(server -> servers.put(server.name(), server));
    balancers.forEach(balancer -> balancer.onServerList(now, ListUpdateKind.CHANGES, changed));
  }

  /** Hands over {@code count} established connections of 20 groups, spread evenly over servers and balancers. */
  void handOverConnections(int count, List<String> serverNames) {
    for (int i = 0; i < count; i++) {
      String server = serverNames.get(i % serverNames.size());
      Request request = request("client" + i);
      Balancer balancer = balancers.get(i % balancers.size());
      serverByRequest.put(request.id(), server);
      connectionCounts.merge(server, 1, Integer::sum);
      balancer.onHandover(now, request, server);
      balancer.onLoad(now, request.id(), 0, 20 * MILLIS);
    }
  }

  /** Submits a request of the client to a random balancer; after each rejection the client tries again. */
  void submit(String client) {
    Request request = request(client);
    balancers.get(random.nextInt(balancers.size())).onRequest(now, request);
  }

  private Request request(String client) {
    long id = nextRequestId++;
    clientByRequest.put(id, client);
    return new Request(id, "c", null, client, now + 1000 * MILLIS, 0, "g" + Math.floorMod(client.hashCode(), 20),
        false, false);
  }

  /** Schedules a task at a time of the virtual clock; tasks of the same time run in the order of scheduling. */
  void schedule(long time, Runnable task) {
    events.add(new Event(time, nextOrder++, task));
  }

  /** Advances the clock by {@code micros} and runs the tasks that fall due. */
  void advance(long micros) {
    long end = now + micros;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = end;
  }

  /** Number of established connections on a server. */
  int connectionCount(String server) {
    return connectionCounts.getOrDefault(server, 0);
  }

  /** The highest number of attempts that were sent to a server within any period of {@code windowMicros}. */
  int maxSentWithin(String server, long windowMicros) {
    List<Long> times = sentAtByServer.getOrDefault(server, List.of());
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
    public void startAttempt(long id, String server, long timeout) {
      int attempt = attemptCounts.merge(id, 1, Integer::sum) - 1;
      sentAtByServer.computeIfAbsent(server, name -> new ArrayList<>()).add(now);
      storeFreeAt = Math.max(now, storeFreeAt) + storeCallMicros; // also for attempts that time out meanwhile
      long latency = storeFreeAt - now;
      if (latency > timeout) {
        FleetHarness.this.schedule(now + timeout, () -> {
          timedOutCount++;
          balancer.onAttemptEnded(now, id, attempt, Outcome.TIMED_OUT, timeout, false);
        });
      } else {
        FleetHarness.this.schedule(storeFreeAt, () -> {
          establishedCount++;
          serverByRequest.put(id, server);
          connectionCounts.merge(server, 1, Integer::sum);
          balancer.onEstablished(now, id, attempt, latency);
          balancer.onLoad(now, id, attempt, 20 * MILLIS);
        });
      }
    }

    @Override
    public void reject(long id, long retryAfter) {
      rejectedCount++;
      FleetHarness.this.schedule(now + clientRetryMicros, () -> submit(clientByRequest.get(id)));
    }

    @Override
    public void fail(long id) {
      reject(id, 0);
    }

    @Override
    public void move(long id) {
      FleetHarness.this.schedule(now + RECONNECT_MICROS, () -> {
        connectionCounts.merge(serverByRequest.remove(id), -1, Integer::sum);
        balancer.onAttemptEnded(now, id, 0, Outcome.CANCELLED, 0, true);
        submit(clientByRequest.get(id));
      });
    }

    @Override
    public void subscribe() {
      // the test sends the updates of the server list
    }

    @Override
    public void requestLoadReport(String server) {
      FleetHarness.this.schedule(now + REPORT_DELAY_MICROS,
          () -> balancer.onLoadReport(now, server, utilization(server)));
    }

    private double utilization(String server) {
      return connectionCount(server) / (connectionsPerServer * capacityFraction(servers.get(server)));
    }

    @Override
    public void scheduleTimer(long time, long token) {
      FleetHarness.this.schedule(Math.max(time, now + 1), () -> balancer.onTimer(now, token));
    }

    @Override
    public void log(String message) {
      throw new AssertionError(message);
    }
  }

  /** The part of its capacity that a server has now: from 0.1 at its start, growing evenly to 1 after 28 s. */
  double capacityFraction(Server server) {
    double age = server.startedAt() == 0 ? 1 : (now - server.startedAt()) / (28.0 * SECOND);
    return Math.min(1, 0.1 + 0.9 * age);
  }
}
