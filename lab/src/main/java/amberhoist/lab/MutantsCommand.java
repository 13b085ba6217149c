package amberhoist.lab;

import amberhoist.lab.emulator.Checker.Violation;
import amberhoist.lab.emulator.Mutant;
import amberhoist.lab.emulator.World;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.lab.run.Runs;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Proves the checker: defects that are built in on purpose must each be seen. */
@Command(name = "mutants", description = {
    "Plays an experiment's first variant with each known defect built into its proxies, and prints which rule the",
    "checker saw broken first. Ends with 1 when a defect goes unseen, or a rule breaks without any."})
final class MutantsCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "an experiment with faults of all kinds")
  private Path file;

  @Option(names = "--seeds", paramLabel = "N", defaultValue = "3",
      description = "a defect must be seen within so many seeds (default: ${DEFAULT-VALUE})")
  private int seeds;

  @Override
  public Integer call() {
    List<Experiment> read = ExperimentFile.readOrTell(List.of(file), System.err);
    if (read.isEmpty()) {
      return 1;
    }
    Experiment experiment = read.get(0);
    int status = 0;
    System.out.println("| defect | seeds until seen | first rule broken |\n| --- | ---: | --- |");
    for (Mutant mutant : Mutant.values()) {
      Violation found = null;
      int played = 0;
      for (long seed : Runs.seeds(experiment, seeds)) {
        played++;
        List<Violation> violations =
            new World(experiment, experiment.variants().get(0), seed, true, mutant).run().violations();
        if (!violations.isEmpty()) {
          found = violations.get(0);
          break;
        }
      }
      System.out.printf("| %s | %s | %s |%n", mutant.name().toLowerCase(Locale.ROOT), found == null ? "-" : played,
          found == null ? "none in " + played : found);
      status = (found == null) == (mutant == Mutant.NONE) ? status : 1;
    }
    return status;
  }
}
