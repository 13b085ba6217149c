package amberhoist.metrics;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Counters of the proxy's work since its start. Confined to the event loop's thread. */
public final class Counters {
  /** The counted events. Each is exported as a metric under its name in lower case. */
  public enum Count {
    ACCEPTED,
    ACCEPT_FAILED,
    PINGED,
    MALFORMED,
    EVICTED,
    CROWDED_OUT,
    INVOCATIONS,
    HANDOVERS,
    CALLS,
    CALL_UP,
    CALL_ERROR,
    CALL_BUSY,
    CALL_TIMED_OUT,
    CALL_CONNECT_FAILED,
    CALL_RESET,
    CALL_ABANDONED,
    ANSWERED_UP,
    ANSWERED_REJECTION,
    ANSWERED_FAILURE,
    CLIENT_LEFT,
    MOVED,
    SILENT,
    DELAYS,
    REPORTS_ASKED,
    REPORTS,
    ENDED_SERVED,
    ENDED_MOVED_AWAY,
    ENDED_RESET,
    RELAY_CLIENT_FIN,
    RELAY_CLIENT_RESET,
    RELAY_PROVIDER_FIN,
    RELAY_PROVIDER_RESET,
    RELAY_MOVE,
    RELAY_CLOSE,
    RELAY_CUT,
    LINES_TO_PROVIDERS,
    LINES_TO_CLIENTS,
    DIRECTORY_WATCHES,
    DIRECTORY_FAILURES,
    DIRECTORY_NEWS,
    DIRECTORY_UNREAD,
    RELOADS,
    RELOADS_REFUSED,
    BROKEN_INVARIANTS
  }

  private final Map<Count, Long> counts = new EnumMap<>(Count.class);
  private final SetupOutcomes setupOutcomes = new SetupOutcomes();

  /** The outcomes of the connections that clients requested, by class. */
  public SetupOutcomes setupOutcomes() {
    return setupOutcomes;
  }

  /** Adds one to a counter. */
  public void increment(Count count) {
    counts.merge(count, 1L, Long::sum);
  }

  /** The current value of a counter. */
  public long get(Count count) {
    return counts.getOrDefault(count, 0L);
  }

  /** All counters that are not zero, by their names in lower case. */
  public Map<String, Long> nonZero() {
    Map<String, Long> all = new LinkedHashMap<>();
    counts.forEach((count, value) -> all.put(count.name().toLowerCase(Locale.ROOT), value));
    return all;
  }

  /**
   * Checks an invariant. A violation throws an {@link AssertionError} if assertions are enabled (java -ea); otherwise
   * it is counted and the proxy continues.
   */
  public void checkInvariant(boolean holds, String message) {
    assert holds : message;
    if (!holds) {
      increment(Count.BROKEN_INVARIANTS);
    }
  }

  /** All counters that are not zero, on one line. */
  @Override
  public String toString() {
    return nonZero().entrySet().stream().map(e -> e.getKey() + '=' + e.getValue())
        .collect(Collectors.joining(" "));
  }
}
