package amberhoist.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import org.junit.jupiter.api.Test;

class PolicyVersionsTest {
  private final PolicyVersions versions = new PolicyVersions();

  private static ChangeResult apply(PolicyVersions target, PolicyChange change) {
    return target.apply(change, true);
  }

  @Test
  void firstOfTwoChangesOfOneBaseIsAccepted() {
    assertEquals(new ChangeResult(true, 1), apply(versions, new PolicyChange("a", 0, "one")));
    assertEquals(new ChangeResult(false, 1), apply(versions, new PolicyChange("b", 0, "other")));
    assertEquals("one", versions.document());
    assertEquals(new ChangeResult(true, 2), apply(versions, new PolicyChange("c", 1, "two")));
  }

  @Test
  void changeSentAgainGetsTheSameResult() {
    PolicyChange change = new PolicyChange("a", 0, "one");
    ChangeResult first = apply(versions, change);
    apply(versions, new PolicyChange("b", 1, "two"));
    assertEquals(first, apply(versions, change));
    assertEquals(2, versions.version());
    assertEquals("two", versions.document());
  }

  @Test
  void changeWithEvictedResultIsNotAcceptedAgain() {
    for (int i = 0; i < 3000; i++) {
      assertEquals(new ChangeResult(true, i + 1), apply(versions, new PolicyChange("c" + i, i, "" + i)));
    }
    assertEquals(new ChangeResult(false, 3000), apply(versions, new PolicyChange("c0", 0, "0")));
  }

  @Test
  void snapshotIncludesResults() {
    apply(versions, new PolicyChange("a", 0, "\u00e9in"));
    apply(versions, new PolicyChange("b", 0, "other"));
    PolicyVersions other = new PolicyVersions();
    apply(other, new PolicyChange("z", 0, "to be replaced"));
    other.installSnapshot(versions.snapshot());
    assertEquals(1, other.version());
    assertEquals("\u00e9in", other.document());
    assertEquals(new ChangeResult(true, 1), apply(other, new PolicyChange("a", 0, "\u00e9in")));
    assertEquals(new ChangeResult(false, 1), apply(other, new PolicyChange("b", 0, "other")));
    assertEquals(new ChangeResult(true, 2), apply(other, new PolicyChange("z", 1, "new here")));
  }

  @Test
  void changeRoundTripsThroughBytes() {
    PolicyChange change = new PolicyChange("id", 7, "x".repeat(200_000));
    assertEquals(change, PolicyChange.decode(change.encode()));
    assertThrows(IllegalArgumentException.class, () -> new PolicyChange("", 0, ""));
    assertThrows(IllegalArgumentException.class, () -> new PolicyChange("a", -1, ""));
  }
}
