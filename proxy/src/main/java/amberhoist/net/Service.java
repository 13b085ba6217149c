package amberhoist.net;

import amberhoist.config.Config.BadConfig;
import amberhoist.config.Config;
import amberhoist.core.Core;
import amberhoist.decide.Policy;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A whole proxy: core and module on a loop, with sockets and directory round them. */
public final class Service {
  private static final long CLOSING = 300_000; // for the last FINs to be exchanged

  private final Loop loop;
  private final Counters counters = new Counters();
  private final Proxy proxy;
  private final Core core;
  private final DirectoryWatch directory;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private Service(Config config) throws IOException {
    loop = new Loop();
    proxy = new Proxy(loop, counters);
    core = new Core(new Policy(), loop.wheel(), proxy, counters, config.limits());
    directory = new DirectoryWatch(loop, core, proxy, counters, config.discovery(), config.known().index(),
        config.seed());
    proxy.limit(config.sockets(), config.settings().maxRetryAfter());
    proxy.wire(core, directory::ensure);
  }

  /** Starts a proxy; returns when it listens. */
  public static Service start(Config config) throws IOException {
    Service service = new Service(config);
    CompletableFuture<Void> open = new CompletableFuture<>();
    service.loop.post(() -> {
      try {
        service.proxy.addresses(config.known().addresses(), true);
        service.core.start(service.loop.now(), config.settings(), config.seed(), config.known().providers());
        service.directory.ensure();
        service.proxy.open(config.listen());
        open.complete(null);
      } catch (IOException | RuntimeException fault) {
        open.completeExceptionally(fault);
      }
    });
    try {
      open.get();
      System.err.println(config.name() + " serves on " + service.proxy.address());
      return service;
    } catch (InterruptedException | ExecutionException fault) {
      service.loop.close();
      throw new IOException(fault.getMessage(), fault);
    }
  }

  /** The address that is listened on. */
  public InetSocketAddress address() throws IOException {
    return proxy.address();
  }

  /**
   * Reads the configuration again and goes on with it: directory, settings and limits. Name and address stay
   * as they are. A file that cannot be used changes nothing. It may be called from any thread, at any time:
   * the file is read on the caller's, and the loop takes up what was read last.
   */
  public synchronized void reload(Map<String, String> environment) {
    Runnable task;
    try {
      Config config = Config.reload(environment, loop.clock());
      task = () -> {
        counters.add(Count.RELOADS);
        proxy.limit(config.sockets(), config.settings().maxRetryAfter());
        core.configure(loop.now(), config.settings(), config.limits());
        directory.move(config.discovery());
        System.err.println("configuration read again, directory at " + config.discovery());
      };
    } catch (BadConfig fault) {
      task = () -> {
        counters.add(Count.RELOADS_REFUSED);
        System.err.println("the configuration stays as it was: " + fault.getMessage());
      };
    }
    try {
      loop.post(task);
    } catch (RejectedExecutionException ended) {
      // the proxy has stopped meanwhile and needs no configuration any more
    }
  }

  /** Stops in good order when the process is told to end, and then exits with status 0. */
  public void stopOnSignal() {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      stop();
      System.err.println(counters);
      Runtime.getRuntime().halt(0);
    }, "stop"));
  }

  /** Stops in good order; returns when all is closed. */
  public void stop() {
    loop.post(() -> core.stop(loop.now(), () -> {
      loop.wheel().arm(loop.now() + CLOSING, at -> {
        proxy.close();
        directory.close();
        stopped.countDown();
      });
    }));
    try {
      stopped.await(1, TimeUnit.MINUTES);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    loop.close();
  }

  /** Closes everything at once, as the end of the process would. */
  public void kill() {
    loop.close();
  }

  /** How many connections are held. */
  public int connections() {
    return asked(proxy::size);
  }

  /** How often this has been counted so far. */
  public long count(Counters.Count count) {
    return asked(() -> counters.get(count));
  }

  /** The loop, for stories that hold it up. */
  Loop loop() {
    return loop;
  }

  /** Asks on the loop's thread, which owns all state. */
  private <T> T asked(Supplier<T> question) {
    return CompletableFuture.supplyAsync(question, loop::post).join();
  }
}
