package amberhoist.rollout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.rollout.Leases.LeaderLeases;
import amberhoist.rollout.Leases.MemberLease;
import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RolloutTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final List<String> MEMBERS = List.of("a", "b", "c");

  private final Rollout rollout = new Rollout(new PolicyVersions());

  private ChangeResult propose(String id, long base) {
    return rollout.apply(Rollout.proposeCommand(new PolicyChange(id, base, "by " + id)));
  }

  @Test
  void changeComesIntoForceWhenConcluded() {
    assertEquals(new ChangeResult(true, 1), propose("x", 0));
    assertTrue(rollout.isPending());
    assertEquals(0, rollout.inForceVersion());
    rollout.apply(Rollout.prepared("a", 1));
    assertEquals(Set.of("a"), rollout.prepared());
    rollout.apply(Rollout.concludeCommand(1, true));
    assertEquals(1, rollout.inForceVersion());
    assertEquals("by x", rollout.inForceDocument());
    assertFalse(rollout.isPending());
    assertEquals(Set.of(), rollout.prepared());
  }

  @Test
  void withdrawnChangeNeverComesIntoForce() {
    propose("x", 0);
    rollout.apply(Rollout.concludeCommand(1, true));
    propose("y", 1);
    rollout.apply(Rollout.concludeCommand(2, false));
    rollout.apply(Rollout.concludeCommand(2, true)); // only the first of several conclusions counts
    assertEquals(1, rollout.inForceVersion());
    assertEquals("by x", rollout.inForceDocument());
    assertEquals(2, rollout.latestVersion());
    assertEquals(new ChangeResult(true, 3), propose("z", 2));
  }

  @Test
  void rejectsChangeWhileAnotherIsPending() {
    propose("x", 0);
    assertEquals(new ChangeResult(false, 1), propose("y", 1));
    assertEquals(new ChangeResult(true, 1), propose("x", 0), "the same result when it is sent again");
    rollout.apply(Rollout.prepared("a", 7));
    assertEquals(Set.of(), rollout.prepared(), "not for the pending version");
  }

  @Test
  void snapshotIncludesPendingChange() {
    propose("x", 0);
    rollout.apply(Rollout.concludeCommand(1, true));
    propose("y", 1);
    rollout.apply(Rollout.prepared("b", 2));
    Rollout other = new Rollout(new PolicyVersions());
    other.installSnapshot(rollout.snapshot());
    assertEquals(1, other.inForceVersion());
    assertEquals("by x", other.inForceDocument());
    assertEquals(2, other.latestVersion());
    assertTrue(other.isPending());
    assertEquals(Set.of("b"), other.prepared());
    assertArrayEquals(rollout.snapshot(), other.snapshot());
  }

  @Test
  void versionIsUsableOnlyWithLeaseAndNoPendingChange() {
    MemberLease lease = new MemberLease();
    assertEquals(-1, lease.usableVersion(0, 9, rollout), "no lease granted");
    lease.onGranted(10 * SECOND_MICROS, 5);
    assertEquals(-1, lease.usableVersion(10 * SECOND_MICROS, 4, rollout),
        "the log is not applied up to the lease's index");
    assertEquals(0, lease.usableVersion(10 * SECOND_MICROS, 5, rollout));
    long end = 10 * SECOND_MICROS + (long) (Leases.DURATION_MICROS * (1 - Leases.MAX_CLOCK_DRIFT));
    assertEquals(0, lease.usableVersion(end - 1, 5, rollout));
    assertEquals(-1, lease.usableVersion(end, 5, rollout));
    lease.onGranted(9 * SECOND_MICROS, 5);
    assertEquals(-1, lease.usableVersion(end, 5, rollout), "an older grant that arrives late changes nothing");
    propose("x", 0);
    assertEquals(-1, lease.usableVersion(10 * SECOND_MICROS, 5, rollout), "a change is pending");
  }

  @Test
  void changeWaitsForUnpreparedMembersWithLeases() {
    LeaderLeases leases = new LeaderLeases(0);
    // the longest time that a lease may last
    long maxLeaseMicros = (long) (Leases.DURATION_MICROS * (1 + Leases.MAX_CLOCK_DRIFT));
    propose("x", 0);
    assertNull(leases.conclusionCommand(maxLeaseMicros, MEMBERS, rollout),
        "leases of the former leader may still be valid");
    assertTrue(leases.tryGrant("c", maxLeaseMicros, rollout));
    assertNull(leases.conclusionCommand(2 * maxLeaseMicros, MEMBERS, rollout), "the lease of c may still be valid");
    assertArrayEquals(Rollout.concludeCommand(1, true),
        leases.conclusionCommand(2 * maxLeaseMicros + 1, MEMBERS, rollout));
    assertFalse(leases.tryGrant("c", 2 * maxLeaseMicros + 1, rollout), "c would use the previous version");
    rollout.apply(Rollout.prepared("c", 1));
    assertTrue(leases.tryGrant("c", 2 * maxLeaseMicros + 1, rollout));
  }

  @Test
  void changeConcludesAtOnceWhenAllHavePrepared() {
    LeaderLeases leases = new LeaderLeases(0);
    MEMBERS.forEach(each -> leases.tryGrant(each, SECOND_MICROS, rollout));
    propose("x", 0);
    rollout.apply(Rollout.prepared("a", 1));
    rollout.apply(Rollout.prepared("b", 1));
    assertNull(leases.conclusionCommand(SECOND_MICROS, MEMBERS, rollout));
    rollout.apply(Rollout.prepared("c", 1));
    assertArrayEquals(Rollout.concludeCommand(1, true), leases.conclusionCommand(SECOND_MICROS, MEMBERS, rollout));
  }

  @Test
  void changeIsWithdrawnAfterTimeout() {
    LeaderLeases leases = new LeaderLeases(0);
    propose("x", 0);
    assertNull(leases.conclusionCommand(0, MEMBERS, rollout));
    for (long now = 0; now <= Leases.CHANGE_TIMEOUT_MICROS; now += SECOND_MICROS) {
      leases.tryGrant("b", now, rollout); // it renews its lease but never prepares the change
      assertNull(leases.conclusionCommand(now, MEMBERS, rollout), "at " + now);
    }
    leases.tryGrant("b", Leases.CHANGE_TIMEOUT_MICROS + 1, rollout);
    assertArrayEquals(Rollout.concludeCommand(1, false),
        leases.conclusionCommand(Leases.CHANGE_TIMEOUT_MICROS + 1, MEMBERS, rollout));
  }
}
