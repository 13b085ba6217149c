package amberhoist.cli;

import amberhoist.admin.AdminClient;
import amberhoist.admin.Status;
import amberhoist.config.AdminAddress;
import amberhoist.config.Setup;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Asks a running instance. */
@Command(name = "status", description = {"Asks a running instance through its admin socket.",
    "The socket is taken from --admin, or from admin.listen of the configuration."})
final class StatusCommand implements Callable<Integer> {
  @Spec
  private CommandSpec spec;

  @Mixin
  private SourceOptions options;

  @Option(names = "--admin", paramLabel = "ADDRESS", description = "unix:/path or a loopback address")
  private String admin;

  @Option(names = "--json", description = "the whole answer as JSON")
  private boolean json;

  @Option(names = "--metrics", description = "Prometheus' text")
  private boolean metrics;

  @Override
  public Integer call() throws IOException {
    String text = admin == null ? Setup.read(options.sources(), false).operator().admin().listen() : admin;
    SocketAddress address;
    try {
      address = AdminAddress.parse(text);
    } catch (IllegalArgumentException fault) {
      throw new ParameterException(spec.commandLine(), "--admin: " + fault.getMessage(), fault);
    }
    if (address == null) {
      throw new ParameterException(spec.commandLine(), "no admin socket is set: give --admin or admin.listen");
    }
    String answer;
    try {
      answer = AdminClient.ask(address, metrics ? "/metrics" : "/status");
    } catch (IOException fault) {
      throw new IOException("nobody answers on " + text + ": " + fault.getMessage(), fault);
    }
    System.out.print(json || metrics ? answer : plain(new ObjectMapper().readValue(answer, Status.class)));
    return 0;
  }

  /** A status for people. */
  static String plain(Status status) {
    StringBuilder out = new StringBuilder();
    out.append(String.format("%s %s, %s on %s for %.1f s, directory %s%n", status.name(), status.version(),
        status.state(), status.listen(), status.uptimeMs() / 1000.0, status.directory()));
    out.append(String.format("%d connections, %d invocations%n", status.connections(), status.invocations()));
    if (!status.restartNeeded().isEmpty()) {
      out.append("waiting for a restart: ").append(String.join(", ", status.restartNeeded())).append('\n');
    }
    out.append(String.format("%n%-20s %-12s %-10s %-22s %8s%n", "provider", "zone", "state", "address", "standing"));
    status.providers().forEach(provider -> out.append(String.format("%-20s %-12s %-10s %-22s %8d%n",
        provider.name(), provider.zone(), provider.state(), provider.address(), provider.standing())));
    out.append(String.format("%n%-14s %10s %10s %10s %10s%n", "micros", "count", "p50", "p99", "max"));
    status.latencies().forEach((span, of) -> out.append(String.format("%-14s %10d %10d %10d %10d%n", span,
        of.count(), of.p50(), of.p99(), of.max())));
    out.append('\n');
    status.counters().forEach((name, count) -> out.append(String.format("%-22s %12d%n", name, count)));
    out.append(String.format("%-22s %12d%n%-22s %12d%n", "log_suppressed", status.log().suppressed(),
        "log_dropped", status.log().dropped()));
    return out.toString();
  }
}
