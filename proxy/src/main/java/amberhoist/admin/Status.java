package amberhoist.admin;

import java.util.List;
import java.util.Map;

/**
 * A snapshot of an instance. Its components are the fields of the JSON served at {@code /status}.
 *
 * @param state {@code serving} or {@code stopping}
 * @param uptimeMs milliseconds since the instance started to listen
 * @param connections open sockets
 * @param invocations invocations that are pending, in an attempt or established
 * @param counters values by name, without those that are zero
 * @param latencies latencies by the name of the span, in microseconds
 * @param restartNeeded changed keys that need a restart to take effect
 * @param reloadIgnored whether the process was started with SIGHUP ignored, so that the signal reloads nothing
 */
public record Status(String name, String version, String state, String listen, String directory, long uptimeMs,
    int connections, int invocations, List<Provider> providers, Map<String, Long> counters,
    Map<String, Latency> latencies, LogStatus log, List<String> restartNeeded,
    boolean reloadIgnored) {
  /**
   * A provider as last reported by the directory.
   *
   * @param standing connections that this instance has established with it
   */
  public record Provider(String name, String zone, String state, String address, int standing) {}

  /** The latencies of one span: number of values, and quantiles in microseconds. */
  public record Latency(long count, long p50, long p99, long max) {}

  /** Log lines that were left out: suppressed by a rate limit, or dropped for a slow reader of standard error. */
  public record LogStatus(long suppressed, long dropped) {}
}
