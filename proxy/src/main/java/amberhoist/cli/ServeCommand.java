package amberhoist.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Serves. */
@Command(name = "serve", description = "Runs a proxy until SIGTERM. SIGHUP reads the configuration again.")
final class ServeCommand implements Callable<Integer> {
  /** The process goes on when this is returned. */
  static final int SERVES = -1;

  @Mixin
  private SourceOptions options;

  @Override
  public Integer call() {
    Serving.serve(options.sources());
    return SERVES;
  }
}
