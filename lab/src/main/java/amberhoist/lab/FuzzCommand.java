package amberhoist.lab;

import amberhoist.lab.emulator.Mutant;
import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.Simulation;
import amberhoist.lab.emulator.Simulation.RunResult;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.Experiment.Fault;
import amberhoist.lab.experiment.Experiment.FaultKind;
import amberhoist.lab.experiment.ExperimentFile;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Searches for sequences of faults under which a rule is violated. */
@Command(name = "fuzz", description = {
    "Simulates an experiment under random sequences of faults until a rule is violated or all runs are done.",
    "A sequence that violates a rule is minimized, and printed as [[faults]] with its seed."})
final class FuzzCommand implements Callable<Integer> {
  private static final int MAX_FAULTS = 8;

  @Spec
  private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "experiment whose fleet and clients are simulated")
  private Path experimentFile;

  @Option(names = "--runs", paramLabel = "N", defaultValue = "200",
      description = "number of runs (default: ${DEFAULT-VALUE})")
  private int runs;

  @Option(names = "--from", paramLabel = "SEED", defaultValue = "1",
      description = "seed of the first run (default: ${DEFAULT-VALUE})")
  private long firstSeed;

  @Option(names = "--mutant", paramLabel = "DEFECT", defaultValue = "NONE",
      description = "defect to build in, to test the search: ${COMPLETION-CANDIDATES}")
  private Mutant mutant;

  @Override
  public Integer call() {
    if (runs < 1) {
      throw new ParameterException(spec.commandLine(), "--runs: must be at least 1, but is " + runs);
    }
    List<Experiment> experiments = ExperimentFile.readOrPrintProblems(List.of(experimentFile), System.err);
    if (experiments.isEmpty()) {
      return 1;
    }
    Experiment experiment = experiments.get(0);
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      List<Fault> faults = randomFaults(experiment, new RandomSource(seed, 77));
      RunResult result = run(experiment, faults, seed);
      if (!result.violations().isEmpty()) {
        String rule = result.violations().get(0).rule();
        List<Fault> minimal = minimize(experiment, faults, seed, rule);
        System.out.println("seed " + seed + " breaks: " + run(experiment, minimal, seed).violations().get(0));
        System.out.println("with " + minimal.size() + " of " + faults.size() + " faults:");
        minimal.forEach(fault -> System.out.print(toToml(fault)));
        return 1;
      }
    }
    System.out.println("no rule broken in " + runs + " time lines, seeds " + firstSeed + " to "
        + (firstSeed + runs - 1));
    return 0;
  }

  private RunResult run(Experiment experiment, List<Fault> faults, long seed) {
    return new Simulation(experiment.withFaults(faults), experiment.variants().get(0), seed, false, mutant).run();
  }

  private static List<Fault> randomFaults(Experiment experiment, RandomSource random) {
    List<Fault> faults = new ArrayList<>();
    long length = experiment.length().toMillis();
    for (int i = 1 + random.nextInt(MAX_FAULTS); i > 0; i--) {
      FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
      double size = kind == FaultKind.STORE_SLOW ? 1 + 9 * random.nextFraction() : 0.05 + 0.5 * random.nextFraction();
      faults.add(new Fault(Duration.ofMillis(random.nextBetween(1000, length * 9 / 10)), kind,
          Duration.ofMillis(random.nextBetween(200, 30_000)), 0.05 + 0.9 * random.nextFraction(), size));
    }
    return faults;
  }

  /** Removes each fault without which the same rule is still violated. */
  private List<Fault> minimize(Experiment experiment, List<Fault> faults, long seed, String rule) {
    List<Fault> minimal = new ArrayList<>(faults);
    int i = 0;
    while (i < minimal.size()) {
      List<Fault> candidate = new ArrayList<>(minimal);
      candidate.remove(i);
      if (run(experiment, candidate, seed).violations().stream().anyMatch(violation -> violation.rule().equals(rule))) {
        minimal = candidate;
      } else {
        i++;
      }
    }
    return minimal;
  }

  private static String toToml(Fault fault) {
    return String.format("[[faults]]%nat = \"%dms\"%nkind = \"%s\"%nlength = \"%dms\"%nshare = %s%nsize = %s%n",
        fault.at().toMillis(), fault.kind().name().toLowerCase(java.util.Locale.ROOT), fault.length().toMillis(),
        fault.share(), fault.size());
  }
}
