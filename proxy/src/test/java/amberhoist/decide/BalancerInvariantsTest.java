package amberhoist.decide;

import static amberhoist.decide.BalancerHarness.MILLIS;
import static amberhoist.decide.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks four rules on every action of seeded random event sequences.
 *
 * <ol>
 *   <li>A request gets one answer, by its deadline, and no attempt after either.
 *   <li>Attempts of one request do not overlap, and no retry or rejection can repeat an effect that must not repeat.
 *   <li>Only ready servers get attempts.
 *   <li>A cold server gets no more setups than its warm-up budget allows.
 * </ol>
 */
class BalancerInvariantsTest {
  /** State of one request as the test drives it. */
  private static final class TrackedRequest {
    Request request;
    Effect effect;
    int attempts;
    boolean inFlight;
    boolean open;
    boolean mayHaveRun;
    long firstRunAt;
    int cell;
    boolean answered;
    String server;
    long timeoutAt;
  }

  private final BalancerHarness harness = new BalancerHarness();
  private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<String, List<Long>> coldSends = new HashMap<>();
  private int checkedActions;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void invariantsHoldUnderRandomEvents(long seed) {
    Random random = new Random(seed);
    List<Balancer.RequestClass> classes = new ArrayList<>();
    for (Effect effect : Effect.values()) {
      classes.add(new Balancer.RequestClass(effect.name(), effect, DedupScope.CELL, 300 * MILLIS, SECOND, 1,
          100 * MILLIS));
    }
    Balancer.RequestClass[] classArray = classes.toArray(new Balancer.RequestClass[0]);
    harness.start(BalancerHarness.settings(false, Balancer.ConnectionValue.DEFAULT, classArray));
    for (int i = 0; i < 8; i++) {
      update(new Server("s" + i, "z", "k", i % 3, ServerState.READY, 1, 0));
    }
    for (int step = 0; step < 3000; step++) {
      step(random, step);
    }
    for (int i = 0; i < 400; i++) {
      harness.advance(20 * MILLIS);
      expireAttempts();
      checkActions();
    }
    for (TrackedRequest tracked : requests.values()) {
      assertTrue(tracked.answered || tracked.open, "request " + tracked.request.id() + " was never answered");
    }
  }

  private void step(Random random, int step) {
    int choice = random.nextInt(100);
    if (choice < 35) {
      arrive(random, step);
    } else if (choice < 70) {
      progress(random);
    } else if (choice < 74) {
      int index = random.nextInt(8);
      ServerState state = ServerState.values()[random.nextInt(3)];
      long since = random.nextBoolean() ? harness.now : 0;
      update(new Server("s" + index, "z", "k", index % 3, state, 1, since));
    } else if (choice < 80) {
      List<TrackedRequest> open = requests.values().stream().filter(r -> r.open).toList();
      if (!open.isEmpty()) {
        TrackedRequest tracked = open.get(random.nextInt(open.size()));
        harness.balancer.onQueueingDelay(harness.now, tracked.request.id(), tracked.attempts - 1,
            random.nextInt(200) * MILLIS);
      }
    } else {
      harness.advance(random.nextInt(60) * MILLIS);
    }
    expireAttempts();
    checkActions();
  }

  private void arrive(Random random, int step) {
    TrackedRequest tracked = new TrackedRequest();
    tracked.effect = Effect.values()[random.nextInt(3)];
    String group = random.nextBoolean() ? "g" + random.nextInt(5) : null;
    String client = "c" + random.nextInt(300);
    long deadline = harness.now + 1200 * MILLIS;
    tracked.request = new Request(step, tracked.effect.name(), null, client, deadline, 0, group, false, false);
    requests.put(tracked.request.id(), tracked);
    harness.balancer.onRequest(harness.now, tracked.request);
  }

  private void progress(Random random) {
    List<TrackedRequest> inFlight = requests.values().stream().filter(r -> r.inFlight).toList();
    if (inFlight.isEmpty()) {
      return;
    }
    TrackedRequest tracked = inFlight.get(random.nextInt(inFlight.size()));
    long id = tracked.request.id();
    if (!tracked.open && random.nextInt(3) > 0) {
      tracked.open = true;
      harness.balancer.onEstablished(harness.now, id, tracked.attempts - 1, MILLIS);
      return;
    }
    Outcome[] failures = {Outcome.ERROR, Outcome.FULL, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET};
    end(tracked, tracked.open && random.nextBoolean() ? Outcome.SERVED
        : failures[random.nextInt(failures.length)]);
  }

  private void end(TrackedRequest tracked, Outcome outcome) {
    boolean closed = tracked.open;
    tracked.inFlight = false;
    tracked.open = false;
    tracked.mayHaveRun |= !outcome.neverRan;
    tracked.answered |= closed;
    harness.balancer.onAttemptEnded(harness.now, tracked.request.id(), tracked.attempts - 1, outcome, MILLIS, closed);
    checkActions();
  }

  private void expireAttempts() {
    checkActions();
    for (TrackedRequest tracked : requests.values()) {
      if (tracked.inFlight && !tracked.open && harness.now >= tracked.timeoutAt) {
        end(tracked, Outcome.TIMED_OUT);
      }
      boolean isExpired = !tracked.answered && !tracked.open && harness.now > tracked.request.deadline() + 60 * MILLIS;
      assertFalse(isExpired, "request " + tracked.request.id() + " not answered by its deadline");
    }
  }

  private void update(Server server) {
    servers.put(server.name(), server);
    harness.balancer.onServerList(harness.now, ListUpdateKind.CHANGES, List.of(server));
    coldSends.remove(server.name());
  }

  private void checkActions() {
    for (; checkedActions < harness.actions.size(); checkedActions++) {
      BalancerHarness.Action action = harness.actions.get(checkedActions);
      TrackedRequest tracked = requests.get(action.requestId());
      switch (action.kind()) {
        case "send" -> checkSend(tracked, action);
        case "refuse", "fail" -> checkAnswer(tracked, action.kind());
        case "move" -> checkMove(tracked);
        default -> { }
      }
    }
  }

  private void checkSend(TrackedRequest tracked, BalancerHarness.Action action) {
    assertFalse(tracked.answered, "rule 1: sent after the answer");
    assertTrue(harness.now < tracked.request.deadline(), "rule 1: sent after the deadline");
    assertFalse(tracked.inFlight, "rule 2: overlapping attempts");
    Server server = servers.get(action.server());
    assertEquals(ServerState.READY, server.state(), "rule 3: sent to a server that is not ready");
    if (tracked.mayHaveRun) {
      assertFalse(tracked.effect == Effect.NON_IDEMPOTENT, "rule 2: unsafe request retried");
      if (tracked.effect == Effect.DEDUPLICATED) {
        assertEquals(tracked.cell, server.cell(), "rule 2: keyed request retried outside its cell");
        assertTrue(harness.now - tracked.firstRunAt < SECOND, "rule 2: keyed request retried after its window");
      }
    } else {
      tracked.cell = server.cell();
      tracked.firstRunAt = harness.now;
    }
    if (server.startedAt() > 0 && harness.now - server.startedAt() < 9 * SECOND) {
      List<Long> times = coldSends.computeIfAbsent(action.server(), name -> new ArrayList<>());
      times.add(harness.now);
      long window = times.stream().filter(at -> harness.now - at < 3 * SECOND).count();
      // Approximates cold multiple x capacity x window: fewer than plain rotation would send here in that time.
      assertTrue(window <= 16, "rule 4: " + window + " setups on a cold server within its window");
    }
    tracked.attempts++;
    tracked.inFlight = true;
    tracked.timeoutAt = Math.min(harness.now + action.micros(), tracked.request.deadline());
  }

  private void checkAnswer(TrackedRequest tracked, String kind) {
    assertFalse(tracked.answered, "rule 1: a second answer");
    assertFalse(tracked.inFlight, "answered with an attempt in flight");
    boolean mayReject = tracked.effect == Effect.IDEMPOTENT || !tracked.mayHaveRun;
    assertTrue(kind.equals("fail") || mayReject, "rule 2: rejected a request that may have run");
    tracked.answered = true;
  }

  private void checkMove(TrackedRequest tracked) {
    assertTrue(tracked.open, "moved a request that is not established");
  }

  /** Rule 4: what forty balancers together send to a server just started stays within its warm-up budget. */
  @Test
  void manyBalancersTogetherKeepTheWarmUpBudgetOfAColdServer() {
    List<BalancerHarness> fleet = new ArrayList<>();
    for (int seed = 0; seed < 40; seed++) {
      fleet.add(BalancerHarness.withSafeRequests(seed, "a", "b", "c", "d"));
    }
    int seconds = 40;
    int startAt = 20;
    int perSecond = 2; // requests of each balancer, each finished within the second
    int[] sentToCold = new int[seconds];
    for (int second = 0; second < seconds; second++) {
      for (BalancerHarness harness : fleet) {
        if (second == startAt) {
          harness.updateServer(BalancerHarness.server("cold", ServerState.READY, harness.now));
        }
        for (int i = 0; i < perSecond; i++) {
          long id = second * 10L + i;
          sentToCold[second] += "cold".equals(harness.establish(id, "x" + id, null)) ? 1 : 0;
          harness.advance(SECOND / perSecond);
          harness.balancer.onAttemptEnded(harness.now, id, 0, Outcome.SERVED, 0, true);
        }
      }
    }
    double fullRate = 40.0 * perSecond / 4; // requests per second on each warm server
    int total = 0;
    for (int second = startAt; second < seconds - 3; second++) {
      double share = Math.min(1, 0.3 + 0.7 * (second - startAt) / 9);
      int inWindow = sentToCold[second] + sentToCold[second + 1] + sentToCold[second + 2];
      assertTrue(inWindow <= 2.5 * share * fullRate * 3, inWindow + " attempts from second " + second);
      total += sentToCold[second];
    }
    assertTrue(total > 0, "the cold server gets connections");
  }
}
