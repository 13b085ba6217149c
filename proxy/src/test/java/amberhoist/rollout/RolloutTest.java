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
  private static final long SECOND_MICROS = 1_000_000;
  private static final List<String> MEMBERS = List.of("a", "b", "c");

  private final Rollout rollout = new Rollout(new Sequence());

  private Verdict propose(String id, long base) {
    return rollout.take(Rollout.propose(new Change(id, base, "by " + id)));
  }

  @Test
  void changeComesIntoForceWhenConcluded() {
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
  void withdrawnChangeNeverComesIntoForce() {
    propose("x", 0);
    rollout.take(Rollout.conclude(1, true));
    propose("y", 1);
    rollout.take(Rollout.conclude(2, false));
    rollout.take(Rollout.conclude(2, true)); // only the first of several conclusions counts
    assertEquals(1, rollout.inForce());
    assertEquals("by x", rollout.document());
    assertEquals(2, rollout.latest());
    assertEquals(new Verdict(true, 3), propose("z", 2));
  }

  @Test
  void rejectsChangeWhileAnotherIsPending() {
    propose("x", 0);
    assertEquals(new Verdict(false, 1), propose("y", 1));
    assertEquals(new Verdict(true, 1), propose("x", 0), "the same result when it is sent again");
    rollout.take(Rollout.prepared("a", 7));
    assertEquals(Set.of(), rollout.prepared(), "not for the pending version");
  }

  @Test
  void snapshotIncludesPendingChange() {
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
  void versionIsUsableOnlyWithLeaseAndNoPendingChange() {
    Holder holder = new Holder();
    assertEquals(-1, holder.decides(0, 9, rollout), "no lease granted");
    holder.granted(10 * SECOND_MICROS, 5);
    assertEquals(-1, holder.decides(10 * SECOND_MICROS, 4, rollout), "the log is not applied up to the lease's index");
    assertEquals(0, holder.decides(10 * SECOND_MICROS, 5, rollout));
    long end = 10 * SECOND_MICROS + (long) (Leases.LENGTH * (1 - Leases.DRIFT));
    assertEquals(0, holder.decides(end - 1, 5, rollout));
    assertEquals(-1, holder.decides(end, 5, rollout));
    holder.granted(9 * SECOND_MICROS, 5);
    assertEquals(-1, holder.decides(end, 5, rollout), "an older grant that arrives late changes nothing");
    propose("x", 0);
    assertEquals(-1, holder.decides(10 * SECOND_MICROS, 5, rollout), "a change is pending");
  }

  @Test
  void changeWaitsForUnpreparedMembersWithLeases() {
    Granter granter = new Granter(0);
    long before = (long) (Leases.LENGTH * (1 + Leases.DRIFT)); // of leases that the leader before may have granted
    propose("x", 0);
    assertNull(granter.conclude(before, MEMBERS, rollout), "leases of the leader before may still be valid");
    assertTrue(granter.grants("c", before, rollout));
    assertNull(granter.conclude(2 * before, MEMBERS, rollout), "the lease of c may still be valid");
    assertArrayEquals(Rollout.conclude(1, true), granter.conclude(2 * before + 1, MEMBERS, rollout));
    assertFalse(granter.grants("c", 2 * before + 1, rollout), "c would use the version before");
    rollout.take(Rollout.prepared("c", 1));
    assertTrue(granter.grants("c", 2 * before + 1, rollout));
  }

  @Test
  void changeConcludesAtOnceWhenAllHavePrepared() {
    Granter granter = new Granter(0);
    MEMBERS.forEach(each -> granter.grants(each, SECOND_MICROS, rollout));
    propose("x", 0);
    rollout.take(Rollout.prepared("a", 1));
    rollout.take(Rollout.prepared("b", 1));
    assertNull(granter.conclude(SECOND_MICROS, MEMBERS, rollout));
    rollout.take(Rollout.prepared("c", 1));
    assertArrayEquals(Rollout.conclude(1, true), granter.conclude(SECOND_MICROS, MEMBERS, rollout));
  }

  @Test
  void changeIsWithdrawnAfterTimeout() {
    Granter granter = new Granter(0);
    propose("x", 0);
    assertNull(granter.conclude(0, MEMBERS, rollout));
    for (long now = 0; now <= Leases.DEADLINE; now += SECOND_MICROS) {
      granter.grants("b", now, rollout); // renews its lease but never prepares the change
      assertNull(granter.conclude(now, MEMBERS, rollout), "at " + now);
    }
    granter.grants("b", Leases.DEADLINE + 1, rollout);
    assertArrayEquals(Rollout.conclude(1, false), granter.conclude(Leases.DEADLINE + 1, MEMBERS, rollout));
  }
}
