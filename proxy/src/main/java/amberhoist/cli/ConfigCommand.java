package amberhoist.cli;

import amberhoist.config.Reference;
import amberhoist.config.Setup;
import amberhoist.config.Setup.Reading;
import amberhoist.config.Setup.Sources;
import amberhoist.config.schema.Problem;
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
    throw new ParameterException(spec.commandLine(), "say which: check, show or reference");
  }

  private static int tell(List<Problem> problems) {
    problems.forEach(System.err::println);
    return problems.isEmpty() ? 0 : 1;
  }

  /** Checks files. */
  @Command(name = "check", description = "Checks operator's files, each by itself; tells all that is wrong at once.")
  int check(@Parameters(paramLabel = "FILE", arity = "1..*", description = "operator's files") List<Path> files) {
    int status = 0;
    for (Path file : files) {
      Reading reading = Setup.read(new Sources(file, Map.of(), Map.of()), false);
      status = Math.max(status, tell(reading.problems()));
      if (reading.problems().isEmpty()) {
        System.out.println(file + ": good");
      }
    }
    return status;
  }

  /** Shows what holds. */
  @Command(name = "show", description = "Prints the effective value of each key, and where it comes from.")
  int show(@Mixin SourceOptions options) {
    Reading reading = Setup.read(options.sources(), false);
    System.out.print(Reference.show(reading));
    return tell(reading.problems());
  }

  /** What the reference is to hold. */
  static final class Kind {
    @Option(names = "--toml", description = "an operator's file with every key at its default")
    private boolean toml;

    @Option(names = "--events", description = "the page of log events")
    private boolean events;
  }

  /** Prints the pages. */
  @Command(name = "reference", description = "Prints the reference page of keys, made from the code.")
  int reference(@ArgGroup Kind kind) {
    if (kind != null && kind.toml) {
      System.out.print(Reference.example());
    } else {
      System.out.print(kind != null && kind.events ? Reference.events() : Reference.page());
    }
    return 0;
  }
}
