package amberhoist.cli;

import amberhoist.config.ProxyConfig.ConfigSources;

/**
 * The entry point. The two commands of a deployment, {@code serve} and {@code drill} without options, bypass picocli:
 * loading the command tree would cost them a tenth of a second on a fraction of a core.
 */
public final class Main {
  private Main() {}

  /** Runs a subcommand; exits with 2 on a usage error, 1 on a failure, else 0. */
  public static void main(String[] args) {
    if (args.length == 1 && args[0].equals("serve")) {
      ServeRunner.serve(ConfigSources.ofEnvironment(System.getenv()));
    } else if (args.length == 1 && args[0].equals("drill")) {
      System.exit(amberhoist.simulator.SimulatorMain.run(args, System.in, System.out, System.err));
    } else if (args.length == 2 && args[0].equals("rehearse")) {
      TrainingRun.main(args[1]);
    } else {
      Cli.run(args);
    }
  }
}
