package amberhoist.cli;

import amberhoist.config.ProxyConfig;
import amberhoist.config.ProxyConfig.ConfigSources;
import amberhoist.config.ProxyConfig.OperatorConfigResult;
import amberhoist.config.ReferencePages;
import amberhoist.config.schema.ConfigProblem;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks, shows and explains configurations. */
@Command(name = "config", description = "Checks, shows and explains the configuration.")
final class ConfigCommand implements Runnable {
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "missing subcommand: check, show or reference");
  }

  private static int printProblems(List<ConfigProblem> problems) {
    problems.forEach(System.err::println);
    return problems.isEmpty() ? 0 : 1;
  }

  /** Checks operator's files for errors. */
  @Command(name = "check", description = "Checks operator's files, each on its own, and prints all errors.")
  int check(@Parameters(paramLabel = "FILE", arity = "1..*", description = "operator's files") List<Path> files) {
    int status = 0;
    for (Path file : files) {
      OperatorConfigResult result = ProxyConfig.readOperatorKeys(new ConfigSources(file, Map.of(), Map.of()), false);
      status = Math.max(status, printProblems(result.problems()));
      if (result.problems().isEmpty()) {
        System.out.println(file + ": valid");
      }
    }
    return status;
  }

  /** Prints the effective configuration. */
  @Command(name = "show", description = "Prints the effective value of each key and its source.")
  int show(@Mixin SourceOptions options) {
    OperatorConfigResult result = ProxyConfig.readOperatorKeys(options.sources(), false);
    System.out.print(ReferencePages.formatKeys(result));
    return printProblems(result.problems());
  }

  /** The kind of reference to print. */
  static final class ReferenceKind {
    @Option(names = "--toml", description = "an operator's file with every key at its default")
    private boolean toml;

    @Option(names = "--events", description = "the page of log events")
    private boolean events;
  }

  /** Prints the reference pages. */
  @Command(name = "reference", description = "Prints the reference page of keys, generated from the code.")
  int reference(@ArgGroup ReferenceKind kind) {
    if (kind != null && kind.toml) {
      System.out.print(ReferencePages.exampleFile());
    } else {
      System.out.print(kind != null && kind.events ? ReferencePages.eventsPage() : ReferencePages.keysPage());
    }
    return 0;
  }
}
