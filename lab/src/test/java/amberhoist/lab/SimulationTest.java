package amberhoist.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.config.schema.ConfigProblem;
import amberhoist.lab.emulator.Mutant;
import amberhoist.lab.emulator.Simulation;
import amberhoist.lab.emulator.Simulation.RunResult;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.lab.run.PairedDifference;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class SimulationTest {
  @TempDir
  private Path folder;

  private static Experiment readCalmExperiment() {
    List<ConfigProblem> problems = new ArrayList<>();
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-calm.toml"), problems);
    assertEquals(List.of(), problems);
    return experiment;
  }

  @Test
  void sameSeedReproducesTheRunAndAnotherDoesNot() {
    Experiment experiment = readCalmExperiment();
    RunResult first = new Simulation(experiment, experiment.variants().get(0), 1, true).run();
    RunResult again = new Simulation(experiment, experiment.variants().get(0), 1, true).run();
    RunResult other = new Simulation(experiment, experiment.variants().get(0), 2, true).run();
    assertEquals(first.hash(), again.hash());
    assertEquals(first.figures(), again.figures());
    assertEquals(first.eventCount(), again.eventCount());
    assertNotEquals(first.hash(), other.hash());
    assertTrue(first.eventCount() > 10_000, "too few events");
  }

  @Test
  void allProblemsOfAnExperimentAreReportedWithTheirLines() throws Exception {
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
    List<ConfigProblem> problems = new ArrayList<>();
    ExperimentFile.read(file, problems);
    List<String> messages = problems.stream().map(problem -> problem.toString().replace(folder + "/", "")).toList();
    assertEquals(5, messages.size(), messages.toString());
    assertEquals("bad.toml:4: classes.0.worht: unknown key; the nearest known is classes.*.worth", messages.get(0));
    assertTrue(messages.get(1).startsWith("bad.toml:8: faults.1.kind: expected one of \"hang\""), messages.get(1));
    assertEquals("bad.toml:2: warmup: is not shorter than length", messages.get(2));
    assertTrue(messages.get(3).startsWith("bad.toml:10: variants.0.set: "), messages.get(3));
    assertTrue(messages.get(4).contains("names no variant: nobody"), messages.get(4));
  }

  @Test
  void referencePageIsUpToDate() throws Exception {
    assertEquals(ExperimentFile.referencePage(), Files.readString(Path.of("../docs/experiments.md")));
  }

  @Test
  void checkerFindsViolationsOfRandomPlacementButNotOfTheModule() {
    List<ConfigProblem> problems = new ArrayList<>();
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-faults.toml"), problems);
    assertEquals(List.of(), problems);
    RunResult module = new Simulation(experiment, experiment.variants().get(0), 1, true).run();
    RunResult random = new Simulation(experiment, experiment.variants().get(1), 1, true).run();
    assertEquals(List.of(), module.violations());
    assertTrue(random.violations().stream().anyMatch(violation -> violation.rule().contains("cold provider")));
    assertTrue(module.figures().get("service") > random.figures().get("service") + 0.2);
    assertTrue(module.figures().get("moves_by_proxies") > 0, "faults cause no moves");
  }

  @Test
  void differenceIsClearOnlyIfItsIntervalExcludesZero() {
    PairedDifference clear = PairedDifference.of(new double[] {0.9, 0.8, 0.85, 0.95},
        new double[] {0.5, 0.45, 0.4, 0.6});
    assertTrue(clear.isSignificant() && clear.low() > 0.3 && clear.high() < 0.5, clear.toString());
    PairedDifference unclear = PairedDifference.of(new double[] {0.9, 0.3, 0.8, 0.2},
        new double[] {0.5, 0.6, 0.4, 0.6});
    assertTrue(!unclear.isSignificant() && unclear.low() < 0 && unclear.high() > 0, unclear.toString());
    assertThrows(IllegalArgumentException.class, () -> PairedDifference.of(new double[] {1}, new double[0]));
  }

  @ParameterizedTest
  @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void checkerDetectsEachMutantWithinThreeSeeds(Mutant mutant) {
    // a budget that is many times too large shows surely only where many proxies share it
    String world = mutant == Mutant.RAMPS_AS_IF_ALONE ? "ramp" : "faults";
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-" + world + ".toml"), new ArrayList<>());
    boolean detected = false;
    for (long seed = 1; seed <= 3 && !detected; seed++) {
      detected = !new Simulation(experiment, experiment.variants().get(0), seed, true, mutant)
          .run().violations().isEmpty();
    }
    assertTrue(detected, "not detected: " + mutant);
  }

  @Test
  void overloadedColdProvidersBreakTheColdProviderRule() {
    Experiment experiment = ExperimentFile.read(Path.of("experiments/smoke-faults.toml"), new ArrayList<>());
    Simulation simulation = new Simulation(experiment, experiment.variants().get(0), 1, false, Mutant.SWAMPS_COLD);
    assertTrue(
        simulation.run().violations().stream().anyMatch(violation -> violation.rule().contains("cold provider")));
  }

  /** Proxies only estimate how many others there are, yet together they must keep a cold provider's warm-up budget. */
  @ParameterizedTest
  @ValueSource(ints = {20, 30})
  void coldProvidersAreNotOverloadedByManyProxiesTogether(int proxies) throws Exception {
    String text = Files.readString(Path.of("experiments/smoke-ramp.toml"));
    Path file = Files.writeString(folder.resolve("ramp.toml"), text.replace("proxies = 30", "proxies = " + proxies));
    List<ConfigProblem> problems = new ArrayList<>();
    Experiment experiment = ExperimentFile.read(file, problems);
    assertEquals(List.of(), problems);
    assertEquals(proxies, experiment.fleet().proxies());
    for (long seed = 1; seed <= 3; seed++) {
      RunResult module = new Simulation(experiment, experiment.variants().get(0), seed, true).run();
      assertEquals(List.of(), module.violations());
      assertTrue(module.figures().get("cold_peak") > 0.3, "cold providers are not used");
      Simulation alone = new Simulation(experiment, experiment.variants().get(0), seed, true, Mutant.RAMPS_AS_IF_ALONE);
      assertTrue(alone.run().violations().stream().anyMatch(violation -> violation.rule().contains("cold provider")));
    }
  }
}
