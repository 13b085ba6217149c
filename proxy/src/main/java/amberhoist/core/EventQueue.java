package amberhoist.core;

import java.util.ArrayDeque;

/** The core's events, one after the other: one that comes up while another is handled waits until that is done. */
final class EventQueue {
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private boolean busy;
  private long now;

  /** Runs an event now, or after the one at hand. */
  void run(long time, Runnable body) {
    events.add(body);
    if (busy) {
      return;
    }
    busy = true;
    now = Math.max(now, time);
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        next.run();
      }
    } finally {
      busy = false;
    }
  }

  /** Runs this after the event at hand. */
  void after(Runnable body) {
    events.add(body);
  }

  /** The time of the event at hand: never earlier than that of any before it. */
  long now() {
    return now;
  }
}
