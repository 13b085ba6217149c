package amberhoist.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the adapter to the simulator. */
@Command(name = "drill", description = "Speaks the simulator's protocol on standard input and output.")
final class DrillCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return amberhoist.simulator.SimulatorMain.run(new String[] {"drill"}, System.in, System.out, System.err);
  }
}
