package amberhoist.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * A table of slots with ids. An id holds the slot's index and its generation, which grows each time the slot is freed:
 * a late completion that still carries an old id finds nothing, even if the slot is in use again.
 *
 * @param <T> the type of the values
 */
public final class SlotTable<T> {
  /** An id that no slot ever has. */
  public static final long NONE = 0;

  private static final int INDEX_BITS = 20;
  private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

  private final List<T> values = new ArrayList<>();
  private final List<Long> generations = new ArrayList<>();
  private final List<Integer> freeIndexes = new ArrayList<>();

  /** Stores a value in a free slot and returns its id. */
  public long add(T value) {
    if (freeIndexes.isEmpty()) {
      if (values.size() > INDEX_MASK) {
        throw new IllegalStateException("slot table is full");
      }
      freeIndexes.add(values.size());
      values.add(null);
      generations.add(1L);
    }
    int index = freeIndexes.remove(freeIndexes.size() - 1);
    values.set(index, value);
    return generations.get(index) << INDEX_BITS | index;
  }

  /** Returns the value with this id, or null if the id is no longer in use. */
  public T get(long id) {
    int index = (int) (id & INDEX_MASK);
    boolean current = index < values.size() && generations.get(index) == id >>> INDEX_BITS;
    return current ? values.get(index) : null;
  }

  /** Frees a slot and returns its value, or null if the id is no longer in use. */
  public T remove(long id) {
    T value = get(id);
    if (value != null) {
      int index = (int) (id & INDEX_MASK);
      values.set(index, null);
      generations.set(index, generations.get(index) + 1);
      freeIndexes.add(index);
    }
    return value;
  }

  /** The number of slots in use. */
  public int size() {
    return values.size() - freeIndexes.size();
  }

  /** Calls the action with every id in use, ordered by index; the action may change the table. */
  public void forEach(LongConsumer action) {
    for (int index = 0; index < values.size(); index++) {
      if (values.get(index) != null) {
        action.accept(generations.get(index) << INDEX_BITS | index);
      }
    }
  }
}
