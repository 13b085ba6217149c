package amberhoist.lab;

import amberhoist.lab.group.GroupMutant;
import amberhoist.lab.group.GroupSimulation;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Simulates groups of members under faults in virtual time. */
@Command(name = "group", description = {
    "Simulates groups of members in virtual time, with crashes, torn log writes, failing disks, suspended processes,",
    "links that are cut in one or both directions or flap, and concurrent changes of the policy.",
    "Exits with 1 when a rule is violated."})
final class GroupCommand implements Callable<Integer> {
  @Option(names = "--members", paramLabel = "N", defaultValue = "3",
      description = "number of members (default: ${DEFAULT-VALUE})")
  private int members;

  @Option(names = "--seconds", paramLabel = "S", defaultValue = "30",
      description = "duration of the faults in a run, in virtual time (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Option(names = "--runs", paramLabel = "N", defaultValue = "100",
      description = "number of runs (default: ${DEFAULT-VALUE})")
  private int runs;

  @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
      description = "seed of the first run; each further run uses the next (default: ${DEFAULT-VALUE})")
  private long firstSeed;

  @Option(names = "--calm", description = "inject no faults")
  private boolean faultFree;

  @Option(names = "--mutants", description = "check that each known defect is detected within --runs runs")
  private boolean testMutants;

  private record SeedResult(long seed, GroupSimulation.Outcome outcome) {}

  @Override
  public Integer call() {
    if (members < 1 || seconds < 1 || runs < 1) {
      System.err.println("--members, --seconds and --runs must be at least 1");
      return 2;
    }
    System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off"); // it logs each state change of a member
    return testMutants ? runMutants() : runAll();
  }

  private LongStream seeds() {
    return LongStream.range(firstSeed, firstSeed + runs);
  }

  private SeedResult run(long seed, GroupMutant mutant) {
    return new SeedResult(seed, new GroupSimulation(members, seconds, seed, mutant, faultFree).run());
  }

  private int runAll() {
    var results = seeds().parallel().mapToObj(seed -> run(seed, GroupMutant.NONE)).toList();
    long changes = 0;
    long acceptedChanges = 0;
    Histogram activationDelays = new Histogram(3);
    long crashes = 0;
    long linkCuts = 0;
    long failedRuns = 0;
    for (SeedResult result : results) {
      changes += result.outcome().requestedChanges();
      acceptedChanges += result.outcome().acceptedChanges();
      result.outcome().activationDelaysMicros().forEach(activationDelays::recordValue);
      crashes += result.outcome().crashCount();
      linkCuts += result.outcome().linkCutCount();
      failedRuns += result.outcome().violations().isEmpty() ? 0 : 1;
      result.outcome().violations().stream().limit(3).forEach(violation ->
          System.out.printf("seed %d: %s%n", result.seed(), violation));
    }
    System.out.printf("%d members, %d runs of %d s: %d changes asked, %d begun, %d in force, %d crashes, %d cuts,"
        + " %d runs broke a rule%n", members, runs, seconds, changes, acceptedChanges,
        activationDelays.getTotalCount(), crashes, linkCuts, failedRuns);
    System.out.printf("from the entry of a change in the log until a member decides by it: median %d ms, 99th"
        + " percentile %d ms%n", activationDelays.getValueAtPercentile(50) / 1000,
        activationDelays.getValueAtPercentile(99) / 1000);
    return failedRuns == 0 ? 0 : 1;
  }

  private int runMutants() {
    int status = 0;
    System.out.println("| defect | runs until seen | first rule broken |\n| --- | ---: | --- |");
    for (GroupMutant mutant : GroupMutant.values()) {
      var firstFailure = seeds().mapToObj(seed -> run(seed, mutant))
          .filter(result -> !result.outcome().violations().isEmpty()).findFirst();
      System.out.printf("| %s | %s | %s |%n", mutant.name().toLowerCase(Locale.ROOT),
          firstFailure.map(result -> String.valueOf(result.seed() - firstSeed + 1)).orElse("-"),
          firstFailure.map(result -> result.outcome().violations().get(0)).orElse("none in " + runs));
      status = firstFailure.isEmpty() == (mutant == GroupMutant.NONE) ? status : 1;
    }
    return status;
  }
}
