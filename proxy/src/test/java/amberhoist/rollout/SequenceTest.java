package amberhoist.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import org.junit.jupiter.api.Test;

class SequenceTest {
  private final Sequence versions = new Sequence();

  private static Verdict take(Sequence sequence, Change change) {
    return sequence.take(change, true);
  }

  @Test
  void firstOfTwoChangesOfOneBaseIsAccepted() {
    assertEquals(new Verdict(true, 1), take(versions, new Change("a", 0, "one")));
    assertEquals(new Verdict(false, 1), take(versions, new Change("b", 0, "other")));
    assertEquals("one", versions.document());
    assertEquals(new Verdict(true, 2), take(versions, new Change("c", 1, "two")));
  }

  @Test
  void changeSentAgainGetsTheSameResult() {
    Change change = new Change("a", 0, "one");
    Verdict first = take(versions, change);
    take(versions, new Change("b", 1, "two"));
    assertEquals(first, take(versions, change));
    assertEquals(2, versions.version());
    assertEquals("two", versions.document());
  }

  @Test
  void changeWithEvictedResultIsNotAcceptedAgain() {
    for (int i = 0; i < 3000; i++) {
      assertEquals(new Verdict(true, i + 1), take(versions, new Change("c" + i, i, "" + i)));
    }
    assertEquals(new Verdict(false, 3000), take(versions, new Change("c0", 0, "0")));
  }

  @Test
  void snapshotIncludesResults() {
    take(versions, new Change("a", 0, "\u00e9in"));
    take(versions, new Change("b", 0, "other"));
    Sequence other = new Sequence();
    take(other, new Change("z", 0, "to be replaced"));
    other.install(versions.snapshot());
    assertEquals(1, other.version());
    assertEquals("\u00e9in", other.document());
    assertEquals(new Verdict(true, 1), take(other, new Change("a", 0, "\u00e9in")));
    assertEquals(new Verdict(false, 1), take(other, new Change("b", 0, "other")));
    assertEquals(new Verdict(true, 2), take(other, new Change("z", 1, "new here")));
  }

  @Test
  void changeRoundTripsThroughBytes() {
    Change change = new Change("id", 7, "x".repeat(200_000));
    assertEquals(change, Change.of(change.bytes()));
    assertThrows(IllegalArgumentException.class, () -> new Change("", 0, ""));
    assertThrows(IllegalArgumentException.class, () -> new Change("a", -1, ""));
  }
}
