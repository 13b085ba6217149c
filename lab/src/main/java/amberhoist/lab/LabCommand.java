package amberhoist.lab;

import amberhoist.directory.Address;
import amberhoist.lab.Demo.DemoResult;
import amberhoist.lab.experiment.ExperimentFile;
import amberhoist.lab.soak.SoakCommand;
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

/** The {@code lab} command with its subcommands. */
@Command(name = "lab", description = "Stubs, simulations and measurements for testing a proxy.",
    subcommands = {RunCommand.class, MutantsCommand.class, GroupCommand.class, ScaleCommand.class, SlopeCommand.class,
        FuzzCommand.class, SoakCommand.class})
final class LabCommand implements Runnable {
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(),
        "missing subcommand, one of: run, mutants, fuzz, soak, group, scale, slope, reference, try, stand-in, client, "
            + "flood");
  }

  /** Runs the demo: a proxy with stub peers in one process. */
  @Command(name = "try", description = {
      "Starts a stub directory, two stub providers and a proxy on loopback, connects a client through the proxy and",
      "prints all lines. It then drains the client's provider and connects a client to the other one."})
  int runDemo(@Option(names = "--lines", paramLabel = "N", defaultValue = "3",
      description = "number of lines that the client sends (default: ${DEFAULT-VALUE})") int lines) throws IOException {
    if (lines < 1 || lines > 10_000) {
      throw new ParameterException(spec.commandLine(), "--lines: must be between 1 and 10000, but is " + lines);
    }
    try (Demo demo = new Demo(System.out)) {
      DemoResult result = demo.run(lines);
      System.out.println(result.summary());
      return result.hasSucceeded() ? 0 : 1;
    }
  }

  /** Runs stub peers for a proxy that is started separately. */
  @Command(name = "stand-in", description = {
      "Runs a stub directory and two stub providers until interrupted, for a proxy that is started separately with",
      "example/config.json."})
  int runStubs(@Option(names = "--directory", paramLabel = "PORT", defaultValue = "8500",
      description = "port of the directory (default: ${DEFAULT-VALUE})") int directoryPort,
      @Option(names = "--providers", paramLabel = "PORT", defaultValue = "3001",
          description = "port of the first provider; the second uses the next port (default: ${DEFAULT-VALUE})")
      int firstProviderPort) throws IOException, InterruptedException {
    try (StubProvider firstProvider = new StubProvider("toy-a", firstProviderPort, System.out::println);
        StubProvider secondProvider = new StubProvider("toy-b", firstProviderPort + 1, System.out::println);
        StubDirectory stubDirectory = new StubDirectory(directoryPort, System.out::println)) {
      stubDirectory.replaceEntries(firstProvider.directoryEntry("active"), secondProvider.directoryEntry("active"));
      System.out.println("directory on " + stubDirectory.address() + ", providers on " + firstProvider.address()
          + " and " + secondProvider.address());
      Thread.currentThread().join();
    }
    return 0;
  }

  /** Prints the reference page of experiment files. */
  @Command(name = "reference", description = "Prints the reference page of experiment files, generated from the code.")
  int printReference() {
    System.out.print(ExperimentFile.referencePage());
    return 0;
  }

  /** Runs a test client. */
  @Command(name = "client", description = {
      "Opens a connection through a running proxy, sends lines and prints the answers.",
      "Exits with 1 when the connection is rejected or a line is not returned."})
  int runClient(@Parameters(index = "0", paramLabel = "ADDRESS",
          description = "address of the proxy, such as 127.0.0.1:3000")
      String address, @Parameters(index = "1..*", paramLabel = "LINE", description = "lines to send")
      List<String> lines, @Option(names = "--class", paramLabel = "CLASS", defaultValue = "scan-tiles",
          description = "class of the connection (default: ${DEFAULT-VALUE})") String className,
      @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "0",
          description = "how long to retry connecting (default: ${DEFAULT-VALUE})") int connectTimeoutSeconds)
      throws IOException {
    InetSocketAddress proxy;
    try {
      proxy = Address.parse(address);
    } catch (IllegalArgumentException fault) {
      throw new ParameterException(spec.commandLine(), fault.getMessage(), fault);
    }
    List<String> linesToSend = lines == null ? List.of() : lines;
    return new LineClient(System.out)
        .run(proxy, className, linesToSend, Duration.ofSeconds(connectTimeoutSeconds)) ? 0 : 1;
  }

  /** Measures what logging costs under a flood of malformed requests. */
  @Command(name = "flood", description = {
      "Starts a proxy and floods it with clients that send malformed requests, once for each of several log settings,",
      "and prints how much was logged and what it cost."})
  int runFlood(@Option(names = "--rate", paramLabel = "N", defaultValue = "10000",
          description = "clients per second (default: ${DEFAULT-VALUE})") int clientsPerSecond,
      @Option(names = "--seconds", paramLabel = "N", defaultValue = "5",
          description = "duration of each run (default: ${DEFAULT-VALUE})") int seconds,
      @Option(names = "--platform", paramLabel = "FILE", defaultValue = "example/config.json",
          description = "file with the platform's JSON (default: ${DEFAULT-VALUE})") Path platform)
      throws IOException, InterruptedException {
    if (clientsPerSecond < 1 || clientsPerSecond > 100_000 || seconds < 1 || seconds > 600) {
      throw new ParameterException(spec.commandLine(),
          "--rate must be between 1 and 100000, and --seconds between 1 and 600");
    }
    LogFloodBenchmark flood = new LogFloodBenchmark(platform, clientsPerSecond, seconds);
    System.out.println(LogFloodBenchmark.FloodResult.tableHeader());
    System.out.println(flood.run("errors alone", List.of("log.level=error")).toTableRow());
    System.out.println(flood.run("default, text", List.of()).toTableRow());
    System.out.println(flood.run("default, JSON", List.of("log.format=json")).toTableRow());
    System.out.println(flood.run("no limit, text",
        List.of("log.rate=10000", "log.burst=100000", "log.queue=1MiB")).toTableRow());
    return 0;
  }
}
