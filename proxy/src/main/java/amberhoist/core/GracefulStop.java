package amberhoist.core;

import amberhoist.core.Invocation.Phase;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A graceful stop: serves on while the front may still send clients here, then rejects new invocations and moves all
 * established clients at an even pace, so that they do not all reconnect elsewhere at once. The moves begin late: where
 * proxies are restarted in turn, the previous one may still be starting, and a client that no proxy accepts is worse
 * off than one that stays. If another process already serves in place of this one, they begin at once and take all the
 * time there is.
 */
final class GracefulStop {
  /** Moves the client of an established invocation; {@code atOnce} without waiting for lines under way. */
  interface Mover {
    void move(long invocationId, boolean atOnce);
  }

  private static final long MOVE_INTERVAL_MICROS = 20_000;
  private static final long MIN_STOP_MICROS = 1_000_000; // so that late arrivals still get an answer
  private static final double MAX_MOVE_DELAY_FRACTION = 0.55; // of the duration of a short stop
  private static final long LAST_MOVES_MICROS = 150_000; // out of the 0.7 s until the process is killed

  private final SlotTable<Invocation> invocations;
  private final TimerWheel wheel;
  private final EventQueue events;
  private final Mover moveInvocation;
  private final Consumer<List<Long>> rejectUnanswered;
  private boolean rejecting;
  private Runnable onStopped;
  private long movesEnd; // when the clients moved last have been sent MOVE, whatever their providers do
  private double dueMoves; // the fraction of a move carried over to the next step

  /** Creates a stop; {@code rejectUnanswered} receives the invocations that have no answer at its end. */
  GracefulStop(SlotTable<Invocation> invocations, TimerWheel wheel, EventQueue events, Mover moveInvocation,
      Consumer<List<Long>> rejectUnanswered) {
    this.invocations = invocations;
    this.wheel = wheel;
    this.events = events;
    this.moveInvocation = moveInvocation;
    this.rejectUnanswered = rejectUnanswered;
  }

  /** Whether new invocations are rejected. */
  boolean isRejecting() {
    return rejecting;
  }

  /** Begins the stop, once only; {@code done} runs when no invocation is left. */
  void begin(long time, long maxClientWaitMicros, Timing timing, boolean hasSuccessor, Runnable done) {
    if (onStopped != null) {
      return;
    }
    onStopped = done;
    long durationMicros = Math.min(maxClientWaitMicros, timing.maxStopMicros());
    long moveDelayMicros = hasSuccessor ? 0
        : Math.max(timing.stopAcceptMicros(),
            Math.min(timing.stopMoveDelayMicros(), (long) (MAX_MOVE_DELAY_FRACTION * durationMicros)));
    long end = time + durationMicros + LAST_MOVES_MICROS;
    wheel.arm(time + timing.stopAcceptMicros(), at -> events.run(at, () -> rejecting = true));
    wheel.arm(time + moveDelayMicros, at -> step(at, Math.min(end, time + MIN_STOP_MICROS), end));
  }

  private void step(long time, long minEnd, long end) {
    events.run(time, () -> {
      List<Long> established = new ArrayList<>();
      List<Long> unanswered = new ArrayList<>();
      invocations.forEach(id -> (invocations.get(id).phase == Phase.ESTABLISHED ? established : unanswered).add(id));
      boolean isLast = events.now() + MOVE_INTERVAL_MICROS >= end;
      long moveEnd = end - Commands.MAX_MOVE_WAIT_MICROS; // the last MOVE is then sent by the end
      long steps = Math.floorDiv(moveEnd - events.now(), MOVE_INTERVAL_MICROS);
      dueMoves += (double) established.size() / Math.max(1, steps);
      long moves = steps <= 1 ? established.size() : (long) dueMoves;
      dueMoves -= moves;
      boolean atOnce = steps < 0; // established at the last moment: no time is left to wait
      established.stream().limit(moves).forEach(id -> moveInvocation.move(id, atOnce));
      movesEnd = moves == 0 || atOnce ? movesEnd : events.now() + Commands.MAX_MOVE_WAIT_MICROS;
      if (isLast) {
        rejectUnanswered.accept(unanswered);
      }
    });
    if (invocations.size() == 0 && time >= Math.max(minEnd, movesEnd)) {
      onStopped.run();
    } else {
      wheel.arm(time + MOVE_INTERVAL_MICROS, at -> step(at, minEnd, end));
    }
  }
}
