package amberhoist.metrics;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the connections that clients requested, and the outcomes of their setup, by class. Each requested connection
 * is either in setup or has one outcome, which is counted once. Classes that are not in the settings are not counted,
 * so that misbehaving clients cannot make the table grow. Confined to the event loop's thread.
 */
public final class SetupOutcomes {
  /** How the setup of a connection ended. */
  public enum Outcome {
    /** Established: the provider answered UP. */
    SERVED,
    /** Rejected, or the client disconnected before the answer. */
    REFUSED,
    FAILED
  }

  private final Map<String, long[]> countsByClass = new LinkedHashMap<>();
  private long attempts;

  /** Adds classes to count; counts of earlier classes stay. */
  public void addClasses(Collection<String> names) {
    names.forEach(name -> countsByClass.computeIfAbsent(name, key -> new long[1 + Outcome.values().length]));
  }

  /** Counts a connection of this class that a client requested. */
  public void countRequested(String type) {
    increment(type, 0);
  }

  /** Counts the end of a setup; to be called once for each requested connection. */
  public void countEnded(String type, Outcome outcome) {
    increment(type, 1 + outcome.ordinal());
  }

  private void increment(String type, int index) {
    long[] counts = countsByClass.get(type);
    if (counts != null) {
      counts[index]++;
    }
  }

  /** Counts an attempt whose open request was completely written to a provider. */
  public void countAttempt() {
    attempts++;
  }

  /** The number of attempts whose open request was completely written. */
  public long attempts() {
    return attempts;
  }

  /** The number of requested connections, by class. */
  public Map<String, Long> requestedByClass() {
    return column(0);
  }

  /** The number of connections with this outcome, by class. */
  public Map<String, Long> endedByClass(Outcome outcome) {
    return column(1 + outcome.ordinal());
  }

  private Map<String, Long> column(int index) {
    Map<String, Long> column = new LinkedHashMap<>();
    countsByClass.forEach((type, counts) -> column.put(type, counts[index]));
    return column;
  }

  /** The number of connections in setup. */
  public long setupsInFlight() {
    return countsByClass.values().stream().mapToLong(counts -> counts[0] - counts[1] - counts[2] - counts[3]).sum();
  }
}
