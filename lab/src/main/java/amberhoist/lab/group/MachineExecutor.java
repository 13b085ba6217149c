package amberhoist.lab.group;

import amberhoist.lab.emulator.VirtualTime;
import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs the tasks of one incarnation of a machine's process in virtual time. Tasks are dropped once the process has
 * ended, and delayed while it is suspended.
 */
public final class MachineExecutor implements RaftNodeExecutor {
  /** The machine whose process runs the tasks. */
  public interface Machine {
    /** Number of the current incarnation; changes with every start and crash. */
    int incarnation();

    /** Virtual time in microseconds until which the process is suspended; in the past if it runs. */
    long pausedUntilMicros();
  }

  private final VirtualTime time;
  private final Machine machine;
  private final int incarnation;

  /** Creates an executor for this incarnation of the machine's process. */
  public MachineExecutor(VirtualTime time, Machine machine, int incarnation) {
    this.time = time;
    this.machine = machine;
    this.incarnation = incarnation;
  }

  private void scheduleAt(long micros, Runnable task) {
    time.runAt(Math.max(micros, machine.pausedUntilMicros()), () -> {
      if (machine.incarnation() != incarnation) {
        return;
      }
      if (time.now() < machine.pausedUntilMicros()) {
        scheduleAt(machine.pausedUntilMicros(), task);
      } else {
        task.run();
      }
    });
  }

  @Override
  public void execute(Runnable task) {
    scheduleAt(time.now(), task);
  }

  @Override
  public void submit(Runnable task) {
    scheduleAt(time.now(), task);
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    scheduleAt(time.now() + unit.toMicros(delay), task);
  }
}
