package amberhoist.lab;

import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.Mutant;
import amberhoist.lab.emulator.World;
import amberhoist.lab.emulator.World.Outcome;
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

/** Looks for time lines of faults that break a rule. */
@Command(name = "fuzz", description = {
    "Plays an experiment's world under random time lines of faults until a rule breaks or the count is reached.",
    "What breaks is shrunk to the fewest faults that still break it, and printed as [[faults]] with its seed."})
final class FuzzCommand implements Callable<Integer> {
  private static final int FAULTS_MOST = 8;

  @Spec
  private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "the experiment whose fleet and clients are used")
  private Path file;

  @Option(names = "--runs", paramLabel = "N", defaultValue = "200",
      description = "time lines to play (default: ${DEFAULT-VALUE})")
  private int runs;

  @Option(names = "--from", paramLabel = "SEED", defaultValue = "1",
      description = "first seed (default: ${DEFAULT-VALUE})")
  private long from;

  @Option(names = "--mutant", paramLabel = "DEFECT", defaultValue = "NONE",
      description = "a defect to build in, to see the search work: ${COMPLETION-CANDIDATES}")
  private Mutant mutant;

  @Override
  public Integer call() {
    if (runs < 1) {
      throw new ParameterException(spec.commandLine(), "--runs: expected 1 or more, not " + runs);
    }
    List<Experiment> read = ExperimentFile.readOrTell(List.of(file), System.err);
    if (read.isEmpty()) {
      return 1;
    }
    Experiment experiment = read.get(0);
    for (long seed = from; seed < from + runs; seed++) {
      List<Fault> faults = timeLine(experiment, new Chance(seed, 77));
      Outcome outcome = play(experiment, faults, seed);
      if (!outcome.violations().isEmpty()) {
        String rule = outcome.violations().get(0).rule();
        List<Fault> least = shrink(experiment, faults, seed, rule);
        System.out.println("seed " + seed + " breaks: " + play(experiment, least, seed).violations().get(0));
        System.out.println("with " + least.size() + " of " + faults.size() + " faults:");
        least.forEach(fault -> System.out.print(toml(fault)));
        return 1;
      }
    }
    System.out.println("no rule broken in " + runs + " time lines, seeds " + from + " to " + (from + runs - 1));
    return 0;
  }

  private Outcome play(Experiment experiment, List<Fault> faults, long seed) {
    return new World(experiment.with(faults), experiment.variants().get(0), seed, false, mutant).run();
  }

  private static List<Fault> timeLine(Experiment experiment, Chance chance) {
    List<Fault> faults = new ArrayList<>();
    long length = experiment.length().toMillis();
    for (int i = 1 + chance.below(FAULTS_MOST); i > 0; i--) {
      FaultKind kind = FaultKind.values()[chance.below(FaultKind.values().length)];
      double size = kind == FaultKind.STORE_SLOW ? 1 + 9 * chance.part() : 0.05 + 0.5 * chance.part();
      faults.add(new Fault(Duration.ofMillis(chance.between(1000, length * 9 / 10)), kind,
          Duration.ofMillis(chance.between(200, 30_000)), 0.05 + 0.9 * chance.part(), size));
    }
    return faults;
  }

  /** Leaves faults out, one at a time, as long as the same rule still breaks. */
  private List<Fault> shrink(Experiment experiment, List<Fault> faults, long seed, String rule) {
    List<Fault> least = new ArrayList<>(faults);
    int i = 0;
    while (i < least.size()) {
      List<Fault> without = new ArrayList<>(least);
      without.remove(i);
      if (play(experiment, without, seed).violations().stream().anyMatch(found -> found.rule().equals(rule))) {
        least = without;
      } else {
        i++;
      }
    }
    return least;
  }

  private static String toml(Fault fault) {
    return String.format("[[faults]]%nat = \"%dms\"%nkind = \"%s\"%nlength = \"%dms\"%nshare = %s%nsize = %s%n",
        fault.at().toMillis(), fault.kind().name().toLowerCase(java.util.Locale.ROOT), fault.length().toMillis(),
        fault.share(), fault.size());
  }
}
