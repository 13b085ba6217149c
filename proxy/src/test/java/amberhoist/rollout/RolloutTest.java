package amberhoist.rollout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.rollout.Leases.Granter;
import amberhoist.rollout.Leases.Holder;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RolloutTest {
  private static final long S = 1_000_000;
  private static final List<String> ALL = List.of("a", "b", "c");

  private final Rollout rollout = new Rollout(new Sequence());

  private Verdict propose(String id, long base) {
    return rollout.take(Rollout.propose(new Change(id, base, "by " + id)));
  }

  @Test
  void aChangeIsInForceOnlyOnceItIsConcluded() {
    assertEquals(new Verdict(true, 1), propose("x", 0));
    assertTrue(rollout.pending());
    assertEquals(0, rollout.inForce());
    rollout.take(Rollout.prepared("a", 1));
    assertEquals(Set.of("a"), rollout.prepared());
    rollout.take(Rollout.conclude(1, true));
    assertEquals(1, rollout.inForce());
    assertEquals("by x", rollout.document());
    assertFalse(rollout.pending());
    assertEquals(Set.of(), rollout.prepared());
  }

  @Test
  void whatIsWithdrawnLeavesWhatWasInForceAndIsNeverTakenUpAgain() {
    propose("x", 0);
    rollout.take(Rollout.conclude(1, true));
    propose("y", 1);
    rollout.take(Rollout.conclude(2, false));
    rollout.take(Rollout.conclude(2, true)); // of several conclusions the first counts
    assertEquals(1, rollout.inForce());
    assertEquals("by x", rollout.document());
    assertEquals(2, rollout.latest());
    assertEquals(new Verdict(true, 3), propose("z", 2));
  }

  @Test
  void oneChangeIsUnderWayAtATime() {
    propose("x", 0);
    assertEquals(new Verdict(false, 1), propose("y", 1));
    assertEquals(new Verdict(true, 1), propose("x", 0), "the same answer when it is sent again");
    rollout.take(Rollout.prepared("a", 7));
    assertEquals(Set.of(), rollout.prepared(), "of another version");
  }

  @Test
  void aSnapshotHoldsTheStepsToo() {
    propose("x", 0);
    rollout.take(Rollout.conclude(1, true));
    propose("y", 1);
    rollout.take(Rollout.prepared("b", 2));
    Rollout other = new Rollout(new Sequence());
    other.install(rollout.snapshot());
    assertEquals(1, other.inForce());
    assertEquals("by x", other.document());
    assertEquals(2, other.latest());
    assertTrue(other.pending());
    assertEquals(Set.of("b"), other.prepared());
    assertArrayEquals(rollout.snapshot(), other.snapshot());
  }

  @Test
  void aMemberDecidesOnlyUnderALeaseWithTheLogKnownAndNothingUnderWay() {
    Holder holder = new Holder();
    assertEquals(-1, holder.decides(0, 9, rollout), "never had one");
    holder.granted(10 * S, 5);
    assertEquals(-1, holder.decides(10 * S, 4, rollout), "the log is not known up to the lease");
    assertEquals(0, holder.decides(10 * S, 5, rollout));
    long end = 10 * S + (long) (Leases.LENGTH * (1 - Leases.DRIFT));
    assertEquals(0, holder.decides(end - 1, 5, rollout));
    assertEquals(-1, holder.decides(end, 5, rollout));
    holder.granted(9 * S, 5);
    assertEquals(-1, holder.decides(end, 5, rollout), "an older lease that comes late changes nothing");
    propose("x", 0);
    assertEquals(-1, holder.decides(10 * S, 5, rollout), "a change is under way");
  }

  @Test
  void aChangeWaitsForWhoMayHoldALeaseAndForNobodyElse() {
    Granter granter = new Granter(0);
    long before = (long) (Leases.LENGTH * (1 + Leases.DRIFT)); // what the leader before may have granted
    propose("x", 0);
    assertNull(granter.conclude(before, ALL, rollout), "the leader before may have granted leases");
    assertTrue(granter.grants("c", before, rollout));
    assertNull(granter.conclude(2 * before, ALL, rollout), "c may hold one still");
    assertArrayEquals(Rollout.conclude(1, true), granter.conclude(2 * before + 1, ALL, rollout));
    assertFalse(granter.grants("c", 2 * before + 1, rollout), "it would decide by the version before");
    rollout.take(Rollout.prepared("c", 1));
    assertTrue(granter.grants("c", 2 * before + 1, rollout));
  }

  @Test
  void aChangeThatAllHavePreparedWaitsForNothing() {
    Granter granter = new Granter(0);
    ALL.forEach(each -> granter.grants(each, S, rollout));
    propose("x", 0);
    rollout.take(Rollout.prepared("a", 1));
    rollout.take(Rollout.prepared("b", 1));
    assertNull(granter.conclude(S, ALL, rollout));
    rollout.take(Rollout.prepared("c", 1));
    assertArrayEquals(Rollout.conclude(1, true), granter.conclude(S, ALL, rollout));
  }

  @Test
  void aChangeThatAMemberHoldsUpIsWithdrawnAtItsDeadline() {
    Granter granter = new Granter(0);
    propose("x", 0);
    assertNull(granter.conclude(0, ALL, rollout));
    for (long now = 0; now <= Leases.DEADLINE; now += S) {
      granter.grants("b", now, rollout); // it renews its lease, and never prepares
      assertNull(granter.conclude(now, ALL, rollout), "at " + now);
    }
    granter.grants("b", Leases.DEADLINE + 1, rollout);
    assertArrayEquals(Rollout.conclude(1, false), granter.conclude(Leases.DEADLINE + 1, ALL, rollout));
  }
}
