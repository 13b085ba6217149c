package amberhoist.admin;

import java.util.List;
import java.util.Map;

/**
 * What an instance says of itself at one moment.
 *
 * @param state {@code serving} or {@code stopping}
 * @param uptimeMs since it listens
 * @param connections sockets held
 * @param invocations held, called or joined
 * @param counters by name, those that are not zero
 * @param latencies by name, in microseconds
 * @param restartNeeded keys that changed and wait for a restart
 */
public record Status(String name, String version, String state, String listen, String directory, long uptimeMs,
    int connections, int invocations, List<Provider> providers, Map<String, Long> counters,
    Map<String, Latency> latencies, LogStatus log, List<String> restartNeeded) {
  /**
   * A provider as the directory told last.
   *
   * @param standing clients joined to it through this instance
   */
  public record Provider(String name, String zone, String state, String address, int standing) {}

  /** Of one span: how many, and quantiles in microseconds. */
  public record Latency(long count, long p50, long p99, long max) {}

  /** Lines that the log left out: over an event's rate, and for want of a reader. */
  public record LogStatus(long suppressed, long dropped) {}
}
