package amberhoist.decide.table;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * A table by names that clients choose. Its memory is bounded, whatever they choose: above the bound, the entries that
 * have not been used for the longest time are removed. Makes no decisions.
 *
 * @param <V> the type of the values
 */
public final class BoundedTable<V> {
  /** Estimated memory of an entry besides the characters of its name and the value's own part, in bytes. */
  public static final int ENTRY_BYTES = 160;

  private record Entry<V>(V value, long bytes) {}

  private final long maxBytes;
  private final Map<String, Entry<V>> entries = new LinkedHashMap<>(16, 0.75f, true); // least recently used first
  private long bytes;

  /** Creates an empty table that holds entries of this many bytes in all; the latest entry is always held. */
  public BoundedTable(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** The value of this name, or null. */
  public V get(String name) {
    Entry<V> entry = entries.get(name);
    return entry == null ? null : entry.value;
  }

  /** Stores a value, which replaces an earlier one of this name, and takes {@code valueBytes} by itself. */
  public void put(String name, V value, long valueBytes) {
    Entry<V> entry = new Entry<>(value, ENTRY_BYTES + name.length() + valueBytes);
    Entry<V> previous = entries.put(name, entry);
    bytes += entry.bytes - (previous == null ? 0 : previous.bytes);
    Iterator<Entry<V>> eldest = entries.values().iterator();
    while (bytes > maxBytes && entries.size() > 1) {
      bytes -= eldest.next().bytes;
      eldest.remove();
    }
  }

  /** The value of this name; stores the one supplied if there is none. */
  public V computeIfAbsent(String name, Supplier<V> supplier) {
    V value = get(name);
    if (value == null) {
      value = supplier.get();
      put(name, value, 0);
    }
    return value;
  }

  /** Removes a name, if it is there. */
  public void remove(String name) {
    Entry<V> removed = entries.remove(name);
    bytes -= removed == null ? 0 : removed.bytes;
  }

  /** Removes the names whose values match. */
  public void removeIf(Predicate<V> predicate) {
    entries.values().removeIf(entry -> {
      boolean matches = predicate.test(entry.value);
      bytes -= matches ? entry.bytes : 0;
      return matches;
    });
  }

  /** Runs the action on each value. */
  public void forEach(Consumer<V> action) {
    entries.values().forEach(entry -> action.accept(entry.value));
  }

  /** Removes all names. */
  public void clear() {
    entries.clear();
    bytes = 0;
  }

  /** The number of entries. */
  public int size() {
    return entries.size();
  }
}
