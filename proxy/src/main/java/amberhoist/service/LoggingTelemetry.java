package amberhoist.service;

import amberhoist.core.Telemetry;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Latencies;
import amberhoist.metrics.Latencies.Span;
import amberhoist.net.watch.DirectoryWatch;
import amberhoist.relay.Relay;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Set;

/** Records the core's telemetry in the log and the latency histograms. */
final class LoggingTelemetry implements Telemetry {
  private final EventLog log;
  private final Latencies latencies;

  LoggingTelemetry(EventLog log, Latencies latencies) {
    this.log = log;
    this.latencies = latencies;
  }

  @Override
  public void onAttemptStarted(long invocation, String provider, int attempt) {
    log.log(Event.CALL_STARTED, "an attempt started", "invocation", invocation, "provider", provider, "attempt",
        attempt);
  }

  @Override
  public void onAttemptEnded(long invocation, String provider, Outcome outcome, long micros) {
    latencies.record(Span.CALL, micros);
    log.log(Event.CALL_ENDED, "an attempt ended", "invocation", invocation, "provider", provider, "outcome",
        outcome == null ? "up" : lowerCaseName(outcome), "micros", micros);
  }

  @Override
  public void onAnswered(long invocation, Answer answer, long micros) {
    latencies.record(answer == Answer.UP ? Span.SETUP : Span.TURNED_AWAY, micros);
    log.log(Event.INVOCATION_ANSWERED, "an invocation got its final answer", "invocation", invocation, "outcome",
        lowerCaseName(answer), "micros", micros);
  }

  @Override
  public void onSilentProvider(long invocation, String provider) {
    log.log(Event.PROVIDER_SILENT, "the provider is silent", "invocation", invocation, "provider", provider);
  }

  @Override
  public void onHandoverFailed(long invocation, String provider, String reason) {
    log.log(Event.HANDOVER_FAILED, "a handover has failed", "invocation", invocation, "provider", provider, "why",
        reason);
  }

  /** Counts the ends of relays by what ended them, and logs them. */
  record RelayLog(EventLog log, Counters counters) {
    void onRelayEnded(Relay relay) {
      counters.increment(switch (relay.end()) {
        case CLIENT_FIN -> Count.RELAY_CLIENT_FIN;
        case CLIENT_RESET -> Count.RELAY_CLIENT_RESET;
        case PROVIDER_FIN -> Count.RELAY_PROVIDER_FIN;
        case PROVIDER_RESET -> Count.RELAY_PROVIDER_RESET;
        case MOVE -> Count.RELAY_MOVE;
        case CLOSE -> Count.RELAY_CLOSE;
      });
      String end = lowerCaseName(relay.end());
      if (relay.undeliveredToClientBytes() + relay.undeliveredToProviderBytes() == 0) {
        log.log(Event.RELAY_ENDED, "a relay ended", "invocation", relay.invocationId(), "end", end, "why",
            relay.reason());
        return;
      }
      counters.increment(Count.RELAY_CUT);
      log.log(Event.RELAY_CUT, "a relay ended before all bytes were written", "invocation", relay.invocationId(), "end",
          end, "why", relay.reason(), "undelivered_to_client", relay.undeliveredToClientBytes(),
          "undelivered_to_provider", relay.undeliveredToProviderBytes());
    }
  }

  /** Logs answers and failures of the directory watch; runs {@code onAnswered} at the first update of each watch. */
  record DirectoryWatchLog(EventLog log, Runnable onAnswered) implements DirectoryWatch.Listener {
    @Override
    public void onWatchAnswered(InetSocketAddress address, long index, long millis) {
      log.log(Event.DIRECTORY_ANSWERED, "the directory at " + address + " has answered", "address", address, "index",
          index, "after_ms", millis);
      onAnswered.run();
    }

    @Override
    public void onMoved(InetSocketAddress newAddress) {
      log.log(Event.DIRECTORY_MOVED, "the list now comes from the directory at " + newAddress, "address", newAddress);
    }

    @Override
    public void onLineOverdue(InetSocketAddress address, long millis) {
      log.log(Event.DIRECTORY_SLOW, "the directory at " + address + " writes a line slowly", "address", address,
          "after_ms", millis);
    }

    @Override
    public void onWatchFailed(String why, long pauseMillis) {
      log.log(Event.DIRECTORY_FAILED, "the directory watch failed", "why", why, "pause_ms", pauseMillis);
    }

    @Override
    public void onUnreadableEntries(Set<String> providers) {
      log.log(Event.DIRECTORY_UNREAD, "cannot read directory entries", "providers", String.join(",", providers));
    }
  }

  private static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
