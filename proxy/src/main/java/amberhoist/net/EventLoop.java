package amberhoist.net;

import amberhoist.clock.Clock;
import amberhoist.core.TimerWheel;
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
 * The single thread that runs the core and the decision module. I/O completions of the channel group and ticks of the
 * timer wheel run as tasks on it; no task may block.
 */
public final class EventLoop {
  /** Tick of the timer wheel in microseconds: well below the 50 ms by which a socket timeout may be late. */
  public static final long TICK_MICROS = 4_000;

  /** A tick later than this indicates a stall; below 0.1 s, after which nothing may start for a disconnected client. */
  private static final long STALL_MICROS = 5 * TICK_MICROS;

  private final Clock clock = new Clock();
  private final TimerWheel timerWheel = new TimerWheel(TICK_MICROS, clock.now());
  private final ScheduledThreadPoolExecutor executor;
  private final AsynchronousChannelGroup channelGroup;
  private final ArrayDeque<Runnable> readyTasks = new ArrayDeque<>();
  private final Queue<Runnable> urgentTasks = new ConcurrentLinkedQueue<>();
  private boolean running;
  private long lastTickAt = clock.now();
  private boolean stalled; // the last tick was so late that it fired no timer

  private final Consumer<Throwable> faultHandler;
  private final LongConsumer lagListener;

  /**
   * Starts the thread and its channel group.
   *
   * @param faultHandler receives every exception or error that a task throws
   * @param lagListener receives at each tick by how many microseconds it was late
   */
  public EventLoop(Consumer<Throwable> faultHandler, LongConsumer lagListener) throws IOException {
    this.faultHandler = faultHandler;
    this.lagListener = lagListener;
    executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(null, task, "loop", 1 << 18)); // 256 KiB of stack
    executor.setRemoveOnCancelPolicy(true);
    channelGroup = AsynchronousChannelGroup.withThreadPool(executor);
    executor.scheduleWithFixedDelay(() -> run(this::tick), TICK_MICROS, TICK_MICROS, TimeUnit.MICROSECONDS);
  }

  /**
   * Fires the expired timers, except on the first tick after the process was stalled, so that input received meanwhile
   * is handled first. Otherwise a timer could start work for a client whose FIN is still unread in its socket.
   */
  private void tick() {
    long now = clock.now();
    long delayMicros = Math.max(0, now - lastTickAt - TICK_MICROS);
    lagListener.accept(delayMicros);
    stalled = delayMicros > STALL_MICROS && !stalled;
    if (!stalled) {
      timerWheel.advance(now);
    }
    lastTickAt = clock.now();
  }

  /**
   * Queues a task ahead of all other tasks; may be called from any thread. Keeps operators' requests from waiting
   * behind a backlog of client input.
   */
  public void postUrgent(Runnable task) {
    urgentTasks.add(task);
    post(() -> { });
  }

  /** Queues a task behind those already queued; may be called from any thread. */
  public void post(Runnable task) {
    executor.execute(() -> run(task));
  }

  /**
   * Runs a task immediately or, when called from within another task, right after that one. A channel may complete an
   * operation within the call that starts it, and its handler must not interrupt the event being handled.
   */
  public void run(Runnable task) {
    readyTasks.add(task);
    if (running) {
      return;
    }
    running = true;
    for (Runnable next = readyTasks.poll(); next != null; next = readyTasks.poll()) {
      for (Runnable urgent = urgentTasks.poll(); urgent != null; urgent = urgentTasks.poll()) {
        runGuarded(urgent);
      }
      runGuarded(next);
    }
    running = false;
  }

  /** Runs a task and reports what it throws, errors such as OutOfMemoryError included, so that the loop goes on. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      faultHandler.accept(fault);
    }
  }

  /** The number of urgent tasks queued. */
  public int urgentTaskCount() {
    return urgentTasks.size();
  }

  /** The number of tasks queued, including the next tick. */
  public int queuedTaskCount() {
    return executor.getQueue().size();
  }

  /** The current time of {@link #clock} in microseconds. */
  public long now() {
    return clock.now();
  }

  /** The clock that timestamps all events. */
  public Clock clock() {
    return clock;
  }

  /** The timer wheel that holds all deadlines. */
  public TimerWheel timerWheel() {
    return timerWheel;
  }

  /** The group in which channels are opened. */
  public AsynchronousChannelGroup channelGroup() {
    return channelGroup;
  }

  /** Closes all channels and stops the thread. */
  public void close() {
    try {
      channelGroup.shutdownNow();
    } catch (IOException fault) {
      faultHandler.accept(fault);
    }
    executor.shutdownNow();
  }
}
