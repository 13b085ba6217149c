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
    description = "A proxy for long-lived connections that places and moves them.",
    synopsisSubcommandLabel = "COMMAND", exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:done", "1:a fault: a bad configuration, nobody answers, a claim that fell",
        "2:wrong usage"}, scope = CommandLine.ScopeType.INHERIT)
final class Cli implements Runnable {
  /** The version as the build put it into the jar. */
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

  /** The tree, with what other modules bring to it. */
  static CommandLine tree() {
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
    tree.setCaseInsensitiveEnumValuesAllowed(true); // of all commands that are there by now
    return tree.setExecutionExceptionHandler((fault, command, parsed) -> {
      command.getErr().println(fault.getMessage() == null ? fault.toString() : fault.getMessage());
      return 1;
    });
  }

  /** Runs a command and exits with its status, but for a command that goes on serving. */
  static void run(String[] args) {
    int status = tree().execute(args);
    if (status != ServeCommand.SERVES) {
      System.exit(status);
    }
  }
}
