package amberhoist.lab;

import amberhoist.lab.group.GroupMutant;
import amberhoist.lab.group.GroupWorld;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays groups of members under faults in virtual time. */
@Command(name = "group", description = {
    "Plays groups of members in virtual time: crashes, torn logs, failing disks, stopped processes, links cut one way",
    "or both or flapping, and operators who change the policy at once. Ends with 1 when a rule breaks."})
final class GroupCommand implements Callable<Integer> {
  @Option(names = "--members", paramLabel = "N", defaultValue = "3", description = "default: ${DEFAULT-VALUE}")
  private int members;

  @Option(names = "--seconds", paramLabel = "S", defaultValue = "30",
      description = "seconds with faults in a run (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Option(names = "--runs", paramLabel = "N", defaultValue = "100", description = "default: ${DEFAULT-VALUE}")
  private int runs;

  @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
      description = "of the first run; the others follow (default: ${DEFAULT-VALUE})")
  private long seed;

  @Option(names = "--calm", description = "with no faults")
  private boolean calm;

  @Option(names = "--mutants", description = "each known defect must be seen within so many runs")
  private boolean mutants;

  private record Played(long seed, GroupWorld.Outcome outcome) {}

  @Override
  public Integer call() {
    if (members < 1 || seconds < 1 || runs < 1) {
      System.err.println("--members, --seconds and --runs must be at least 1");
      return 2;
    }
    System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off"); // members tell of each step they take
    return mutants ? prove() : play();
  }

  private LongStream seeds() {
    return LongStream.range(seed, seed + runs);
  }

  private Played play(long ofSeed, GroupMutant mutant) {
    return new Played(ofSeed, new GroupWorld(members, seconds, ofSeed, mutant, calm).run());
  }

  private int play() {
    var played = seeds().parallel().mapToObj(each -> play(each, GroupMutant.NONE)).toList();
    long changes = 0;
    long taken = 0;
    Histogram waits = new Histogram(3);
    long crashes = 0;
    long cuts = 0;
    long broken = 0;
    for (Played one : played) {
      changes += one.outcome().changes();
      taken += one.outcome().taken();
      one.outcome().waits().forEach(waits::recordValue);
      crashes += one.outcome().crashes();
      cuts += one.outcome().cuts();
      broken += one.outcome().violations().isEmpty() ? 0 : 1;
      one.outcome().violations().stream().limit(3).forEach(what ->
          System.out.printf("seed %d: %s%n", one.seed(), what));
    }
    System.out.printf("%d members, %d runs of %d s: %d changes asked, %d begun, %d in force, %d crashes, %d cuts,"
        + " %d runs broke a rule%n", members, runs, seconds, changes, taken, waits.getTotalCount(), crashes, cuts,
        broken);
    System.out.printf("from the entry of a change in the log until a member decides by it: median %d ms, 99th"
        + " percentile %d ms%n", waits.getValueAtPercentile(50) / 1000, waits.getValueAtPercentile(99) / 1000);
    return broken == 0 ? 0 : 1;
  }

  private int prove() {
    int status = 0;
    System.out.println("| defect | runs until seen | first rule broken |\n| --- | ---: | --- |");
    for (GroupMutant mutant : GroupMutant.values()) {
      var seen = seeds().mapToObj(each -> play(each, mutant)).filter(one -> !one.outcome().violations().isEmpty())
          .findFirst();
      System.out.printf("| %s | %s | %s |%n", mutant.name().toLowerCase(Locale.ROOT),
          seen.map(one -> String.valueOf(one.seed() - seed + 1)).orElse("-"),
          seen.map(one -> one.outcome().violations().get(0)).orElse("none in " + runs));
      status = seen.isEmpty() == (mutant == GroupMutant.NONE) ? status : 1;
    }
    return status;
  }
}
