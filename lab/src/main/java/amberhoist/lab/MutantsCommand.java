package amberhoist.lab;

import amberhoist.lab.emulator.Mutant;
import amberhoist.lab.emulator.ProtocolChecker.Violation;
import amberhoist.lab.emulator.Simulation;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.lab.run.ExperimentRuns;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Tests the checker: each defect that is built in on purpose must be detected. */
@Command(name = "mutants", description = {
    "Simulates an experiment's first variant with each known defect built into its proxies, and prints the first",
    "rule that the checker found violated. Exits with 1 when a defect is not detected, or when a rule is violated",
    "without a defect."})
final class MutantsCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "experiment with faults of all kinds")
  private Path experimentFile;

  @Option(names = "--seeds", paramLabel = "N", defaultValue = "3",
      description = "number of seeds within which a defect must be detected (default: ${DEFAULT-VALUE})")
  private int seeds;

  @Override
  public Integer call() {
    List<Experiment> experiments = ExperimentFile.readOrPrintProblems(List.of(experimentFile), System.err);
    if (experiments.isEmpty()) {
      return 1;
    }
    Experiment experiment = experiments.get(0);
    int status = 0;
    System.out.println("| defect | seeds until seen | first rule broken |\n| --- | ---: | --- |");
    for (Mutant mutant : Mutant.values()) {
      Violation firstViolation = null;
      int runs = 0;
      for (long seed : ExperimentRuns.seeds(experiment, seeds)) {
        runs++;
        List<Violation> violations =
            new Simulation(experiment, experiment.variants().get(0), seed, true, mutant).run().violations();
        if (!violations.isEmpty()) {
          firstViolation = violations.get(0);
          break;
        }
      }
      System.out.printf("| %s | %s | %s |%n", mutant.name().toLowerCase(Locale.ROOT),
          firstViolation == null ? "-" : runs, firstViolation == null ? "none in " + runs : firstViolation);
      status = (firstViolation == null) == (mutant == Mutant.NONE) ? status : 1;
    }
    return status;
  }
}
