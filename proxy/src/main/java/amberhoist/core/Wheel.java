package amberhoist.core;

/**
 * All deadlines, on a wheel of coarse ticks. A timer fires in the first advance at or past its time, by whole
 * ticks, so up to one tick late and never early. It reads no clock: {@link #advance} brings the time.
 */
public final class Wheel {
  /** What a timer does, given the clock's time at which it fires. */
  @FunctionalInterface
  public interface Task {
    /** Runs once, at or after the time asked for. */
    void run(long now);
  }

  /** A timer that is armed, has fired, or has been cancelled. */
  public static final class Timer {
    private final long tick;
    private final Task task;
    private Timer before;
    private Timer after;

    private Timer(long tick, Task task) {
      this.tick = tick;
      this.task = task;
    }

    private void unlink() {
      before.after = after;
      after.before = before;
      before = null;
      after = null;
    }

    /** Takes the timer off the wheel; harmless after it has fired. */
    public void cancel() {
      if (before != null) {
        unlink();
      }
    }
  }

  private static final int SPOKES = 1024;

  private final long tickMicros;
  private final Timer[] spokes = new Timer[SPOKES];
  private long done; // the last tick of which all timers have fired
  private long current; // the tick at hand

  /** A wheel whose ticks last so many microseconds, at this time of the clock. */
  public Wheel(long tickMicros, long now) {
    this.tickMicros = tickMicros;
    done = now / tickMicros;
    current = done;
    for (int i = 0; i < SPOKES; i++) {
      Timer rim = new Timer(0, null);
      rim.before = rim;
      rim.after = rim;
      spokes[i] = rim;
    }
  }

  /** Arms a timer; one whose time has passed fires in the next advance that reaches a new tick. */
  public Timer arm(long at, Task task) {
    long tick = Math.max(current + 1, (at + tickMicros - 1) / tickMicros);
    Timer timer = new Timer(tick, task);
    Timer rim = spokes[(int) (tick % SPOKES)];
    timer.before = rim.before;
    timer.after = rim;
    rim.before.after = timer;
    rim.before = timer;
    return timer;
  }

  /**
   * Moves on to this time and fires what has fallen due, tick by tick, in the order of arming within one.
   * A tick whose task threw is finished by the next advance.
   */
  public void advance(long now) {
    long target = now / tickMicros;
    while (done < target) {
      current = Math.max(done + 1, target - SPOKES + 1); // after a long stall one round visits all spokes
      Timer rim = spokes[(int) (current % SPOKES)];
      Timer next = rim.after;
      while (next != rim) {
        Timer timer = next;
        next = timer.after;
        if (timer.tick <= current) {
          timer.unlink();
          timer.task.run(now);
          next = rim.after; // the task may have changed this spoke: look again from its start
        }
      }
      done = current;
    }
  }
}
