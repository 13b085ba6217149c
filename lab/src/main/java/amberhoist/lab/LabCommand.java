package amberhoist.lab;

import amberhoist.directory.Address;
import amberhoist.lab.TryOut.Round;
import amberhoist.lab.experiment.ExperimentFile;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The laboratory's commands. */
@Command(name = "lab", description = "Stand-ins and tools to try and measure a proxy with.",
    subcommands = {RunCommand.class, MutantsCommand.class, GroupCommand.class, ScaleCommand.class, SlopeCommand.class,
        FuzzCommand.class})
final class LabCommand implements Runnable {
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(),
        "say which: run, mutants, fuzz, group, scale, slope, reference, try, stand-in, client or flood");
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

  /** The reference page. */
  @Command(name = "reference", description = "Prints the reference page of experiments, made from the code.")
  int reference() {
    System.out.print(ExperimentFile.page());
    return 0;
  }

  /** A client by hand. */
  @Command(name = "client", description = {
      "Opens a connection through a proxy that was started by hand, sends lines and prints the answers.",
      "Ends with 1 when it is not served, or a line does not come back."})
  int client(@Parameters(index = "0", paramLabel = "ADDRESS", description = "the proxy, as in 127.0.0.1:3000")
      String address, @Parameters(index = "1..*", paramLabel = "LINE", description = "lines to send")
      List<String> lines, @Option(names = "--class", paramLabel = "CLASS", defaultValue = "scan-tiles",
          description = "class of the connection (default: ${DEFAULT-VALUE})") String type,
      @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "0",
          description = "tries to connect for so long (default: ${DEFAULT-VALUE})") int wait) throws IOException {
    InetSocketAddress proxy;
    try {
      proxy = Address.parse(address);
    } catch (IllegalArgumentException fault) {
      throw new ParameterException(spec.commandLine(), fault.getMessage(), fault);
    }
    List<String> all = lines == null ? List.of() : lines;
    return new LineClient(System.out).run(proxy, type, all, Duration.ofSeconds(wait)) ? 0 : 1;
  }

  /** What logging costs under attack. */
  @Command(name = "flood", description = {
      "Floods a proxy of its own with clients that send nonsense, once with its log at errors alone and once as it",
      "is by default, and prints what the log wrote and what it cost."})
  int flood(@Option(names = "--rate", paramLabel = "N", defaultValue = "10000",
          description = "clients a second (default: ${DEFAULT-VALUE})") int rate,
      @Option(names = "--seconds", paramLabel = "N", defaultValue = "5",
          description = "for so long (default: ${DEFAULT-VALUE})") int seconds,
      @Option(names = "--platform", paramLabel = "FILE", defaultValue = "example/config.json",
          description = "the platform's JSON (default: ${DEFAULT-VALUE})") Path platform)
      throws IOException, InterruptedException {
    if (rate < 1 || rate > 100_000 || seconds < 1 || seconds > 600) {
      throw new ParameterException(spec.commandLine(), "expected --rate 1 to 100000 and --seconds 1 to 600");
    }
    Flood flood = new Flood(platform, rate, seconds);
    System.out.println(Flood.Cost.header());
    System.out.println(flood.run("errors alone", List.of("log.level=error")).row());
    System.out.println(flood.run("default, text", List.of()).row());
    System.out.println(flood.run("default, JSON", List.of("log.format=json")).row());
    System.out.println(flood.run("no limit, text",
        List.of("log.rate=10000", "log.burst=100000", "log.queue=1MiB")).row());
    return 0;
  }
}
