package amberhoist.directory;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which watches of the directory stay open when its address changes. Updates are applied from every open watch;
 * a watch is closed at the first update of a newer one, so that no update of an older address follows one of a newer
 * address. Until then it stays open: the newer one may wait for its first update for seconds, and another change of the
 * address may come before that.
 *
 * <p>A watch whose line is overdue, but still being written, stays open too, and another one is opened beside it.
 * Whichever sends an update first goes on; if that is the older one, the one beside it is closed.
 *
 * <p>At most {@link #MAX_WATCHES} are open: the one that has sent updates, the one that has waited longest for its
 * first update, and the newest. Does no I/O and reads no clock.
 */
public final class WatchSuccession {
  /** The maximum number of open watches. */
  public static final int MAX_WATCHES = 3;

  private static final long NONE = -1;

  private final List<Long> waiting = new ArrayList<>(); // without an update so far, oldest first
  private long updating = NONE; // has sent updates, and is older than all that wait
  private long newest = NONE; // at the current address; NONE while that one has no watch
  private long overdue = NONE; // an earlier one at the current address, beside which the newest was opened

  /**
   * A watch was opened at the current address, after the one before has ended or the address has changed.
   *
   * @return the watches to be closed
   */
  public List<Long> onOpened(long watchId) {
    overdue = NONE;
    return add(watchId);
  }

  /**
   * A watch was opened beside the newest, whose line is overdue.
   *
   * @return the watches to be closed
   */
  public List<Long> onOpenedBeside(long watchId) {
    overdue = overdue == NONE ? newest : overdue;
    return add(watchId);
  }

  private List<Long> add(long watchId) {
    newest = watchId;
    waiting.add(watchId);
    int maxWaiting = MAX_WATCHES - 1;
    return waiting.size() <= maxWaiting ? List.of() : List.of(waiting.remove(maxWaiting - 1));
  }

  /**
   * An open watch has sent an update of the list.
   *
   * @return the watches to be closed: all older ones, and the one beside it
   */
  public List<Long> onUpdate(long watchId) {
    List<Long> closed = new ArrayList<>();
    if (watchId == overdue) {
      closed.addAll(waiting.subList(waiting.indexOf(watchId) + 1, waiting.size()));
      waiting.removeAll(closed);
      newest = watchId;
    }
    if (watchId == overdue || watchId == newest) {
      overdue = NONE;
    }
    int position = waiting.indexOf(watchId);
    if (position >= 0) {
      closed.addAll(waiting.subList(0, position));
      if (updating != NONE) {
        closed.add(updating);
      }
      waiting.subList(0, position + 1).clear();
      updating = watchId;
    }
    return closed;
  }

  /**
   * A watch has ended by itself or has failed.
   *
   * @return whether it was the newest, so that another one is to be opened at the current address
   */
  public boolean onEnded(long watchId) {
    waiting.remove(watchId);
    updating = updating == watchId ? NONE : updating;
    overdue = overdue == watchId ? NONE : overdue;
    boolean wasNewest = newest == watchId;
    newest = wasNewest ? NONE : newest;
    return wasNewest;
  }

  /** Whether a watch is open at the current address. */
  public boolean isWatching() {
    return newest != NONE;
  }

  /** Whether this watch is the newest, at the current address. */
  public boolean isNewest(long watchId) {
    return newest == watchId;
  }

  /** All open watches. */
  public List<Long> openWatches() {
    List<Long> open = new ArrayList<>(waiting);
    if (updating != NONE) {
      open.add(updating);
    }
    return open;
  }
}
