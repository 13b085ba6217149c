package amberhoist.lab.emulator;

import java.util.PriorityQueue;

/**
 * A clock that stands still until the next event. Events of the same time run in the order in which they were asked
 * for, so that a run is the same wherever it runs.
 */
public final class VirtualTime {
  private static final class Event implements Comparable<Event> {
    final long at;
    final long order;
    final Runnable task;

    Event(long at, long order, Runnable task) {
      this.at = at;
      this.order = order;
      this.task = task;
    }

    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
  private long now;
  private long order;
  private long handled;

  /** A clock that begins at this time, in microseconds. */
  public VirtualTime(long start) {
    now = start;
  }

  /** The time now. */
  public long now() {
    return now;
  }

  /** How many events have been handled. */
  public long handled() {
    return handled;
  }

  /** Runs this at that time, or now where it has passed. */
  public void at(long time, Runnable task) {
    events.add(new Event(Math.max(now, time), order++, task));
  }

  /** Runs this so many microseconds from now. */
  public void after(long micros, Runnable task) {
    at(now + micros, task);
  }

  /** Handles all events up to this time. */
  public void runUntil(long end) {
    for (Event next = events.peek(); next != null && next.at <= end; next = events.peek()) {
      events.poll();
      now = next.at;
      handled++;
      next.task.run();
    }
    now = Math.max(now, end);
  }
}
