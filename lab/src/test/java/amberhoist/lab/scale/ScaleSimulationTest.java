package amberhoist.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ScaleSimulationTest {
  /** One millisecond, in microseconds. */
  private static final long MILLISECOND = 1_000;
  /** One second, in microseconds. */
  private static final long SECOND = 1_000_000;
  private static final int REGIONS = 3;

  private static ScaleSettings settings(long seed, ScaleFaults faults, ScaleMutant mutant, int changesPerDay) {
    return new ScaleSettings(60, 5, 3, REGIONS, 6, changesPerDay, 0, 60, 4096, seed, faults, mutant);
  }

  private static ScaleSimulation harshSimulation(long seed, ScaleMutant mutant) {
    return new ScaleSimulation(settings(seed, ScaleFaults.HARSH, mutant, 40_000));
  }

  /** A simulation without faults, and without changes other than those of the test. */
  private static ScaleSimulation faultFreeSimulation() {
    return new ScaleSimulation(settings(1, ScaleFaults.NONE, ScaleMutant.NONE, 0));
  }

  private static void assertNoViolations(ScaleOutcome outcome) {
    assertEquals(List.of(), outcome.violations());
  }

  private static ControllerMachine leader(ScaleSimulation simulation) {
    return simulation.controllers().stream().filter(ControllerMachine::isLeader).findFirst().orElseThrow();
  }

  @Test
  void noRuleIsViolatedUnderFaults() {
    List<ScaleOutcome> outcomes = LongStream.rangeClosed(1, 16).parallel()
        .mapToObj(seed -> harshSimulation(seed, ScaleMutant.NONE).run()).toList();
    outcomes.forEach(ScaleSimulationTest::assertNoViolations);
    int changes = outcomes.stream().mapToInt(outcome -> outcome.figures().get("changes").intValue()).sum();
    int faults = outcomes.stream().mapToInt(outcome -> outcome.figures().get("controller_faults").intValue()).sum();
    assertTrue(changes > 200 && faults > 200, changes + " changes, " + faults + " controller faults");
  }

  @Test
  void eachMutantIsDetected() {
    for (ScaleMutant mutant : ScaleMutant.values()) {
      boolean detected = LongStream.rangeClosed(1, 40)
          .anyMatch(seed -> !harshSimulation(seed, mutant).run().violations().isEmpty());
      assertEquals(mutant != ScaleMutant.NONE, detected, mutant.name());
    }
  }

  @Test
  void sameSeedReproducesTheFigures() {
    assertEquals(harshSimulation(9, ScaleMutant.NONE).run().reproducibleFigures(),
        harshSimulation(9, ScaleMutant.NONE).run().reproducibleFigures());
  }

  @Test
  void withoutFaultsAChangeIsInForceWithin1500Millis() {
    ScaleOutcome outcome = new ScaleSimulation(settings(3, ScaleFaults.NONE, ScaleMutant.NONE, 20_000)).run();
    assertNoViolations(outcome);
    assertTrue(outcome.figures().get("changes").intValue() > 5);
    assertTrue(outcome.figures().get("in_force_max_ms").intValue() <= 1500, outcome.figures().toString());
    assertEquals(0, outcome.figures().get("not_in_force"));
  }

  @Test
  void changeComesIntoForceIfTheLeaderCrashesAtAnyStep() {
    List<ScaleOutcome> outcomes = LongStream.rangeClosed(0, 20).parallel().mapToObj(step -> {
      ScaleSimulation simulation = faultFreeSimulation();
      simulation.schedule(SECOND, () -> {
        ControllerMachine firstLeader = leader(simulation);
        simulation.requestChange();
        simulation.schedule(SECOND + step * 25 * MILLISECOND, () -> firstLeader.crash(step % 2 * 3 * SECOND));
      });
      return simulation.run();
    }).toList();
    outcomes.forEach(outcome -> {
      assertNoViolations(outcome);
      assertEquals(0, outcome.figures().get("changes_withdrawn"), "the change was withdrawn");
    });
  }

  @Test
  void distributorSuspendedBeyondItsLeaseViolatesNoRule() {
    ScaleSimulation simulation = faultFreeSimulation();
    for (int round = 0; round < 8; round++) {
      ControllerMachine controller = simulation.controllers().get(round % 5);
      simulation.schedule((2 + 5 * round) * SECOND, () -> {
        if (!controller.isLeader()) {
          controller.pause(3 * SECOND);
        }
      });
      simulation.schedule((2 + 5 * round) * SECOND + 100 * MILLISECOND, simulation::requestChange);
    }
    ScaleOutcome outcome = simulation.run();
    assertNoViolations(outcome);
    assertEquals(0, outcome.figures().get("not_in_force"));
  }

  @Test
  void isolatedRegionStopsDecidingWhileOthersApplyChanges() {
    ScaleSimulation simulation = faultFreeSimulation();
    List<Long> cutOff = new ArrayList<>();
    List<Long> connected = new ArrayList<>();
    simulation.schedule(5 * SECOND, () -> {
      simulation.network().cutRegion(1, Long.MAX_VALUE);
      simulation.proxies().stream().filter(proxy -> proxy.zone() % REGIONS == 1)
          .forEach(proxy -> proxy.onRegionCutOff(Long.MAX_VALUE / 2));
    });
    simulation.schedule(15 * SECOND, simulation::requestChange);
    simulation.schedule(25 * SECOND, simulation::requestChange);
    simulation.schedule(50 * SECOND, () -> simulation.proxies().forEach(proxy ->
        (proxy.zone() % REGIONS == 1 ? cutOff : connected).add(proxy.usableVersion())));
    ScaleOutcome outcome = simulation.run(); // reconnects the region at the end
    assertNoViolations(outcome);
    assertEquals(0, outcome.figures().get("not_in_force"));
    assertTrue(cutOff.stream().allMatch(version -> version == -1), "isolated proxies must not decide: " + cutOff);
    assertTrue(connected.stream().allMatch(version -> version == 2),
        "other proxies must decide by the latest version: " + connected);
  }

  @Test
  void changeWaitsForAMajorityOfVotersToReturn() {
    ScaleSimulation simulation = faultFreeSimulation();
    List<Long> heldWhileDown = new ArrayList<>();
    simulation.schedule(2 * SECOND,
        () -> List.of(0, 1).forEach(i -> simulation.controllers().get(i).crash(30 * SECOND)));
    simulation.schedule(4 * SECOND, simulation::requestChange);
    simulation.schedule(31 * SECOND,
        () -> simulation.proxies().forEach(proxy -> heldWhileDown.add(proxy.heldVersion())));
    ScaleOutcome outcome = simulation.run();
    assertNoViolations(outcome);
    assertTrue(heldWhileDown.stream().allMatch(version -> version == 0), "held meanwhile: " + heldWhileDown);
    assertTrue(simulation.proxies().stream().allMatch(proxy -> proxy.usableVersion() == 1));
  }

  @Test
  void proxiesUseOtherRegionsIfAllDistributorsOfTheirsFail() {
    ScaleSimulation simulation = faultFreeSimulation();
    List<Long> decided = new ArrayList<>();
    simulation.schedule(2 * SECOND, () -> simulation.controllers().stream()
        .filter(machine -> machine.zone() % REGIONS == 1).forEach(machine -> machine.crash(1000 * SECOND)));
    simulation.schedule(20 * SECOND, simulation::requestChange);
    simulation.schedule(32 * SECOND, () -> simulation.proxies().forEach(proxy -> decided.add(proxy.usableVersion())));
    ScaleOutcome outcome = simulation.run();
    assertEquals(60, decided.stream().filter(version -> version == 1).count(), decided.toString());
    assertNoViolations(outcome);
  }

  @Test
  void policySurvivesARestartOfAllProcesses() {
    ScaleSimulation simulation = faultFreeSimulation();
    List<Long> decided = new ArrayList<>();
    simulation.schedule(SECOND, simulation::requestChange);
    simulation.schedule(20 * SECOND, () -> {
      simulation.controllers().forEach(machine -> machine.crash(0));
      simulation.proxies().forEach(proxy -> proxy.restart(0));
    });
    simulation.schedule(40 * SECOND, () -> simulation.proxies().forEach(proxy -> decided.add(proxy.usableVersion())));
    assertNoViolations(simulation.run());
    assertTrue(decided.stream().allMatch(version -> version == 1), decided.toString());
  }

  /**
   * A large document takes long to reach a proxy that holds no version of it, and a change of it no longer than any
   * other change. The byte rate of each proxy stays within its limit.
   */
  @Test
  void largeDocumentKeepsToTheByteRateLimit() {
    ScaleSimulation simulation = new ScaleSimulation(new ScaleSettings(60, 5, 3, REGIONS, 6, 0, 0, 90, 200_000, 1,
        ScaleFaults.NONE, ScaleMutant.NONE));
    List<Long> held = new ArrayList<>();
    simulation.schedule(SECOND, simulation::requestChange);
    simulation.schedule(60 * SECOND, () -> simulation.proxies().forEach(proxy -> held.add(proxy.heldVersion())));
    ScaleOutcome outcome = simulation.run();
    assertNoViolations(outcome);
    assertNotNull(outcome.figures().get("bytes_per_second_most"));
    assertTrue(outcome.figures().get("bytes_per_second_most").intValue() <= 14_000, outcome.figures().toString());
  }
}
