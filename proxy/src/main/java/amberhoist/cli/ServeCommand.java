package amberhoist.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a proxy. */
@Command(name = "serve", description = "Runs a proxy until SIGTERM. SIGHUP reloads the configuration.")
final class ServeCommand implements Callable<Integer> {
  /** Returned in place of an exit status: the process keeps running. */
  static final int STILL_RUNNING = -1;

  @Mixin
  private SourceOptions options;

  @Override
  public Integer call() {
    ServeRunner.serve(options.sources());
    return STILL_RUNNING;
  }
}
