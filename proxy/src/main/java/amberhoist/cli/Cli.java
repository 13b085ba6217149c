package amberhoist.cli;

import java.util.ServiceLoader;
import java.util.concurrent.Callable;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command tree. */
@Command(name = "amberhoist", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
    description = "A load-balancing proxy for long-lived connections.",
    synopsisSubcommandLabel = "COMMAND", exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:success",
        "1:failure, such as an invalid configuration, an instance that does not answer, a check that failed",
        "2:usage error"}, scope = CommandLine.ScopeType.INHERIT)
final class Cli implements Runnable {
  /** The version from the manifest of the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Cli.class.getPackage().getImplementationVersion();
      return new String[] {"amberhoist " + (version == null ? "unpackaged" : version)};
    }
  }

  @Command(name = "version", description = "Prints the version.")
  static final class PrintVersion implements Callable<Integer> {
    @Override
    public Integer call() {
      System.out.println(new Version().getVersion()[0]);
      return 0;
    }
  }

  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "no command given");
  }

  /** The command tree, including the commands of other modules. */
  static CommandLine commandLine() {
    CommandLine tree = new CommandLine(new Cli())
        .addSubcommand(new ServeCommand())
        .addSubcommand(new DrillCommand())
        .addSubcommand(new ConfigCommand())
        .addSubcommand(new StatusCommand())
        .addSubcommand(new PrintVersion())
        .addSubcommand(new GenerateCompletion());
    for (Extension extension : ServiceLoader.load(Extension.class)) {
      tree.addSubcommand(extension.command());
    }
    tree.setCaseInsensitiveEnumValuesAllowed(true); // applies to the commands added so far
    return tree.setExecutionExceptionHandler((fault, command, parsed) -> {
      command.getErr().println(fault.getMessage() == null ? fault.toString() : fault.getMessage());
      return 1;
    });
  }

  /** Runs a command and exits with its status, unless the command keeps the process running. */
  static void run(String[] args) {
    int status = commandLine().execute(args);
    if (status != ServeCommand.STILL_RUNNING) {
      System.exit(status);
    }
  }
}
