package amberhoist.metrics;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of the connections that clients asked for, by class: all that were taken are either in set-up or have
 * one outcome, which is counted once. Owned by the loop's thread. Other classes than those of the settings are not
 * counted, so that bad clients cannot make it grow.
 */
public final class Outcomes {
  /** How the set-up of a connection ended. */
  public enum Outcome {
    /** It was brought up. */
    SERVED,
    /** It was rejected, or its client left before the answer. */
    REFUSED,
    /** It failed. */
    FAILED
  }

  private final Map<String, long[]> taken = new LinkedHashMap<>();
  private long attempts;

  /** These classes are counted from now on; what has been counted of others stays. */
  public void classes(Collection<String> names) {
    names.forEach(name -> taken.computeIfAbsent(name, none -> new long[1 + Outcome.values().length]));
  }

  /** A client has asked for a connection of this class. */
  public void taken(String type) {
    add(type, 0);
  }

  /** The set-up of a connection of this class has ended; it comes once for each that was taken. */
  public void ended(String type, Outcome outcome) {
    add(type, 1 + outcome.ordinal());
  }

  private void add(String type, int at) {
    long[] counts = taken.get(type);
    if (counts != null) {
      counts[at]++;
    }
  }

  /** The line of an attempt has been written whole to a provider. */
  public void attempted() {
    attempts++;
  }

  /** How many lines of attempts were written whole. */
  public long attempts() {
    return attempts;
  }

  /** How many connections were taken, by class. */
  public Map<String, Long> takenByClass() {
    return column(0);
  }

  /** How many had this outcome, by class. */
  public Map<String, Long> byClass(Outcome outcome) {
    return column(1 + outcome.ordinal());
  }

  private Map<String, Long> column(int at) {
    Map<String, Long> column = new LinkedHashMap<>();
    taken.forEach((name, counts) -> column.put(name, counts[at]));
    return column;
  }

  /** How many are in set-up. */
  public long settingUp() {
    return taken.values().stream().mapToLong(counts -> counts[0] - counts[1] - counts[2] - counts[3]).sum();
  }
}
