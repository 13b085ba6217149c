package amberhoist.lab;

import amberhoist.lab.TryOut.Round;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The laboratory's commands. */
@Command(name = "lab", description = "Stand-ins and tools to try and measure a proxy with.")
final class LabCommand implements Runnable {
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "say which: try or stand-in");
  }

  /** A newcomer's first look. */
  @Command(name = "try", description = {
      "Starts a stand-in directory, two stand-in providers and a proxy on loopback, sends a client through it,",
      "and prints what passes. It then drains the client's provider and follows the client to the other one."})
  int tryOut(@Option(names = "--lines", paramLabel = "N", defaultValue = "3",
      description = "lines the client sends (default: ${DEFAULT-VALUE})") int lines) throws IOException {
    if (lines < 1 || lines > 10_000) {
      throw new ParameterException(spec.commandLine(), "--lines: expected 1 to 10000, not " + lines);
    }
    try (TryOut tryOut = new TryOut(System.out)) {
      Round round = tryOut.run(lines);
      System.out.println(round.verdict());
      return round.held() ? 0 : 1;
    }
  }

  /** Stand-ins for a proxy started by hand. */
  @Command(name = "stand-in", description = {
      "Runs a stand-in directory and two stand-in providers until it is interrupted, for a proxy started by hand",
      "with example/config.json."})
  int standIn(@Option(names = "--directory", paramLabel = "PORT", defaultValue = "8500",
      description = "port of the directory (default: ${DEFAULT-VALUE})") int directory,
      @Option(names = "--providers", paramLabel = "PORT", defaultValue = "3001",
          description = "port of the first provider; the second takes the next (default: ${DEFAULT-VALUE})")
      int providers) throws IOException, InterruptedException {
    try (StandInProvider a = new StandInProvider("toy-a", providers, System.out::println);
        StandInProvider b = new StandInProvider("toy-b", providers + 1, System.out::println);
        StandInDirectory list = new StandInDirectory(directory, System.out::println)) {
      list.tell(a.entry("active"), b.entry("active"));
      System.out.println("directory on " + list.address() + ", providers on " + a.address() + " and " + b.address());
      Thread.currentThread().join();
    }
    return 0;
  }
}
