package amberhoist.lab.soak;

import amberhoist.lab.soak.SoakRun.Outcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Plays the ends of connections against proxy processes. */
@Command(name = "soak", description = {
    "Starts a proxy process for each seed, with stand-ins on loopback, and ends connections in all ways by seeded",
    "scripts until the process is told to end; kills it at the earliest time that the protocol allows. Checks what",
    "each side of each connection was owed. Exits with 1 when a rule is broken. Run from the root, after the build."})
public final class SoakCommand implements Callable<Integer> {
  private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final int SHOWN_VIOLATIONS = 10;

  @Spec
  private CommandSpec spec;

  @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
      description = "seed of the first run (default: ${DEFAULT-VALUE})")
  private long firstSeed;

  @Option(names = "--runs", paramLabel = "N", defaultValue = "4",
      description = "number of runs, each with the next seed (default: ${DEFAULT-VALUE})")
  private int runs;

  @Option(names = "--seconds", paramLabel = "S", defaultValue = "3",
      description = "how long clients come before the process is told to end (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Option(names = "--faults", paramLabel = "KIND,...", defaultValue = "",
      description = "faults of system calls in the proxy: short, eagain, eintr, accept, connect, socket")
  private String faultKinds;

  @Option(names = "--out", paramLabel = "DIR", defaultValue = "target/soak",
      description = "folder for logs and configurations (default: ${DEFAULT-VALUE})")
  private Path folder;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (runs < 1 || runs > 10_000 || seconds < 1 || seconds > 600) {
      throw new ParameterException(spec.commandLine(),
          "--runs must be between 1 and 10000, and --seconds between 1 and 600");
    }
    Matcher command = RUN_COMMAND.matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!command.find()) {
      throw new IOException("deploy/balancer.toml names no run command");
    }
    String platformText = Files.readString(Path.of("example/config.json"));
    SyscallFaults faults = faultKinds.isEmpty() ? SyscallFaults.NONE : SyscallFaults.compile(faultKinds, folder);
    int failures = 0;
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      Path runFolder = folder.resolve(String.valueOf(seed));
      Outcome outcome = new SoakRun(runFolder, seed, seconds * 1000L, faults).run(command.group(1), platformText);
      System.out.println("seed " + seed + ": " + outcome.connections() + " connections, " + outcome.moved() + " moved, "
          + outcome.violations().size() + " violations");
      outcome.violations().stream().limit(SHOWN_VIOLATIONS).forEach(violation -> System.out.println("  " + violation));
      failures += outcome.violations().isEmpty() ? 0 : 1;
    }
    System.out.println(failures == 0 ? "no rule broken in " + runs + " runs"
        : failures + " of " + runs + " runs broke a rule; their folders are in " + folder);
    return failures == 0 ? 0 : 1;
  }
}
