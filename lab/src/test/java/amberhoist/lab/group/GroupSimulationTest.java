package amberhoist.lab.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class GroupSimulationTest {
  private static List<GroupSimulation.Outcome> run(int members, int runs, GroupMutant mutant) {
    return LongStream.rangeClosed(1, runs).parallel()
        .mapToObj(seed -> new GroupSimulation(members, 30, seed, mutant, false).run()).toList();
  }

  @Test
  void noRuleIsViolatedUnderFaults() {
    for (int members : new int[] {3, 5, 7}) {
      for (GroupSimulation.Outcome outcome : run(members, 250, GroupMutant.NONE)) {
        assertEquals(List.of(), outcome.violations(), members + " members");
      }
    }
  }

  /**
   * The Raft library alone makes no progress in two cases: a follower has entries that follow right after its latest
   * snapshot, or the member with the longest log has the lowest term.
   */
  @Test
  void membersRecoverWhereTheRaftLibraryGetsStuck() {
    for (long seed : new long[] {82, 2187}) {
      assertEquals(List.of(), new GroupSimulation(3, 30, seed, GroupMutant.NONE, false).run().violations(),
          "seed " + seed);
    }
  }

  @Test
  void runsIncludeChangesCrashesAndCutLinks() {
    List<GroupSimulation.Outcome> outcomes = run(5, 50, GroupMutant.NONE);
    assertTrue(outcomes.stream().mapToInt(outcome -> outcome.activationDelaysMicros().size()).sum() > 200,
        "too few changes in force");
    assertTrue(outcomes.stream().mapToLong(GroupSimulation.Outcome::crashCount).sum() > 500, "too few crashes");
    assertTrue(outcomes.stream().mapToLong(GroupSimulation.Outcome::linkCutCount).sum() > 500, "too few links cut");
  }

  @Test
  void eachMutantIsDetected() {
    for (GroupMutant mutant : GroupMutant.values()) {
      boolean detected = run(3, 40, mutant).stream().anyMatch(outcome -> !outcome.violations().isEmpty());
      assertEquals(mutant != GroupMutant.NONE, detected, mutant.name());
    }
  }

  @Test
  void sameSeedReproducesTheRun() {
    assertEquals(new GroupSimulation(5, 20, 9, GroupMutant.NONE, false).run(),
        new GroupSimulation(5, 20, 9, GroupMutant.NONE, false).run());
  }
}
