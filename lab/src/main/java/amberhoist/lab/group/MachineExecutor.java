package amberhoist.lab.group;

import amberhoist.lab.emulator.VirtualTime;
import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs the tasks of one life of a machine, one after the other, in virtual time: none after that life has ended, and
 * late where the machine stands still.
 */
public final class MachineExecutor implements RaftNodeExecutor {
  /** The machine. */
  public interface Machine {
    /** Differs with each start. */
    int life();

    /** Until when it stands still. */
    long pausedUntil();
  }

  private final VirtualTime time;
  private final Machine machine;
  private final int life;

  /** An executor for this life of the machine. */
  public MachineExecutor(VirtualTime time, Machine machine, int life) {
    this.time = time;
    this.machine = machine;
    this.life = life;
  }

  private void at(long when, Runnable task) {
    time.at(Math.max(when, machine.pausedUntil()), () -> {
      if (machine.life() != life) {
        return;
      }
      if (time.now() < machine.pausedUntil()) {
        at(machine.pausedUntil(), task);
      } else {
        task.run();
      }
    });
  }

  @Override
  public void execute(Runnable task) {
    at(time.now(), task);
  }

  @Override
  public void submit(Runnable task) {
    at(time.now(), task);
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    at(time.now() + unit.toMicros(delay), task);
  }
}
