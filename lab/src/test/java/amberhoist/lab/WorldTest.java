package amberhoist.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.config.schema.Problem;
import amberhoist.lab.emulator.Mutant;
import amberhoist.lab.emulator.World;
import amberhoist.lab.emulator.World.Outcome;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.lab.run.Difference;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class WorldTest {
  @TempDir
  private Path folder;

  private static Experiment calm() {
    List<Problem> problems = new ArrayList<>();
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-calm.toml"), problems);
    assertEquals(List.of(), problems);
    return experiment;
  }

  @Test
  void oneSeedBringsOneRunAndAnotherSeedAnother() {
    Experiment experiment = calm();
    Outcome one = new World(experiment, experiment.variants().get(0), 1, true).run();
    Outcome again = new World(experiment, experiment.variants().get(0), 1, true).run();
    Outcome other = new World(experiment, experiment.variants().get(0), 2, true).run();
    assertEquals(one.hash(), again.hash());
    assertEquals(one.figures(), again.figures());
    assertEquals(one.events(), again.events());
    assertNotEquals(one.hash(), other.hash());
    assertTrue(one.events() > 10_000, "something happens");
  }

  @Test
  void aBadExperimentIsToldAtOnceWithItsLines() throws Exception {
    Path file = Files.writeString(folder.resolve("bad.toml"), """
        length = "10s"
        warmup = "20s"
        [[classes]]
        worht = 1
        [[faults]]
        at = "1s"
        [[faults]]
        kind = "hanging"
        [[variants]]
        set = ["silence.alone=9h", "nonsense"]
        [[claims]]
        over = "nobody"
        """);
    List<Problem> problems = new ArrayList<>();
    ExperimentFile.read(file, problems);
    List<String> told = problems.stream().map(problem -> problem.toString().replace(folder + "/", "")).toList();
    assertEquals(5, told.size(), told.toString());
    assertEquals("bad.toml:4: classes.0.worht: unknown key; the nearest known is classes.*.worth", told.get(0));
    assertTrue(told.get(1).startsWith("bad.toml:8: faults.1.kind: expected one of \"hang\""), told.get(1));
    assertEquals("bad.toml:2: warmup: is not shorter than length", told.get(2));
    assertTrue(told.get(3).startsWith("bad.toml:10: variants.0.set: "), told.get(3));
    assertTrue(told.get(4).contains("names no variant: nobody"), told.get(4));
  }

  @Test
  void theReferenceIsFresh() throws Exception {
    assertEquals(ExperimentFile.page(), Files.readString(Path.of("../docs/experiments.md")));
  }

  @Test
  void theCheckerSeesWhatChanceBreaksAndTheModuleKeeps() {
    List<Problem> problems = new ArrayList<>();
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-faults.toml"), problems);
    assertEquals(List.of(), problems);
    Outcome module = new World(experiment, experiment.variants().get(0), 1, true).run();
    Outcome chance = new World(experiment, experiment.variants().get(1), 1, true).run();
    assertEquals(List.of(), module.violations());
    assertTrue(chance.violations().stream().anyMatch(found -> found.rule().contains("cold provider")));
    assertTrue(module.figures().get("service") > chance.figures().get("service") + 0.2);
    assertTrue(module.figures().get("moves_by_proxies") > 0, "the faults do something");
  }

  @Test
  void aDifferenceIsClearOnlyWhereItsIntervalLeavesNothingOut() {
    Difference clear = Difference.of(new double[] {0.9, 0.8, 0.85, 0.95}, new double[] {0.5, 0.45, 0.4, 0.6});
    assertTrue(clear.clear() && clear.low() > 0.3 && clear.high() < 0.5, clear.toString());
    Difference not = Difference.of(new double[] {0.9, 0.3, 0.8, 0.2}, new double[] {0.5, 0.6, 0.4, 0.6});
    assertTrue(!not.clear() && not.low() < 0 && not.high() > 0, not.toString());
    assertThrows(IllegalArgumentException.class, () -> Difference.of(new double[] {1}, new double[0]));
  }

  @ParameterizedTest
  @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void theCheckerCatchesEachDefectWithinThreeSeeds(Mutant mutant) {
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-faults.toml"), new ArrayList<>());
    boolean caught = false;
    for (long seed = 1; seed <= 3 && !caught; seed++) {
      caught = !new World(experiment, experiment.variants().get(0), seed, true, mutant).run().violations().isEmpty();
    }
    assertTrue(caught, "nothing seen of " + mutant);
  }

  @Test
  void swampingColdProvidersBreaksTheirOwnRule() {
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-faults.toml"), new ArrayList<>());
    World world = new World(experiment, experiment.variants().get(0), 1, false, Mutant.SWAMPS_COLD);
    assertTrue(world.run().violations().stream().anyMatch(found -> found.rule().contains("cold provider")));
  }

  /** No proxy knows for certain how many others there are: the budget of a cold provider holds for the sum of them. */
  @ParameterizedTest
  @ValueSource(ints = {20, 30})
  void coldProvidersAreNotPushedOverByTheSumOfManyProxies(int proxies) throws Exception {
    String text = Files.readString(Path.of("experiments/smoke-ramp.toml"));
    Path file = Files.writeString(folder.resolve("ramp.toml"), text.replace("proxies = 30", "proxies = " + proxies));
    List<Problem> problems = new ArrayList<>();
    Experiment experiment = ExperimentFile.read(file, problems);
    assertEquals(List.of(), problems);
    assertEquals(proxies, experiment.fleet().proxies());
    for (long seed = 1; seed <= 3; seed++) {
      Outcome module = new World(experiment, experiment.variants().get(0), seed, true).run();
      assertEquals(List.of(), module.violations());
      assertTrue(module.figures().get("cold_peak") > 0.3, "cold ones are used");
      World alone = new World(experiment, experiment.variants().get(0), seed, true, Mutant.RAMPS_AS_IF_ALONE);
      assertTrue(alone.run().violations().stream().anyMatch(found -> found.rule().contains("cold provider")));
    }
  }
}
