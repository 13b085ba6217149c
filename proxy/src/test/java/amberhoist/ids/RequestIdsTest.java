package amberhoist.ids;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.ids.IdTable.Key;
import amberhoist.ids.RequestIds.Admission;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Two processes of one proxy that share a table of ids: no id may run twice, and one that has not run is free. */
class RequestIdsTest {
  private static final long SECOND = 1_000_000;

  /** Slots that can run an action of the other process before an operation of this one. */
  private static final class SharedSlots implements IdTable.Slots {
    final Map<Integer, Long> values = new HashMap<>();
    Runnable crossing = () -> { };
    int operationsBeforeCrossing = -1;

    private void step() {
      if (operationsBeforeCrossing-- == 0) {
        crossing.run();
      }
    }

    @Override
    public long get(int slot) {
      step();
      return values.getOrDefault(slot, 0L);
    }

    @Override
    public boolean compareAndSet(int slot, long expected, long value) {
      step();
      if (values.getOrDefault(slot, 0L) != expected) {
        return false;
      }
      values.put(slot, value);
      return true;
    }
  }

  private final SharedSlots slots = new SharedSlots();
  private final RequestIds first = new RequestIds(new IdTable(slots));
  private final RequestIds second = new RequestIds(new IdTable(slots));
  private long now = 5 * SECOND;

  private Admission begin(RequestIds process, String id, long connectionId) {
    return process.begin(id, connectionId, false, now);
  }

  @Test
  void anIdThatMayHaveRunIsRefusedByBothProcesses() {
    assertEquals(Admission.GRANTED, begin(first, "a", 1));
    assertEquals(Admission.IN_USE, begin(first, "a", 2));
    assertEquals(Admission.USED, begin(second, "a", 1), "still open in the first process");
    first.onForwarded("a");
    first.end("a", 1, now);
    assertEquals(Admission.USED, begin(first, "a", 3));
    assertEquals(Admission.USED, begin(second, "a", 3));
    now += IdTable.RETENTION_MICROS - SECOND / 10;
    assertEquals(Admission.USED, begin(second, "a", 4));
    now += SECOND / 5;
    assertEquals(Admission.GRANTED, begin(second, "a", 5), "no client waits that long");
  }

  @Test
  void theRetentionCountsFromTheEndOfTheConnection() {
    begin(first, "a", 1);
    first.onForwarded("a");
    now += 10 * IdTable.RETENTION_MICROS;
    first.end("a", 1, now);
    now += IdTable.RETENTION_MICROS / 2;
    assertEquals(Admission.USED, begin(second, "a", 2));
  }

  @Test
  void anIdThatHasNotRunIsFreeAgain() {
    begin(first, "never forwarded", 1);
    first.end("never forwarded", 1, now);
    assertEquals(Admission.GRANTED, begin(second, "never forwarded", 2));
    begin(first, "turned away", 1);
    for (int i = 0; i < 3; i++) {
      first.onForwarded("turned away");
      first.onTurnedAway("turned away");
    }
    first.end("turned away", 1, now);
    assertEquals(Admission.GRANTED, begin(second, "turned away", 2));
    begin(first, "timed out, then turned away", 1);
    first.onForwarded("timed out, then turned away");
    first.onForwarded("timed out, then turned away");
    first.onTurnedAway("timed out, then turned away");
    first.end("timed out, then turned away", 1, now);
    assertEquals(Admission.USED, begin(second, "timed out, then turned away", 2));
  }

  /** A connection is released when it is being ended and once more when it is closed. */
  @Test
  void theLateEndOfAConnectionLeavesTheIdToTheNextOne() {
    begin(first, "a", 1);
    first.end("a", 1, now);
    assertEquals(Admission.GRANTED, begin(first, "a", 2));
    first.end("a", 1, now);
    assertEquals(Admission.IN_USE, begin(first, "a", 3));
  }

  @Test
  void aConnectionThatWasOpenBeforeMayComeAgain() {
    for (int i = 0; i < 2; i++) {
      assertEquals(Admission.GRANTED, first.begin("a", i, true, now));
      assertEquals(Admission.IN_USE, first.begin("a", 7, true, now));
      first.onForwarded("a");
      first.end("a", i, now);
    }
  }

  /** The other process claims the same id before each single step of this one's claim. */
  @Test
  void ofTwoProcessesThatClaimAnIdAtTheSameTimeAtMostOneGetsIt() {
    int claimsOfTheOther = 0;
    for (int step = 0; step < 30; step++) {
      String id = "id" + step;
      boolean[] other = new boolean[1];
      slots.crossing = () -> other[0] = new IdTable(slots).claim(Key.of(id), now);
      slots.operationsBeforeCrossing = step;
      boolean own = new IdTable(slots).claim(Key.of(id), now);
      assertFalse(own && other[0], "both, step " + step);
      slots.operationsBeforeCrossing = -1;
      claimsOfTheOther += other[0] ? 1 : 0;
    }
    assertNotEquals(0, claimsOfTheOther);
  }

  @Test
  void aFullTableDropsTheOldestClaimsAndFindsTheOthers() {
    IdTable table = IdTable.unshared();
    Random random = new Random(1);
    long perSecond = 500;
    int refused = 0;
    for (int i = 0; i < 200_000; i++) {
      now += SECOND / perSecond;
      refused += table.claim(Key.of("id" + i), now) ? 0 : 1;
      int recent = Math.max(0, i - random.nextInt(10 * (int) perSecond));
      assertFalse(table.claim(Key.of("id" + recent), now), "claimed within 10 s");
    }
    assertEquals(0, refused, "a new id is never taken for another one");
  }

  @Test
  void anEntryLeftFromAnotherBootIsIgnored() {
    assertTrue(new IdTable(slots).claim(Key.of("a"), 3_600 * SECOND));
    assertTrue(new IdTable(slots).claim(Key.of("a"), 10 * SECOND), "the clock has started anew");
  }
}
