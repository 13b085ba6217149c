package amberhoist.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The command {@code drill}: runs balancers for a simulator that is connected to standard input and output. */
public final class SimulatorMain {
  private static final String USAGE = "usage: java -jar amberhoist.jar drill";

  private SimulatorMain() {}

  /** Runs the adapter until standard input ends. */
  public static void main(String[] args) {
    System.exit(run(args, System.in, System.out, System.err));
  }

  /**
   * Runs the adapter on the given streams until the input ends.
   *
   * @return the exit status: 0 at the end of input, 1 for invalid input, 2 for a usage error
   */
  public static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
    if (args.length != 1 || !args[0].equals("drill")) {
      err.println(args.length == 0 ? "no command given" : "unknown command: " + String.join(" ", args));
      err.println(USAGE);
      return 2;
    }
    SimulatorCodec codec = new SimulatorCodec(in, out, new SimulatedInstances());
    try {
      codec.processBatches();
      return 0;
    } catch (IOException | RuntimeException fault) {
      err.println("line " + codec.lineNumber() + ": " + describe(fault));
      return 1;
    }
  }

  /** Returns the first line of the exception's message. */
  private static String describe(Exception fault) {
    String text = String.valueOf(fault.getMessage());
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }
}
