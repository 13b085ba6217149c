package amberhoist.metrics;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** What the proxy has taken in, sent and answered so far. Owned by the loop's thread. */
public final class Counters {
  /** The things that are counted. */
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
  private final Outcomes outcomes = new Outcomes();

  /** What became of the connections asked for, by class. */
  public Outcomes outcomes() {
    return outcomes;
  }

  /** Counts one more. */
  public void add(Count count) {
    counts.merge(count, 1L, Long::sum);
  }

  /** How many so far. */
  public long get(Count count) {
    return counts.getOrDefault(count, 0L);
  }

  /** All counts that are not zero, by their names in small letters. */
  public Map<String, Long> all() {
    Map<String, Long> all = new LinkedHashMap<>();
    counts.forEach((count, number) -> all.put(count.name().toLowerCase(Locale.ROOT), number));
    return all;
  }

  /**
   * States what must hold at this point: an assertion in debug builds (java -ea), a count in release builds,
   * where the proxy carries on.
   */
  public void invariant(boolean holds, String what) {
    assert holds : what;
    if (!holds) {
      add(Count.BROKEN_INVARIANTS);
    }
  }

  /** All counts that are not zero, on one line. */
  @Override
  public String toString() {
    return all().entrySet().stream().map(e -> e.getKey() + '=' + e.getValue())
        .collect(Collectors.joining(" "));
  }
}
