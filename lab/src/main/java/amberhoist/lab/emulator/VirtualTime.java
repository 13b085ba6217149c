package amberhoist.lab.emulator;

import java.util.PriorityQueue;

/**
 * Virtual clock and event queue of a simulation, in microseconds. The clock advances only from event to event. Events
 * at the same time run in the order in which they were scheduled, so that runs are reproducible on any machine.
 */
public final class VirtualTime {
  private static final class Event implements Comparable<Event> {
    final long time;
    final long order;
    final Runnable task;

    Event(long time, long order, Runnable task) {
      this.time = time;
      this.order = order;
      this.task = task;
    }

    @Override
    public int compareTo(Event other) {
      return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
  private long now;
  private long nextOrder;
  private long handledEvents;

  /** Creates a clock that starts at this time, in microseconds. */
  public VirtualTime(long startMicros) {
    now = startMicros;
  }

  /** The current time in microseconds. */
  public long now() {
    return now;
  }

  /** The number of events handled. */
  public long handledEvents() {
    return handledEvents;
  }

  /** Schedules a task for this time, or for the current time if this one has passed. */
  public void runAt(long timeMicros, Runnable task) {
    events.add(new Event(Math.max(now, timeMicros), nextOrder++, task));
  }

  /** Schedules a task after this delay in microseconds. */
  public void runAfter(long delayMicros, Runnable task) {
    runAt(now + delayMicros, task);
  }

  /** Handles all events up to and including this time, and sets the clock to it. */
  public void runUntil(long endMicros) {
    for (Event next = events.peek(); next != null && next.time <= endMicros; next = events.peek()) {
      events.poll();
      now = next.time;
      handledEvents++;
      next.task.run();
    }
    now = Math.max(now, endMicros);
  }
}
