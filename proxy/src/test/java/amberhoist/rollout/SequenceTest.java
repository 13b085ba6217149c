package amberhoist.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import org.junit.jupiter.api.Test;

class SequenceTest {
  private final Sequence sequence = new Sequence();

  private static Verdict take(Sequence sequence, Change change) {
    return sequence.take(change, true);
  }

  @Test
  void ofTwoChangesMadeFromOneVersionTheFirstWinsAndTheOtherIsToldAgainstWhat() {
    assertEquals(new Verdict(true, 1), take(sequence, new Change("a", 0, "one")));
    assertEquals(new Verdict(false, 1), take(sequence, new Change("b", 0, "other")));
    assertEquals("one", sequence.document());
    assertEquals(new Verdict(true, 2), take(sequence, new Change("c", 1, "two")));
  }

  @Test
  void aChangeSentAgainTakesHoldOnceAndGetsTheSameAnswer() {
    Change change = new Change("a", 0, "one");
    Verdict first = take(sequence, change);
    take(sequence, new Change("b", 1, "two"));
    assertEquals(first, take(sequence, change));
    assertEquals(2, sequence.version());
    assertEquals("two", sequence.document());
  }

  @Test
  void aChangeWhoseAnswerIsForgottenStillTakesHoldOnce() {
    for (int i = 0; i < 3000; i++) {
      assertEquals(new Verdict(true, i + 1), take(sequence, new Change("c" + i, i, "" + i)));
    }
    assertEquals(new Verdict(false, 3000), take(sequence, new Change("c0", 0, "0")));
  }

  @Test
  void aSnapshotHoldsAnswersToo() {
    take(sequence, new Change("a", 0, "\u00e9in"));
    take(sequence, new Change("b", 0, "other"));
    Sequence other = new Sequence();
    take(other, new Change("z", 0, "to be replaced"));
    other.install(sequence.snapshot());
    assertEquals(1, other.version());
    assertEquals("\u00e9in", other.document());
    assertEquals(new Verdict(true, 1), take(other, new Change("a", 0, "\u00e9in")));
    assertEquals(new Verdict(false, 1), take(other, new Change("b", 0, "other")));
    assertEquals(new Verdict(true, 2), take(other, new Change("z", 1, "new here")));
  }

  @Test
  void aChangeOutlivesItsWayThroughTheLog() {
    Change change = new Change("id", 7, "x".repeat(200_000));
    assertEquals(change, Change.of(change.bytes()));
    assertThrows(IllegalArgumentException.class, () -> new Change("", 0, ""));
    assertThrows(IllegalArgumentException.class, () -> new Change("a", -1, ""));
  }
}
