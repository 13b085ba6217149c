package amberhoist.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * A table of numbered slots. A number holds the slot's index and its generation, which grows each time the
 * slot is given up: a late completion that still carries an old number finds nothing, whoever has it now.
 *
 * @param <T> what a slot holds
 */
public final class SlotTable<T> {
  /** A number that no slot ever has. */
  public static final long NONE = 0;

  private static final int INDEX_BITS = 20;
  private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

  private final List<T> values = new ArrayList<>();
  private final List<Long> generations = new ArrayList<>();
  private final List<Integer> free = new ArrayList<>();

  /** Takes a free slot for a value and gives its number. */
  public long add(T value) {
    if (free.isEmpty()) {
      if (values.size() > INDEX_MASK) {
        throw new IllegalStateException("slot table is full");
      }
      free.add(values.size());
      values.add(null);
      generations.add(1L);
    }
    int index = free.remove(free.size() - 1);
    values.set(index, value);
    return generations.get(index) << INDEX_BITS | index;
  }

  /** The value with this number, or null when it has been given up. */
  public T get(long number) {
    int index = (int) (number & INDEX_MASK);
    boolean current = index < values.size() && generations.get(index) == number >>> INDEX_BITS;
    return current ? values.get(index) : null;
  }

  /** Gives up a slot and returns what it held, or null when that number is no longer in use. */
  public T remove(long number) {
    T value = get(number);
    if (value != null) {
      int index = (int) (number & INDEX_MASK);
      values.set(index, null);
      generations.set(index, generations.get(index) + 1);
      free.add(index);
    }
    return value;
  }

  /** How many slots are in use. */
  public int size() {
    return values.size() - free.size();
  }

  /** Calls with every number in use, by index; the table may change meanwhile. */
  public void forEach(LongConsumer each) {
    for (int index = 0; index < values.size(); index++) {
      if (values.get(index) != null) {
        each.accept(generations.get(index) << INDEX_BITS | index);
      }
    }
  }
}
