package amberhoist.cli;

import amberhoist.clock.Clock;
import amberhoist.config.Config.BadConfig;
import amberhoist.config.Setup;
import amberhoist.config.Setup.Sources;
import amberhoist.log.EventLog;
import amberhoist.net.Signals;
import amberhoist.service.Service;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Runs a proxy as a process: configuration, log, signals. */
final class Serving {
  private Serving() {}

  /** Serves until the process is told to end; a configuration that cannot be used exits with status 1. */
  static void serve(Sources sources) {
    CompletableFuture<Service> started = new CompletableFuture<>();
    Signals.onHangup(() -> started.thenAccept(service -> service.reload(sources)).join());
    try {
      Setup setup = Setup.load(sources, new Clock());
      EventLog.choose(setup.operator().log().format());
      EventLog.redirect((int) setup.operator().log().queue().bytes(),
          new EventLog(setup.config().name(), setup.operator().logSettings()));
      Service service = Service.start(setup);
      service.stopOnSignal();
      started.complete(service);
    } catch (BadConfig fault) {
      fault.problems().forEach(System.err::println);
      System.exit(1);
    } catch (IOException fault) {
      System.err.println("cannot start: " + fault.getMessage());
      System.err.flush();
      EventLog.flush();
      System.exit(1);
    }
  }
}
