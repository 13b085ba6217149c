package amberhoist.net;

import amberhoist.clock.Clock;
import amberhoist.core.Wheel;
import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The one thread that owns core and module. Completions of the channel group and the wheel's ticks are tasks
 * on it; none of them may block.
 */
public final class Loop {
  /** The wheel's tick: well below the 50 ms by which a time limit on sockets may be passed. */
  public static final long TICK = 4_000;

  private static final long STALL = 5 * TICK; // far inside the 0.1 s after which nothing is done for who has left

  private final Clock clock = new Clock();
  private final Wheel wheel = new Wheel(TICK, clock.now());
  private final ScheduledThreadPoolExecutor executor;
  private final AsynchronousChannelGroup group;
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final Queue<Runnable> urgent = new ConcurrentLinkedQueue<>();
  private boolean running;
  private long lastTick = clock.now();
  private boolean stalled; // the last tick came so late that no timer was fired in it

  private final Consumer<Throwable> faults;
  private final LongConsumer lag;

  /**
   * Starts the thread and its channel group.
   *
   * @param faults is told of a task that failed
   * @param lag is told at each tick by how many microseconds it came late
   */
  public Loop(Consumer<Throwable> faults, LongConsumer lag) throws IOException {
    this.faults = faults;
    this.lag = lag;
    executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(null, task, "loop", 1 << 18));
    executor.setRemoveOnCancelPolicy(true);
    group = AsynchronousChannelGroup.withThreadPool(executor);
    executor.scheduleWithFixedDelay(() -> run(this::tick), TICK, TICK, TimeUnit.MICROSECONDS);
  }

  /**
   * Fires the timers that are due, but for once after this process stood still: what has come meanwhile is still to be
   * read, and goes first. Guards against a timer that begins something for a client whose end waits in its socket.
   */
  private void tick() {
    long now = clock.now();
    long late = Math.max(0, now - lastTick - TICK);
    lag.accept(late);
    stalled = late > STALL && !stalled;
    if (!stalled) {
      wheel.advance(now);
    }
    lastTick = clock.now();
  }

  /**
   * Runs a task at the next turn, ahead of all that waits; from any thread. Guards against operators waiting behind
   * whatever a crowd of clients has brought.
   */
  public void ahead(Runnable task) {
    urgent.add(task);
    post(() -> { });
  }

  /** Runs a task behind those that are already waiting. */
  public void post(Runnable task) {
    executor.execute(() -> run(task));
  }

  /**
   * Runs a task now, or, when called from within another task, right after that. A channel may complete an
   * operation within the call that starts it; its handler must not act in the middle of the event at hand.
   */
  public void run(Runnable task) {
    tasks.add(task);
    if (running) {
      return;
    }
    running = true;
    for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
      for (Runnable first = urgent.poll(); first != null; first = urgent.poll()) {
        guard(first);
      }
      guard(next);
    }
    running = false;
  }

  /** One fault must not end the loop, nor go unseen; so too when memory ran out for one task. */
  private void guard(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      faults.accept(fault);
    }
  }

  /** How many tasks wait that go ahead of all others. */
  public int waitingAhead() {
    return urgent.size();
  }

  /** How many tasks wait, the next tick among them. */
  public int waiting() {
    return executor.getQueue().size();
  }

  /** The clock of all events. */
  public long now() {
    return clock.now();
  }

  /** The clock itself. */
  public Clock clock() {
    return clock;
  }

  /** All deadlines. */
  public Wheel wheel() {
    return wheel;
  }

  /** The group to open channels in. */
  public AsynchronousChannelGroup group() {
    return group;
  }

  /** Closes all channels and ends the thread. */
  public void close() {
    try {
      group.shutdownNow();
    } catch (IOException closed) {
      faults.accept(closed);
    }
    executor.shutdownNow();
  }
}
