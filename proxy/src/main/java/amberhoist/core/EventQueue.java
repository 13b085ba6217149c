package amberhoist.core;

import java.util.ArrayDeque;

/** Runs the core's events one after another: an event raised while another runs is queued until that one is done. */
final class EventQueue {
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private boolean running;
  private long now;

  /** Runs an event now, or after those already running or queued; {@code time} in microseconds. */
  void run(long time, Runnable event) {
    events.add(event);
    if (running) {
      return;
    }
    running = true;
    now = Math.max(now, time);
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        next.run();
      }
    } finally {
      running = false;
    }
  }

  /** Queues an event to run after the current one. */
  void runLater(Runnable event) {
    events.add(event);
  }

  /** The time of the current event in microseconds, never earlier than that of any previous event. */
  long now() {
    return now;
  }
}
