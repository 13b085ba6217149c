package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * A stop in good order: serves on while the front may still send here, then moves all standing clients at an
 * even pace, so that they do not all come back to the others at once, and rejects what still arrives. The
 * moves begin late: where proxies are restarted in turn, the one before may only just be starting, and a
 * client that nobody takes in is worse off than one that stays. Where another process serves in this one's place
 * already they begin at once, and take all the time there is.
 */
final class Stopping {
  private static final long STEP = 20_000; // between steps of moving clients
  private static final long LEAST = 1_000_000; // late arrivals still find someone who answers
  private static final double HOLD_PART = 0.55; // of the time there is, where that is short
  private static final long TAIL = 150_000; // of the 0.7 s until the kill, for the last moves

  private final SlotTable<Invocation> invocations;
  private final Wheel wheel;
  private final EventQueue events;
  private final LongConsumer move;
  private final Consumer<List<Long>> close;
  private boolean refusing;
  private Runnable stopped;
  private double due; // moves that have not come to a whole one yet

  /** A stop that moves invocations, and at its end closes those that are still owed an answer, in these ways. */
  Stopping(SlotTable<Invocation> invocations, Wheel wheel, EventQueue events, LongConsumer move,
      Consumer<List<Long>> close) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.move = move;
    this.close = close;
  }

  /** Whether what arrives now is to be rejected. */
  boolean refusing() {
    return refusing;
  }

  /** Begins; {@code done} is run when nothing is owed and nobody is joined any more. */
  void begin(long time, long deadlines, Timing timing, boolean succeeded,
      Runnable done) {
    if (stopped != null) {
      return;
    }
    stopped = done;
    long longest = Math.min(deadlines, timing.stopLongest());
    long hold = succeeded ? 0
        : Math.max(timing.stopRouted(), Math.min(timing.stopHold(), (long) (HOLD_PART * longest)));
    long end = time + longest + TAIL;
    wheel.arm(time + timing.stopRouted(), at -> events.run(at, () -> refusing = true));
    wheel.arm(time + hold, at -> step(at, Math.min(end, time + LEAST), end));
  }

  private void step(long time, long least, long end) {
    events.run(time, () -> {
      List<Long> joined = new ArrayList<>();
      List<Long> owed = new ArrayList<>();
      invocations.forEach(n -> (invocations.get(n).phase == Phase.UP ? joined : owed).add(n));
      boolean last = events.now() + STEP >= end;
      long steps = Math.max(1, (end - events.now()) / STEP);
      due += (double) joined.size() / steps;
      long moves = last ? joined.size() : (long) due;
      due -= moves;
      joined.stream().limit(moves).forEach(move::accept);
      if (last) {
        close.accept(owed);
      }
    });
    if (invocations.size() == 0 && time >= least) {
      stopped.run();
    } else {
      wheel.arm(time + STEP, at -> step(at, least, end));
    }
  }
}
