package amberhoist.net;

import amberhoist.clock.Clock;
import amberhoist.core.Wheel;
import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that owns core and module. Completions of the channel group and the wheel's ticks are tasks
 * on it; none of them may block.
 */
public final class Loop {
  /** The wheel's tick: well below the 50 ms by which a time limit on sockets may be passed. */
  public static final long TICK = 4_000;

  private final Clock clock = new Clock();
  private final Wheel wheel = new Wheel(TICK, clock.now());
  private final ScheduledThreadPoolExecutor executor;
  private final AsynchronousChannelGroup group;
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private boolean running;

  /** Starts the thread and its channel group. */
  public Loop() throws IOException {
    executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(null, task, "loop", 1 << 18));
    executor.setRemoveOnCancelPolicy(true);
    group = AsynchronousChannelGroup.withThreadPool(executor);
    executor.scheduleWithFixedDelay(() -> run(this::tick), TICK, TICK, TimeUnit.MICROSECONDS);
  }

  private void tick() {
    wheel.advance(clock.now());
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
      guard(next);
    }
    running = false;
  }

  /** One fault must not end the loop, nor go unseen; so too when memory ran out for one task. */
  private static void guard(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      System.err.println("fault: " + fault);
      fault.printStackTrace();
    }
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
      System.err.println("closing: " + closed);
    }
    executor.shutdownNow();
  }
}
