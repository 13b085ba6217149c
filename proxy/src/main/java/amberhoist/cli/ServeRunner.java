package amberhoist.cli;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import amberhoist.config.ProxyConfig;
import amberhoist.config.ProxyConfig.ConfigSources;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.service.Service;
import amberhoist.signal.Signals;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Runs a proxy as a process, with its configuration, log and signal handlers. A signal that arrives during startup is
 * handled when startup has ended: by then the proxy may already accept connections, so that it has to drain on SIGTERM
 * and must not miss a reload.
 */
final class ServeRunner {
  private ServeRunner() {}

  /** Starts a proxy that runs until the process is terminated; exits with status 1 if it cannot start. */
  static void serve(ConfigSources sources) {
    CompletableFuture<Optional<Service>> started = new CompletableFuture<>(); // empty if startup failed
    Signals.onHangup(() -> started.join().ifPresent(service -> service.reload(sources)));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> started.join().ifPresent(service -> {
      service.stop();
      EventLog.flush();
      Runtime.getRuntime().halt(0);
    }), "stop"));
    try {
      ProxyConfig config = ProxyConfig.load(sources, new Clock());
      EventLog.selectBackend(config.operator().log().format());
      EventLog log = new EventLog(config.platform().name(), config.operator().logSettings());
      EventLog.redirectStandardError((int) config.operator().log().queue().bytes(), log);
      if (Signals.isHangupIgnored()) {
        log.log(Event.CONFIG_RELOAD_IGNORED, "SIGHUP is ignored since the start and reloads nothing");
      }
      started.complete(Optional.of(Service.start(config)));
      return;
    } catch (InvalidConfigException fault) {
      fault.problems().forEach(System.err::println);
    } catch (IOException fault) {
      System.err.println("cannot start: " + fault.getMessage());
      System.err.flush();
      EventLog.flush();
    } finally {
      started.complete(Optional.empty()); // before exit, which waits for the shutdown hook, which waits for this
    }
    System.exit(1);
  }
}
