package amberhoist.cli;

import amberhoist.admin.AdminClient;
import amberhoist.admin.Status;
import amberhoist.config.AdminAddress;
import amberhoist.config.ProxyConfig;
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

/** Prints the status of a running instance. */
@Command(name = "status", description = {"Prints the status of a running instance, from its admin socket.",
    "The socket is taken from --admin, or from admin.listen of the configuration."})
final class StatusCommand implements Callable<Integer> {
  @Spec
  private CommandSpec spec;

  @Mixin
  private SourceOptions options;

  @Option(names = "--admin", paramLabel = "ADDRESS", description = "unix:/path or a loopback address")
  private String admin;

  @Option(names = "--json", description = "print the status as JSON")
  private boolean json;

  @Option(names = "--metrics", description = "print the metrics in the Prometheus text format")
  private boolean metrics;

  @Override
  public Integer call() throws IOException {
    String text = admin == null ? ProxyConfig.readOperatorKeys(options.sources(), false).operator().admin().listen()
        : admin;
    SocketAddress address;
    try {
      address = AdminAddress.parse(text);
    } catch (IllegalArgumentException fault) {
      throw new ParameterException(spec.commandLine(), "--admin: " + fault.getMessage(), fault);
    }
    if (address == null) {
      throw new ParameterException(spec.commandLine(), "no admin socket configured: set --admin or admin.listen");
    }
    String response;
    try {
      response = AdminClient.get(address, metrics ? "/metrics" : "/status");
    } catch (IOException fault) {
      throw new IOException("no answer from " + text + ": " + fault.getMessage(), fault);
    }
    System.out.print(json || metrics ? response : toPlainText(new ObjectMapper().readValue(response, Status.class)));
    return 0;
  }

  /** The status as plain text. */
  static String toPlainText(Status status) {
    StringBuilder out = new StringBuilder();
    out.append(String.format("%s %s, %s on %s for %.1f s, directory %s%n", status.name(), status.version(),
        status.state(), status.listen(), status.uptimeMs() / 1000.0, status.directory()));
    out.append(String.format("%d connections, %d invocations%n", status.connections(), status.invocations()));
    if (!status.restartNeeded().isEmpty()) {
      out.append("waiting for a restart: ").append(String.join(", ", status.restartNeeded())).append('\n');
    }
    if (status.reloadIgnored()) {
      out.append("started with SIGHUP ignored: that signal reloads nothing\n");
    }
    out.append(String.format("%n%-20s %-12s %-10s %-22s %8s%n", "provider", "zone", "state", "address", "standing"));
    status.providers().forEach(provider -> out.append(String.format("%-20s %-12s %-10s %-22s %8d%n",
        provider.name(), provider.zone(), provider.state(), provider.address(), provider.standing())));
    out.append(String.format("%n%-14s %10s %10s %10s %10s%n", "micros", "count", "p50", "p99", "max"));
    status.latencies().forEach((span, latency) -> out.append(String.format("%-14s %10d %10d %10d %10d%n", span,
        latency.count(), latency.p50(), latency.p99(), latency.max())));
    out.append('\n');
    status.counters().forEach((name, count) -> out.append(String.format("%-22s %12d%n", name, count)));
    out.append(String.format("%-22s %12d%n%-22s %12d%n", "log_suppressed", status.log().suppressed(),
        "log_dropped", status.log().dropped()));
    return out.toString();
  }
}
