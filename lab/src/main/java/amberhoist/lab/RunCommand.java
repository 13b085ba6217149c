package amberhoist.lab;

import amberhoist.lab.emulator.ProtocolChecker.Violation;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.lab.run.ExperimentRuns;
import amberhoist.lab.run.ExperimentRuns.ClaimResult;
import amberhoist.lab.run.ExperimentRuns.Run;
import amberhoist.lab.run.Results;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs experiments and evaluates their claims. */
@Command(name = "run", description = {
    "Runs experiments in virtual time, each variant on the same seeds, prints figures and the hash of each event log,",
    "and evaluates the claims. Exits with 1 when a claim fails, or a rule is violated where no claim allows it."})
final class RunCommand implements Callable<Integer> {
  @Spec
  private CommandSpec spec;

  @Parameters(paramLabel = "FILE", arity = "1..*", description = "experiment files")
  private List<Path> experimentFiles;

  @Option(names = "--seeds", paramLabel = "N", defaultValue = "0",
      description = "number of seeds; by default those listed in the experiment")
  private int seeds;

  @Option(names = "--quick", description = "use the shorter duration that the experiment gives for quick runs")
  private boolean quick;

  @Option(names = "--threads", paramLabel = "N", defaultValue = "0",
      description = "concurrent runs; by default one per core")
  private int threads;

  @Option(names = "--out", paramLabel = "DIR",
      description = "write results.csv and report.md there, in a folder per experiment")
  private Path outputFolder;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (seeds < 0 || seeds > 100_000 || threads < 0 || threads > 1024) {
      throw new ParameterException(spec.commandLine(),
          "--seeds must be between 0 and 100000, and --threads between 0 and 1024");
    }
    List<Experiment> experiments = ExperimentFile.readOrPrintProblems(experimentFiles, System.err);
    if (experiments.isEmpty()) {
      return 1;
    }
    int status = 0;
    for (Experiment experiment : experiments) {
      status = Math.max(status, run(experiment));
    }
    return status;
  }

  private int run(Experiment experiment) throws IOException, InterruptedException {
    int threadCount = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
    ExperimentRuns runs = ExperimentRuns.run(experiment, seeds, quick, threadCount);
    System.out.println("== " + experiment.name() + (experiment.title().isEmpty() ? "" : ": " + experiment.title()));
    runs.byVariant().forEach((variant, variantRuns) -> {
      for (Run run : variantRuns) {
        System.out.printf("%s seed %d: service %.4f, violations %.0f, %d events (%.0f a second), hash %s%n", variant,
            run.seed(), run.result().figures().get("service"), run.result().figures().get("violations"),
            run.result().eventCount(), run.result().eventCount() * 1e9 / run.result().elapsedNanos(),
            run.result().hash());
        for (Violation violation : run.result().violations().subList(0,
            Math.min(3, run.result().violations().size()))) {
          System.out.println("  " + violation);
        }
      }
    });
    int status = 0;
    for (ClaimResult claimResult : runs.claimResults()) {
      System.out.println(claimResult);
      status = claimResult.holds() ? status : 1;
    }
    if (outputFolder != null) {
      Path folder = new Results(runs).write(outputFolder);
      System.out.println("kept in " + folder);
    }
    return status;
  }
}
