package amberhoist.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Scope;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Balancer.State;
import amberhoist.decide.Balancer.Value;
import amberhoist.decide.Policy;
import amberhoist.metrics.Counters;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.Test;

/**
 * What crosses on the way: the core with the real module, and events in an order that sockets bring about once in a
 * thousand days. Each crossing is played in both orders.
 */
public class CrossingsTest {
  private static final long MS = 1000;
  private static final long WINDOW = 400 * MS;

  private final List<String> said = new ArrayList<>(); // commands, as "dial p0", "forward 1", "fail 7"
  private final Commands commands = new Commands() {
    private long connections;

    @Override
    public long dial(long invocation, long client, String provider) {
      said.add("dial " + provider);
      return ++connections;
    }

    @Override
    public void forward(long provider, long millis) {
      said.add("forward " + provider);
    }

    @Override
    public void abandon(long provider) {}

    @Override
    public void join(long client, long provider) {
      said.add("join " + client);
    }

    @Override
    public void reject(long client, long retryAfter) {
      said.add("reject " + client);
    }

    @Override
    public void fail(long client) {
      said.add("fail " + client);
    }

    @Override
    public void move(long client) {
      said.add("move " + client);
    }

    @Override
    public void watch() {}

    @Override
    public void ask(String provider) {}

    @Override
    public void log(String message) {}
  };
  private long now = 1_000_000_000;
  private final Wheel wheel = new Wheel(4 * MS, now);
  private final Counters counters = new Counters();
  private final Core core = new Core(new Policy(), wheel, commands, counters,
      new Limits(250 * MS, 3000 * MS, Set.of(), Set.of()), Timing.DEFAULT, Telemetry.NONE);

  private void start(Effect effect, int providers) {
    RequestClass type = new RequestClass("c", effect, Scope.ALL, 300 * MS, WINDOW, 1, 100 * MS);
    List<Server> known = new ArrayList<>();
    for (int i = 0; i < providers; i++) {
      known.add(server(i, State.READY));
    }
    core.start(now, new Settings("z", 0, 2, List.of(type), false, 10_000 * MS, 4, 600 * MS, 0, 0, 0.3, 9000 * MS, 2.5,
        3000 * MS, Value.NONE, false), 7, known);
  }

  private static Server server(int number, State state) {
    return new Server("p" + number, "z", "k", 0, state, 1, 0);
  }

  /** A request of this client, which waits so long; the number of its invocation. */
  private long request(long client, long wait) {
    return core.invocation(now, client, new Arrival("c", null, "k" + client, null, wait / MS, 0, false, false, null));
  }

  /** Lets time pass, tick by tick. */
  private void pass(long micros) {
    for (long end = now + micros; now < end;) {
      now = Math.min(end, now + 4 * MS);
      wheel.advance(now);
    }
  }

  private long count(String what) {
    return said.stream().filter(line -> line.startsWith(what)).count();
  }

  /** The provider that was dialled last. */
  private int dialled() {
    return said.stream().filter(line -> line.startsWith("dial p")).reduce((a, b) -> b)
        .map(line -> Integer.parseInt(line.substring(6))).orElseThrow();
  }

  /** Failure met by reading: bytes long with the provider, and the attempt was taken for one that never ran. */
  @Test
  public void aResetAheadOfTheWritesCompletionIsNoProofThatNothingRan() {
    for (boolean completionFirst : new boolean[] {true, false}) {
      CrossingsTest world = new CrossingsTest();
      world.start(Effect.UNSAFE, 3);
      long number = world.request(7, 2000 * MS);
      world.core.connected(world.now, number, 1);
      if (completionFirst) {
        world.core.written(world.now, number, 1);
      }
      world.core.callEnded(world.now, number, 1, Outcome.RESET);
      world.core.written(world.now, number, 1);
      world.pass(2000 * MS);
      assertEquals("tried once", 1, world.count("dial"));
      assertEquals("failed, not rejected as harmless", 1, world.count("fail 7"));
    }
  }

  @Test
  public void aConnectionThatBreaksBeforeTheLineIsForwardedHarmsNobody() {
    start(Effect.UNSAFE, 3);
    long number = request(7, 2000 * MS);
    core.callEnded(now, number, 1, Outcome.RESET);
    assertEquals("another one at once", 2, count("dial"));
    core.connected(now, number, 2);
    assertEquals(1, count("forward"));
  }

  /** Both timers of an attempt may fire in the tick ahead of the completion. */
  @Test
  public void theTimersAheadOfTheWritesCompletionAreNoProofEither() {
    for (boolean completionFirst : new boolean[] {true, false}) {
      CrossingsTest world = new CrossingsTest();
      world.start(Effect.UNSAFE, 3);
      long number = world.request(7, 2000 * MS);
      world.pass(240 * MS);
      world.core.connected(world.now, number, 1);
      if (completionFirst) {
        world.core.written(world.now, number, 1);
      }
      world.pass(20 * MS); // over the time in which the connection must stand
      assertEquals("it stands", 1, world.count("dial"));
      world.pass(2000 * MS);
      assertEquals(1, world.count("dial"));
      assertEquals(0, world.count("reject"));
      assertEquals(1, world.count("fail 7"));
    }
  }

  /** Failure met by reading: a connection that comes up after the news got the line, past a short drain limit. */
  @Test
  public void newsBetweenDialAndConnectionKeepsTheLineBack() {
    start(Effect.SAFE, 2);
    long number = request(7, 2000 * MS);
    int first = dialled();
    core.directory(now, ListKind.CHANGES, List.of(server(first, State.DRAINING)));
    core.connected(now, number, 1);
    assertEquals("nothing new there", 0, count("forward"));
    assertEquals("the other one is tried at once", 1 - first, dialled());
    core.connected(now, number, 2);
    assertEquals(List.of("forward 2"), said.stream().filter(line -> line.startsWith("forward")).toList());
    core.directory(now, ListKind.CHANGES, List.of(server(1 - first, State.DRAINING)));
    core.up(now, number, 2);
    assertEquals("what was sent before the news stands", 1, count("join 7"));
  }

  @Test
  public void aProviderTakenOutBetweenDialAndConnectionGetsNoLine() {
    start(Effect.SAFE, 2);
    long number = request(7, 2000 * MS);
    int first = dialled();
    core.suspend(now, Set.of("p" + first));
    core.connected(now, number, 1);
    assertEquals(0, count("forward"));
    assertEquals(1 - first, dialled());
  }

  /** Failure met by reading: the window was looked at when an attempt was decided on, not when its line arrives. */
  @Test
  public void aRepeatWhoseConnectionComesUpAfterTheWindowIsNotSent() {
    for (boolean inTime : new boolean[] {true, false}) {
      CrossingsTest world = new CrossingsTest();
      world.start(Effect.KEYED, 3);
      long number = world.request(7, 2000 * MS);
      world.core.connected(world.now, number, 1);
      world.pass(WINDOW - 200 * MS);
      world.core.callEnded(world.now, number, 1, Outcome.RESET);
      assertEquals("repeats are dropped everywhere", 2, world.count("dial"));
      world.pass(inTime ? 100 * MS : 180 * MS); // the line would arrive some milliseconds later still
      world.core.connected(world.now, number, 2);
      assertEquals(inTime ? 2 : 1, world.count("forward"));
      world.pass(2000 * MS);
      assertEquals("it may have run, and repeats are dropped no longer", 1, world.count("fail 7"));
    }
  }

  /** Failure met by reading: at the end of a stop all that was owed was rejected, as if nothing could have run. */
  @Test
  public void theEndOfAStopRejectsOnlyWhatCannotHaveRun() {
    start(Effect.UNSAFE, 9);
    long sent = request(1, 9000 * MS);
    core.connected(now, sent, 1);
    boolean[] stopped = new boolean[1];
    core.stop(now, false, () -> stopped[0] = true);
    pass(400 * MS); // still served
    long late = request(2, 9000 * MS);
    core.connected(now, late, 2);
    pass(2700 * MS);
    assertEquals("they may have run", 0, count("reject"));
    pass(200 * MS);
    assertEquals(List.of("fail 1", "fail 2"), said.stream().filter(line -> line.startsWith("fail")).sorted().toList());
    assertTrue(stopped[0]);
    assertEquals(0, core.size());
  }

  @Test
  public void theEndOfAStopStartsNothingAndAnswersWhatNeverRan() {
    start(Effect.UNSAFE, 9);
    core.stop(now, false, () -> { });
    pass(430 * MS);
    request(3, 9000 * MS);
    int tries = 0;
    while (count("reject 3") == 0 && tries++ < 20) { // no connection ever stands
      pass(200 * MS);
    }
    assertEquals("tried anew while there was time", 1, count("reject 3"));
    long dials = count("dial");
    pass(1000 * MS);
    assertEquals(dials, count("dial"));
    assertEquals(0, count("forward"));
    assertEquals(0, core.size());
  }

  @Test
  public void upAndTheDeadlineMeetInEitherOrder() {
    for (boolean upFirst : new boolean[] {true, false}) {
      CrossingsTest world = new CrossingsTest();
      world.start(Effect.SAFE, 1);
      long number = world.request(7, 400 * MS);
      world.core.connected(world.now, number, 1);
      world.pass(250 * MS);
      if (upFirst) {
        world.core.up(world.now, number, 1);
      }
      world.pass(250 * MS); // over the deadline
      world.core.up(world.now, number, 1); // again, or too late
      assertEquals("one or the other", upFirst ? 1 : 0, world.count("join 7"));
      assertEquals(upFirst ? 0 : 1, world.count("reject 7"));
      assertEquals(0, world.count("fail"));
      assertEquals("nothing broken", 0, world.counters.get(Counters.Count.BROKEN_INVARIANTS));
    }
  }

  @Test
  public void upAndTheClientsLeaveMeetInEitherOrder() {
    for (boolean upFirst : new boolean[] {true, false}) {
      CrossingsTest world = new CrossingsTest();
      world.start(Effect.UNSAFE, 2);
      long number = world.request(7, 2000 * MS);
      world.core.connected(world.now, number, 1);
      if (upFirst) {
        world.core.up(world.now, number, 1);
      }
      world.core.clientLeft(world.now, number);
      world.core.up(world.now, number, 1);
      world.core.callEnded(world.now, number, 1, Outcome.RESET);
      world.core.ended(world.now, number, 1, Outcome.SERVED);
      world.pass(3000 * MS);
      assertEquals(upFirst ? 1 : 0, world.count("join"));
      assertEquals("nobody is there to be answered", 0, world.count("reject") + world.count("fail"));
      assertEquals("and nothing is tried for nobody", 1, world.count("dial"));
      assertEquals(0, world.core.size());
    }
  }
}
