package amberhoist.core;

/**
 * A timer wheel with coarse ticks. A timer fires in the first advance at or past its time, rounded up to a whole tick:
 * up to one tick late and never early. Reads no clock: {@link #advance} receives the time in microseconds.
 */
public final class TimerWheel {
  /** The action of a timer. */
  @FunctionalInterface
  public interface Task {
    /** Runs once, at or after the time requested; {@code now} is the time at which the timer fires. */
    void run(long now);
  }

  /** A timer that is armed, has fired, or has been cancelled. */
  public static final class Timer {
    private final long tick;
    private final Task task;
    private Timer previous;
    private Timer next;

    private Timer(long tick, Task task) {
      this.tick = tick;
      this.task = task;
    }

    private void unlink() {
      previous.next = next;
      next.previous = previous;
      previous = null;
      next = null;
    }

    /** Cancels the timer; does nothing if it has fired or was cancelled. */
    public void cancel() {
      if (previous != null) {
        unlink();
      }
    }
  }

  private static final int BUCKET_COUNT = 1024;

  private final long tickMicros;
  private final Timer[] buckets = new Timer[BUCKET_COUNT]; // sentinels of circular lists
  private long completedTick; // the last tick of which all timers have fired
  private long currentTick;

  /** Creates a wheel with ticks of this length, at this time of the clock. */
  public TimerWheel(long tickMicros, long now) {
    this.tickMicros = tickMicros;
    completedTick = now / tickMicros;
    currentTick = completedTick;
    for (int i = 0; i < BUCKET_COUNT; i++) {
      Timer sentinel = new Timer(0, null);
      sentinel.previous = sentinel;
      sentinel.next = sentinel;
      buckets[i] = sentinel;
    }
  }

  /** Arms a timer; one whose time has passed fires in the next advance that reaches a new tick. */
  public Timer arm(long at, Task task) {
    long tick = Math.max(currentTick + 1, (at + tickMicros - 1) / tickMicros);
    Timer timer = new Timer(tick, task);
    Timer sentinel = buckets[(int) (tick % BUCKET_COUNT)];
    timer.previous = sentinel.previous;
    timer.next = sentinel;
    sentinel.previous.next = timer;
    sentinel.previous = timer;
    return timer;
  }

  /** Fires the timers due by now, tick by tick, in order of arming; after a throw, the next call resumes the tick. */
  public void advance(long now) {
    long targetTick = now / tickMicros;
    while (completedTick < targetTick) {
      currentTick = Math.max(completedTick + 1, targetTick - BUCKET_COUNT + 1); // at most one round, after a stall
      Timer sentinel = buckets[(int) (currentTick % BUCKET_COUNT)];
      Timer next = sentinel.next;
      while (next != sentinel) {
        Timer timer = next;
        next = timer.next;
        if (timer.tick <= currentTick) {
          timer.unlink();
          timer.task.run(now);
          next = sentinel.next; // the task may have changed this bucket: restart from its head
        }
      }
      completedTick = currentTick;
    }
  }
}
