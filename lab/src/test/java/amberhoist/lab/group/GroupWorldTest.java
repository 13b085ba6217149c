package amberhoist.lab.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class GroupWorldTest {
  private static List<GroupWorld.Outcome> play(int members, int runs, GroupMutant mutant) {
    return LongStream.rangeClosed(1, runs).parallel()
        .mapToObj(seed -> new GroupWorld(members, 30, seed, mutant, false).run()).toList();
  }

  @Test
  void noRuleBreaksUnderFaults() {
    for (int members : new int[] {3, 5, 7}) {
      for (GroupWorld.Outcome outcome : play(members, 250, GroupMutant.NONE)) {
        assertEquals(List.of(), outcome.violations(), members + " members");
      }
    }
  }

  /** A follower with entries behind its latest snapshot; a member with the longest log and the lowest term. */
  @Test
  void whatTheLibraryGotStuckInIsGotOutOf() {
    for (long seed : new long[] {82, 2187}) {
      assertEquals(List.of(), new GroupWorld(3, 30, seed, GroupMutant.NONE, false).run().violations(), "seed " + seed);
    }
  }

  @Test
  void runsAreWorthJudging() {
    List<GroupWorld.Outcome> outcomes = play(5, 50, GroupMutant.NONE);
    assertTrue(outcomes.stream().mapToInt(outcome -> outcome.waits().size()).sum() > 200, "changes come in force");
    assertTrue(outcomes.stream().mapToLong(GroupWorld.Outcome::crashes).sum() > 500, "members crash");
    assertTrue(outcomes.stream().mapToLong(GroupWorld.Outcome::cuts).sum() > 500, "links are cut");
  }

  @Test
  void eachDefectIsSeen() {
    for (GroupMutant mutant : GroupMutant.values()) {
      boolean seen = play(3, 40, mutant).stream().anyMatch(outcome -> !outcome.violations().isEmpty());
      assertEquals(mutant != GroupMutant.NONE, seen, mutant.name());
    }
  }

  @Test
  void oneSeedIsOneRun() {
    assertEquals(new GroupWorld(5, 20, 9, GroupMutant.NONE, false).run(),
        new GroupWorld(5, 20, 9, GroupMutant.NONE, false).run());
  }
}
