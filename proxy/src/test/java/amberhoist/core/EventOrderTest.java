package amberhoist.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.decide.Balancer.Settings;
import amberhoist.decide.Policy;
import amberhoist.metrics.Counters;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.Test;

/**
 * The core with the real decision module, for events that meet in an order that sockets produce about once in a
 * thousand days. Where the order matters, both orders are tested.
 */
public class EventOrderTest {
  /** One millisecond, in microseconds. */
  private static final long MILLIS = 1000;
  private static final long WINDOW_MICROS = 400 * MILLIS;

  private final List<String> commandLog = new ArrayList<>(); // such as "dial p0", "forward 1", "fail 7"
  private final Commands commands = new Commands() {
    private long lastConnection;

    @Override
    public long connect(long invocation, long client, String provider) {
      commandLog.add("dial " + provider);
      return provider.equals(unknownProvider) ? SlotTable.NONE : ++lastConnection;
    }

    @Override
    public boolean hasAddress(String provider) {
      return !provider.equals(unknownProvider);
    }

    @Override
    public void forwardOpenRequest(long provider, long millis) {
      commandLog.add("forward " + provider);
    }

    @Override
    public void abandon(long provider) {}

    @Override
    public void relay(long client, long provider) {
      commandLog.add("join " + client);
    }

    @Override
    public void reject(long client, long retryAfter) {
      commandLog.add("reject " + client);
    }

    @Override
    public void fail(long client) {
      commandLog.add("fail " + client);
    }

    @Override
    public boolean isHeldBack(long connection) {
      return false;
    }

    @Override
    public void move(long client, boolean atOnce) {
      commandLog.add("move " + client);
    }

    @Override
    public void watchDirectory() {}

    @Override
    public void requestLoadReport(String provider) {}

    @Override
    public void log(String message) {}
  };
  private String unknownProvider; // has no address
  private long now = 1_000_000_000;
  private final TimerWheel timerWheel = new TimerWheel(4 * MILLIS, now);
  private final Counters counters = new Counters();
  private final Core core = new Core(new Policy(), timerWheel, commands, counters,
      new Limits(250 * MILLIS, 3000 * MILLIS, Set.of(), Set.of()), Timing.DEFAULT, Telemetry.NONE);

  private void start(Effect effect, int providerCount) {
    RequestClass requestClass =
        new RequestClass("c", effect, DedupScope.ALL, 300 * MILLIS, WINDOW_MICROS, 1, 100 * MILLIS);
    List<Server> known = new ArrayList<>();
    for (int i = 0; i < providerCount; i++) {
      known.add(server(i, ServerState.READY));
    }
    core.start(now, new Settings("z", 0, 2, List.of(requestClass), false, 10_000 * MILLIS, 4, 600 * MILLIS, 0, 0, 0.3,
        9000 * MILLIS, 2.5, 3000 * MILLIS, ConnectionValue.DEFAULT, false), 7, known);
  }

  private static Server server(int index, ServerState state) {
    return new Server("p" + index, "z", "k", 0, state, 1, 0);
  }

  /** Submits a request of a client that waits for {@code waitMicros}; returns the id of its invocation. */
  private long request(long client, long waitMicros) {
    return core.onInvocation(now, client,
        new InvocationRequest("c", null, "k" + client, null, waitMicros / MILLIS, 0, false, false, null));
  }

  /** Advances the clock in ticks of 4 ms. */
  private void advance(long micros) {
    for (long end = now + micros; now < end;) {
      now = Math.min(end, now + 4 * MILLIS);
      timerWheel.advance(now);
    }
  }

  /** Number of commands whose text starts with {@code prefix}. */
  private long count(String prefix) {
    return commandLog.stream().filter(line -> line.startsWith(prefix)).count();
  }

  /** Index of the provider of the last connection attempt. */
  private int lastProvider() {
    return commandLog.stream().filter(line -> line.startsWith("dial p")).reduce((a, b) -> b)
        .map(line -> Integer.parseInt(line.substring(6))).orElseThrow();
  }

  /** Submits the request of a client that has a connection at this provider already; returns the invocation's id. */
  private long handOver(long client, String provider) {
    return core.onInvocation(now, client,
        new InvocationRequest("c", null, "k" + client, null, 99_999_999, 0, false, false, provider));
  }

  /**
   * Guards against a connection that is lost because its provider joined after the list of the configuration was
   * made: until the directory answers, such a provider has no address.
   */
  @Test
  public void handoverWaitsForTheDirectoryToTellTheAddressOfItsProvider() {
    start(Effect.IDEMPOTENT, 1);
    unknownProvider = "p7";
    long invocation = handOver(7, "p7");
    advance(10_000 * MILLIS);
    core.onDirectoryUpdate(now, ListUpdateKind.FAILED, List.of());
    advance(20_000 * MILLIS);
    assertEquals("neither the configuration nor a failed call says that it is gone", 0, count("fail 7"));
    unknownProvider = null;
    core.onDirectoryUpdate(now, ListUpdateKind.CHANGES, List.of(server(7, ServerState.READY)));
    advance(300 * MILLIS);
    core.onConnected(now, invocation, 1);
    core.onUp(now, invocation, 1);
    assertEquals(1, count("join 7"));
  }

  /** Guards against a client that waits for 40 s although the directory has said that its provider is gone. */
  @Test
  public void handoverFailsOnceTheDirectoryHasAnsweredWithoutItsProvider() {
    start(Effect.IDEMPOTENT, 1);
    unknownProvider = "p7";
    handOver(7, "p7");
    advance(5000 * MILLIS);
    core.onDirectoryUpdate(now, ListUpdateKind.CHANGES, List.of());
    advance(300 * MILLIS);
    assertEquals(1, count("fail 7"));
    handOver(8, "p7");
    advance(1900 * MILLIS);
    assertEquals("an entry may follow within 2 s", 0, count("fail 8"));
    advance(400 * MILLIS);
    assertEquals(1, count("fail 8"));
  }

  /** Guards against a handover without a provider's address that is not answered by the deadline of 40 s. */
  @Test
  public void handoverIsAnsweredAtItsDeadlineAlsoIfTheDirectoryNeverAnswers() {
    start(Effect.IDEMPOTENT, 1);
    unknownProvider = "p7";
    handOver(7, "p7");
    advance(39_900 * MILLIS);
    assertEquals(0, count("reject 7") + count("fail 7"));
    advance(200 * MILLIS);
    assertEquals("nothing has run", 1, count("reject 7"));
  }

  /**
   * Prevents an attempt from being taken for one that never ran when the connection is reset before the completion of
   * the write is reported: the line may have reached the provider long before.
   */
  @Test
  public void resetBeforeWriteCompletionDoesNotProveThatNothingRan() {
    for (boolean completionFirst : new boolean[] {true, false}) {
      EventOrderTest fixture = new EventOrderTest();
      fixture.start(Effect.NON_IDEMPOTENT, 3);
      long invocation = fixture.request(7, 2000 * MILLIS);
      fixture.core.onConnected(fixture.now, invocation, 1);
      if (completionFirst) {
        fixture.core.onOpenRequestWritten(fixture.now, invocation, 1);
      }
      fixture.core.onAttemptFailed(fixture.now, invocation, 1, Outcome.RESET);
      fixture.core.onOpenRequestWritten(fixture.now, invocation, 1);
      fixture.advance(2000 * MILLIS);
      assertEquals("one attempt", 1, fixture.count("dial"));
      assertEquals("failed, not rejected as safe to retry", 1, fixture.count("fail 7"));
    }
  }

  @Test
  public void connectionThatEndsBeforeTheLineIsForwardedIsRetriedAtOnce() {
    start(Effect.NON_IDEMPOTENT, 3);
    long invocation = request(7, 2000 * MILLIS);
    core.onAttemptFailed(now, invocation, 1, Outcome.RESET);
    assertEquals("another attempt at once", 2, count("dial"));
    core.onConnected(now, invocation, 2);
    assertEquals(1, count("forward"));
  }

  /** Both timers of an attempt may fire in the tick before the completion of the write is reported. */
  @Test
  public void timeoutsBeforeWriteCompletionDoNotProveThatNothingRan() {
    for (boolean completionFirst : new boolean[] {true, false}) {
      EventOrderTest fixture = new EventOrderTest();
      fixture.start(Effect.NON_IDEMPOTENT, 3);
      long invocation = fixture.request(7, 2000 * MILLIS);
      fixture.advance(240 * MILLIS);
      fixture.core.onConnected(fixture.now, invocation, 1);
      if (completionFirst) {
        fixture.core.onOpenRequestWritten(fixture.now, invocation, 1);
      }
      fixture.advance(20 * MILLIS); // past the connect timeout
      assertEquals("the connection is kept", 1, fixture.count("dial"));
      fixture.advance(2000 * MILLIS);
      assertEquals(1, fixture.count("dial"));
      assertEquals(0, fixture.count("reject"));
      assertEquals(1, fixture.count("fail 7"));
    }
  }

  /**
   * Prevents a line from being sent to a provider that began to drain while the connection was being made: the line
   * then arrived past a short drain limit.
   */
  @Test
  public void drainBetweenConnectAndConnectedPreventsForwarding() {
    start(Effect.IDEMPOTENT, 2);
    long invocation = request(7, 2000 * MILLIS);
    int first = lastProvider();
    core.onDirectoryUpdate(now, ListUpdateKind.CHANGES, List.of(server(first, ServerState.DRAINING)));
    core.onConnected(now, invocation, 1);
    assertEquals("nothing new to the draining provider", 0, count("forward"));
    assertEquals("the other provider is tried at once", 1 - first, lastProvider());
    core.onConnected(now, invocation, 2);
    assertEquals(List.of("forward 2"), commandLog.stream().filter(line -> line.startsWith("forward")).toList());
    core.onDirectoryUpdate(now, ListUpdateKind.CHANGES, List.of(server(1 - first, ServerState.DRAINING)));
    core.onUp(now, invocation, 2);
    assertEquals("an attempt sent before the update goes on", 1, count("join 7"));
  }

  @Test
  public void suspensionBetweenConnectAndConnectedPreventsForwarding() {
    start(Effect.IDEMPOTENT, 2);
    long invocation = request(7, 2000 * MILLIS);
    int first = lastProvider();
    core.setSuspended(now, Set.of("p" + first));
    core.onConnected(now, invocation, 1);
    assertEquals(0, count("forward"));
    assertEquals(1 - first, lastProvider());
  }

  /**
   * Prevents a retry from reaching a provider after the window in which repeats are dropped: the window must be
   * checked when the line is sent, not when the attempt is decided on.
   */
  @Test
  public void retryWhoseConnectionIsReadyAfterTheWindowIsNotSent() {
    for (boolean inWindow : new boolean[] {true, false}) {
      EventOrderTest fixture = new EventOrderTest();
      fixture.start(Effect.DEDUPLICATED, 3);
      long invocation = fixture.request(7, 2000 * MILLIS);
      fixture.core.onConnected(fixture.now, invocation, 1);
      fixture.advance(WINDOW_MICROS - 200 * MILLIS);
      fixture.core.onAttemptFailed(fixture.now, invocation, 1, Outcome.RESET);
      assertEquals("repeats are dropped by all providers", 2, fixture.count("dial"));
      fixture.advance(inWindow ? 100 * MILLIS : 180 * MILLIS); // the line would arrive a few milliseconds later still
      fixture.core.onConnected(fixture.now, invocation, 2);
      assertEquals(inWindow ? 2 : 1, fixture.count("forward"));
      fixture.advance(2000 * MILLIS);
      assertEquals("may have run, and repeats are no longer dropped", 1, fixture.count("fail 7"));
    }
  }

  /** The proxy must not close its sockets before a client has its MOVE, which may wait for lines under way. */
  @Test
  public void stopEndsOnlyAfterItsLastMoveIsSent() {
    start(Effect.IDEMPOTENT, 1);
    long invocation = request(7, 2000 * MILLIS);
    core.onConnected(now, invocation, 1);
    core.onUp(now, invocation, 1);
    long[] stoppedAt = new long[1];
    core.stop(now, false, () -> stoppedAt[0] = now);
    while (count("move 7") == 0) {
      advance(4 * MILLIS);
    }
    long movedAt = now;
    advance(500 * MILLIS);
    assertTrue(stoppedAt[0] >= movedAt + Commands.MAX_MOVE_WAIT_MICROS);
  }

  /** A client established at the last moment must not delay the end of a stop towards the time of the kill. */
  @Test
  public void stopEndsInTimeAlsoWhereAClientIsEstablishedAtItsEnd() {
    start(Effect.IDEMPOTENT, 1);
    long[] stoppedAt = new long[1];
    long begin = now;
    core.stop(now, false, () -> stoppedAt[0] = now);
    advance(400 * MILLIS);
    long invocation = request(7, 9000 * MILLIS);
    core.onConnected(now, invocation, 1);
    advance(begin + 3_120 * MILLIS - now); // the longest deadline is 3 s, the last step 130 ms later
    core.onUp(now, invocation, 1);
    advance(500 * MILLIS);
    assertEquals(1, count("move 7"));
    assertTrue("ends by 3.2 s", stoppedAt[0] > 0 && stoppedAt[0] <= begin + 3_200 * MILLIS);
  }

  /** Prevents the end of a stop from rejecting all pending invocations as if none of them could have run. */
  @Test
  public void endOfStopFailsInvocationsThatMayHaveRun() {
    start(Effect.NON_IDEMPOTENT, 9);
    long sent = request(1, 9000 * MILLIS);
    core.onConnected(now, sent, 1);
    boolean[] stopped = new boolean[1];
    core.stop(now, false, () -> stopped[0] = true);
    advance(400 * MILLIS); // new requests are still served
    long late = request(2, 9000 * MILLIS);
    core.onConnected(now, late, 2);
    advance(2700 * MILLIS);
    assertEquals("both may have run", 0, count("reject"));
    advance(200 * MILLIS);
    assertEquals(List.of("fail 1", "fail 2"),
        commandLog.stream().filter(line -> line.startsWith("fail")).sorted().toList());
    assertTrue(stopped[0]);
    assertEquals(0, core.invocationCount());
  }

  @Test
  public void endOfStopStartsNoAttemptsAndRejectsInvocationsThatNeverRan() {
    start(Effect.NON_IDEMPOTENT, 9);
    core.stop(now, false, () -> { });
    advance(430 * MILLIS);
    request(3, 9000 * MILLIS);
    int rounds = 0;
    while (count("reject 3") == 0 && rounds++ < 20) { // no connection is ever established
      advance(200 * MILLIS);
    }
    assertEquals("retried while there was time, then rejected", 1, count("reject 3"));
    long attempts = count("dial");
    advance(1000 * MILLIS);
    assertEquals(attempts, count("dial"));
    assertEquals(0, count("forward"));
    assertEquals(0, core.invocationCount());
  }

  @Test
  public void upAndDeadlineInEitherOrderGiveOneAnswer() {
    for (boolean upFirst : new boolean[] {true, false}) {
      EventOrderTest fixture = new EventOrderTest();
      fixture.start(Effect.IDEMPOTENT, 1);
      long invocation = fixture.request(7, 400 * MILLIS);
      fixture.core.onConnected(fixture.now, invocation, 1);
      fixture.advance(250 * MILLIS);
      if (upFirst) {
        fixture.core.onUp(fixture.now, invocation, 1);
      }
      fixture.advance(250 * MILLIS); // past the deadline
      fixture.core.onUp(fixture.now, invocation, 1); // again, or too late
      assertEquals("relayed or rejected, not both", upFirst ? 1 : 0, fixture.count("join 7"));
      assertEquals(upFirst ? 0 : 1, fixture.count("reject 7"));
      assertEquals(0, fixture.count("fail"));
      assertEquals("no broken invariants", 0, fixture.counters.get(Counters.Count.BROKEN_INVARIANTS));
    }
  }

  @Test
  public void upAndClientDisconnectInEitherOrderGiveNoAnswer() {
    for (boolean upFirst : new boolean[] {true, false}) {
      EventOrderTest fixture = new EventOrderTest();
      fixture.start(Effect.NON_IDEMPOTENT, 2);
      long invocation = fixture.request(7, 2000 * MILLIS);
      fixture.core.onConnected(fixture.now, invocation, 1);
      if (upFirst) {
        fixture.core.onUp(fixture.now, invocation, 1);
      }
      fixture.core.onClientDisconnected(fixture.now, invocation);
      fixture.core.onUp(fixture.now, invocation, 1);
      fixture.core.onAttemptFailed(fixture.now, invocation, 1, Outcome.RESET);
      fixture.core.onConnectionEnded(fixture.now, invocation, 1, Outcome.SERVED);
      fixture.advance(3000 * MILLIS);
      assertEquals(upFirst ? 1 : 0, fixture.count("join"));
      assertEquals("no answer to a disconnected client", 0, fixture.count("reject") + fixture.count("fail"));
      assertEquals("no further attempt for it", 1, fixture.count("dial"));
      assertEquals(0, fixture.core.invocationCount());
    }
  }
}
