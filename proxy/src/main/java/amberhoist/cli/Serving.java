package amberhoist.cli;

import amberhoist.clock.Clock;
import amberhoist.config.Config.BadConfig;
import amberhoist.config.Setup;
import amberhoist.config.Setup.Sources;
import amberhoist.log.EventLog;
import amberhoist.net.Signals;
import amberhoist.service.Service;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Runs a proxy as a process: configuration, log, signals. A signal that comes while it starts waits for the end of the
 * start: a proxy that answers already must not end, or miss new settings, as if it were not there yet.
 */
final class Serving {
  private Serving() {}

  /** Serves until the process is told to end; a configuration that cannot be used exits with status 1. */
  static void serve(Sources sources) {
    CompletableFuture<Optional<Service>> started = new CompletableFuture<>(); // empty when it cannot start
    Signals.onHangup(() -> started.join().ifPresent(service -> service.reload(sources)));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> started.join().ifPresent(service -> {
      service.stop();
      EventLog.flush();
      Runtime.getRuntime().halt(0);
    }), "stop"));
    try {
      Setup setup = Setup.load(sources, new Clock());
      EventLog.choose(setup.operator().log().format());
      EventLog.redirect((int) setup.operator().log().queue().bytes(),
          new EventLog(setup.config().name(), setup.operator().logSettings()));
      started.complete(Optional.of(Service.start(setup)));
      return;
    } catch (BadConfig fault) {
      fault.problems().forEach(System.err::println);
    } catch (IOException fault) {
      System.err.println("cannot start: " + fault.getMessage());
      System.err.flush();
      EventLog.flush();
    } finally {
      started.complete(Optional.empty()); // before any exit: that waits for who waits for this
    }
    System.exit(1);
  }
}
