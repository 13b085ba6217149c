package amberhoist.lab;

import amberhoist.lab.scale.ScaleFaults;
import amberhoist.lab.scale.ScaleMutant;
import amberhoist.lab.scale.ScaleOutcome;
import amberhoist.lab.scale.ScaleSettings;
import amberhoist.lab.scale.ScaleSimulation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Simulates the control plane at scale. */
@Command(name = "scale", description = {
    "Simulates controllers that agree on changes of the policy, and control-plane-only proxies that apply them, in",
    "virtual time. Exits with 1 when a rule is violated, or when a change is not in force on all reachable proxies",
    "within ten seconds."})
final class ScaleCommand implements Callable<Integer> {
  private static final double NANOS_PER_SECOND = 1e9;

  @Spec
  private CommandSpec spec;

  @Option(names = "--proxies", paramLabel = "N", defaultValue = "100",
      description = "number of proxies (default: ${DEFAULT-VALUE})")
  private int proxies;

  @Option(names = "--controllers", paramLabel = "N", defaultValue = "12",
      description = "number of controllers (default: ${DEFAULT-VALUE})")
  private int controllers;

  @Option(names = "--voters", paramLabel = "N",
      description = "number of controllers that vote (default: 5, or all if there are fewer)")
  private Integer voters;

  @Option(names = "--regions", paramLabel = "N", defaultValue = "7",
      description = "number of regions (default: ${DEFAULT-VALUE})")
  private int regions;

  @Option(names = "--zones", paramLabel = "N", defaultValue = "24",
      description = "number of zones (default: ${DEFAULT-VALUE})")
  private int zones;

  @Option(names = "--changes-per-day", paramLabel = "N", defaultValue = "7400",
      description = "rate of policy changes (default: ${DEFAULT-VALUE})")
  private int changesPerDay;

  @Option(names = "--burst", paramLabel = "N", defaultValue = "0",
      description = "further changes, within one minute from the middle of the run (default: ${DEFAULT-VALUE})")
  private int burst;

  @Option(names = "--seconds", paramLabel = "S", defaultValue = "60",
      description = "duration of changes and faults, in virtual time (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Option(names = "--document", paramLabel = "BYTES", defaultValue = "8192",
      description = "size of the policy document (default: ${DEFAULT-VALUE})")
  private int documentBytes;

  @Option(names = "--faults", paramLabel = "KIND", defaultValue = "ordinary",
      description = "none, ordinary (an ordinary day's, 100 times as often) or harsh (default: ${DEFAULT-VALUE})")
  private ScaleFaults faults;

  @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
      description = "seed of the first run (default: ${DEFAULT-VALUE})")
  private long firstSeed;

  @Option(names = "--runs", paramLabel = "N", defaultValue = "1",
      description = "number of runs, each with the next seed (default: ${DEFAULT-VALUE})")
  private int runs;

  @Option(names = "--json", description = "print one line of JSON for each run instead of a table")
  private boolean json;

  @Option(names = "--mutants", description = "check that each known defect is detected within --runs runs")
  private boolean testMutants;

  @Override
  public Integer call() throws JsonProcessingException {
    if (runs < 1) {
      throw new ParameterException(spec.commandLine(), "--runs must be at least 1");
    }
    System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off"); // it logs each state change of a member
    return testMutants ? runMutants() : runAll();
  }

  private ScaleSettings settings(long seed, ScaleMutant mutant) {
    try {
      return new ScaleSettings(proxies, controllers, voters == null ? Math.min(5, controllers) : voters, regions, zones,
          changesPerDay, burst, seconds, documentBytes, seed, faults, mutant);
    } catch (IllegalArgumentException fault) {
      throw new ParameterException(spec.commandLine(), fault.getMessage(), fault);
    }
  }

  private int runAll() throws JsonProcessingException {
    int status = 0;
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      long startNanos = System.nanoTime();
      ScaleOutcome outcome = new ScaleSimulation(settings(seed, ScaleMutant.NONE)).run();
      Map<String, Object> figures = new LinkedHashMap<>(outcome.figures());
      figures.put("real_seconds", Math.round((System.nanoTime() - startNanos) / NANOS_PER_SECOND));
      print(figures, outcome.violations());
      boolean passed = outcome.violations().isEmpty() && outcome.figures().get("not_in_force").intValue() == 0;
      status = passed ? status : 1;
    }
    return status;
  }

  private void print(Map<String, Object> figures, List<String> violations) throws JsonProcessingException {
    violations.stream().limit(5).forEach(violation ->
        System.err.println("seed " + figures.get("seed") + ": " + violation));
    if (json) {
      System.out.println(new ObjectMapper().writeValueAsString(figures));
    } else {
      figures.forEach((name, figure) -> System.out.printf(Locale.ROOT, "%-30s %s%n", name, figure));
    }
  }

  private int runMutants() {
    int status = 0;
    System.out.println("| defect | runs until seen | first rule broken |\n| --- | ---: | --- |");
    for (ScaleMutant mutant : ScaleMutant.values()) {
      String firstViolation = null;
      long seed = firstSeed;
      for (; firstViolation == null && seed < firstSeed + runs; seed++) {
        List<String> violations = new ScaleSimulation(settings(seed, mutant)).run().violations();
        firstViolation = violations.isEmpty() ? null : violations.get(0);
      }
      System.out.printf("| %s | %s | %s |%n", mutant.name().toLowerCase(Locale.ROOT),
          firstViolation == null ? "-" : seed - firstSeed, firstViolation == null ? "none in " + runs : firstViolation);
      status = (firstViolation == null) == (mutant == ScaleMutant.NONE) ? status : 1;
    }
    return status;
  }
}
