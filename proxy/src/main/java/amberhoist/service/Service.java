package amberhoist.service;

import amberhoist.config.Config.BadConfig;
import amberhoist.config.Config;
import amberhoist.core.Core;
import amberhoist.core.Timing;
import amberhoist.decide.Policy;
import amberhoist.directory.AddressBook;
import amberhoist.front.Switchboard;
import amberhoist.front.line.LineClients;
import amberhoist.front.line.LineLimits;
import amberhoist.front.line.LineProviders;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Counters;
import amberhoist.net.Acceptor;
import amberhoist.net.Connection;
import amberhoist.net.DirectoryWatch;
import amberhoist.net.Lobby;
import amberhoist.net.Loop;
import amberhoist.net.SocketLimits;
import amberhoist.net.Transport;
import amberhoist.net.WatchTiming;
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

  private static final int OWN_DESCRIPTORS = 24; // 12 of the runtime and the group, two watches, the file
  private static final int LEAST_DESCRIPTORS = 18;

  private final Loop loop;
  private final Counters counters = new Counters();
  private final AddressBook addresses = new AddressBook();
  private final Lobby lobby;
  private final Transport transport;
  private final LineClients clients;
  private final Acceptor acceptor;
  private final Core core;
  private final DirectoryWatch directory;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private Service(Config config) throws IOException {
    loop = new Loop();
    lobby = new Lobby(this::evict);
    transport = new Transport(loop, lobby, SocketLimits.DEFAULT);
    clients = new LineClients(loop, transport, lobby, counters);
    LineProviders providers = new LineProviders(loop, transport, counters, addresses,
        (provider, fault) -> System.err.println("cannot connect to " + provider + ": " + fault));
    acceptor = new Acceptor(loop, lobby, counters, SocketLimits.DEFAULT, clients::accepted);
    Switchboard switchboard =
        new Switchboard(transport, providers, this::ensureWatch, System.err::println);
    core = new Core(new Policy(), loop.wheel(), switchboard, counters, config.limits(), Timing.DEFAULT);
    directory = new DirectoryWatch(loop, core, addresses, counters, WatchTiming.DEFAULT, config.discovery(),
        config.known().index(), config.seed());
    clients.wire(core);
    providers.wire(core);
    limit(config);
  }

  private void evict(Connection c) {
    counters.add(Count.EVICTED);
    transport.drop(c);
  }

  private void ensureWatch() {
    directory.ensure();
  }

  private void limit(Config config) {
    lobby.limit(Math.max(LEAST_DESCRIPTORS, config.sockets() - OWN_DESCRIPTORS));
    clients.limits(LineLimits.DEFAULT, config.settings().maxRetryAfter());
  }

  /** Starts a proxy; returns when it listens. */
  public static Service start(Config config) throws IOException {
    Service service = new Service(config);
    CompletableFuture<Void> open = new CompletableFuture<>();
    service.loop.post(() -> {
      try {
        service.addresses.update(config.known().addresses(), true);
        service.core.start(service.loop.now(), config.settings(), config.seed(), config.known().providers());
        service.directory.ensure();
        service.acceptor.open(config.listen());
        open.complete(null);
      } catch (IOException | RuntimeException fault) {
        open.completeExceptionally(fault);
      }
    });
    try {
      open.get();
      System.err.println(config.name() + " serves on " + service.acceptor.address());
      return service;
    } catch (InterruptedException | ExecutionException fault) {
      service.loop.close();
      throw new IOException(fault.getMessage(), fault);
    }
  }

  /** The address that is listened on. */
  public InetSocketAddress address() throws IOException {
    return acceptor.address();
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
        limit(config);
        core.configure(loop.now(), config.settings(), config.limits(), Timing.DEFAULT);
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
        acceptor.close();
        transport.close();
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
    return asked(transport::size);
  }

  /** How often this has been counted so far. */
  public long count(Counters.Count count) {
    return asked(() -> counters.get(count));
  }

  /** The loop, for stories that hold it up. */
  public Loop loop() {
    return loop;
  }

  /** Asks on the loop's thread, which owns all state. */
  private <T> T asked(Supplier<T> question) {
    return CompletableFuture.supplyAsync(question, loop::post).join();
  }
}
