package amberhoist.service;

import amberhoist.admin.AdminSocket;
import amberhoist.admin.Status;
import amberhoist.config.AdminAddress;
import amberhoist.config.Config;
import amberhoist.config.Config.BadConfig;
import amberhoist.config.Operator;
import amberhoist.config.Setup;
import amberhoist.config.Setup.Sources;
import amberhoist.core.Core;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Policy;
import amberhoist.directory.AddressBook;
import amberhoist.front.Switchboard;
import amberhoist.front.line.LineClients;
import amberhoist.front.line.LineProviders;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Latencies;
import amberhoist.metrics.Latencies.Span;
import amberhoist.mgmt.ManagementServer;
import amberhoist.mgmt.Routes;
import amberhoist.net.Acceptor;
import amberhoist.net.Connection;
import amberhoist.net.DescriptorBudget;
import amberhoist.net.DirectoryWatch;
import amberhoist.net.Loop;
import amberhoist.net.Transport;
import amberhoist.upgrade.Succession;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A whole proxy: core and module on a loop, with sockets, directory and admin socket round them. */
public final class Service {
  private static final long CLOSING = 300_000; // for who rests or comes late, and for the last FINs
  private static final long SUPPRESSED_EACH = 10_000_000; // between tellings of what the log left out
  private static final int OWN_DESCRIPTORS = 24; // 12 of the runtime and the group, two watches, the file
  private static final int LEAST_DESCRIPTORS = 18;

  private final Loop loop;
  private final EventLog log;
  private final Counters counters = new Counters();
  private final Latencies latencies = new Latencies();
  private final AddressBook addresses = new AddressBook();
  private final DescriptorBudget descriptors = new DescriptorBudget(this::evict);
  private final Transport transport;
  private final LineClients clients;
  private final Acceptor acceptor;
  private final Core core;
  private final DirectoryWatch directory;
  private final Set<CompletableFuture<?>> asks = ConcurrentHashMap.newKeySet();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile Setup setup;
  private volatile AdminSocket admin;
  private volatile ManagementServer door;
  private volatile Succession succession;
  private int elsewhere; // descriptors held by other processes of this proxy; of the loop's thread
  private List<String> restartNeeded = List.of(); // of the loop's thread
  private boolean stopping; // of the loop's thread
  private InetSocketAddress watched; // of the loop's thread
  private long servesSince;

  private Service(Setup setup) throws IOException {
    this.setup = setup;
    Config config = setup.config();
    Operator operator = setup.operator();
    log = new EventLog(config.name(), operator.logSettings());
    loop = new Loop(fault -> log.fault(Event.LOOP_FAULT, "a task failed", fault),
        late -> latencies.record(Span.LOOP_LAG, late));
    transport = new Transport(loop, descriptors, operator.socketLimits());
    clients = new LineClients(loop, transport, descriptors, counters, log);
    LineProviders providers = new LineProviders(loop, transport, counters, addresses, (provider, fault) ->
        log.tell(Event.PROVIDER_UNDIALLED, "cannot connect", "provider", provider, "why", fault));
    acceptor = new Acceptor(loop, descriptors, counters, operator.socketLimits(), clients::accepted);
    Switchboard switchboard = new Switchboard(transport, providers, this::ensureWatch,
        message -> log.tell(Event.MODULE_SAID, message));
    core = new Core(new Policy(), loop.wheel(), switchboard, counters, config.limits(), operator.timing(),
        new Telling(log, latencies));
    watched = config.discovery();
    directory = new DirectoryWatch(loop, core, addresses, counters, operator.watchTiming(), watched,
        config.known().index(), config.seed(), new Telling.Directory(log));
    clients.wire(core);
    providers.wire(core);
    limit(setup);
  }

  private void evict(Connection c) {
    clients.evict(c);
  }

  private void ensureWatch() {
    directory.ensure();
  }

  private void limit(Setup by) {
    int own = OWN_DESCRIPTORS + (by.config().mgmt() == null ? 0 : ManagementServer.DESCRIPTORS);
    int all = by.config().sockets();
    // Each process of an upgrade may take half of what neither holds.
    all = elsewhere == 0 ? all : own + descriptors.held() + Math.max(0, all - elsewhere - own - descriptors.held()) / 2;
    descriptors.limit(Math.max(LEAST_DESCRIPTORS, all - own));
    if (succession != null) {
      succession.holds(own + descriptors.held());
    }
    counters.outcomes().classes(by.config().settings().classes().stream().map(RequestClass::name).toList());
    clients.limits(by.operator().lineLimits(), by.config().settings().maxRetryAfter());
  }

  /** Starts a proxy by the platform's configuration alone; returns when it listens. */
  public static Service start(Config config) throws IOException {
    return start(new Setup(config, Operator.DEFAULT, Map.of()));
  }

  /** Starts a proxy; returns when it listens. */
  public static Service start(Setup setup) throws IOException {
    Service service = new Service(setup);
    Config config = setup.config();
    CompletableFuture<Void> known = new CompletableFuture<>();
    service.loop.post(() -> {
      try {
        service.addresses.update(config.known());
        service.core.start(service.loop.now(), config.settings(), config.seed(), config.known().providers());
        service.directory.ensure();
        known.complete(null);
      } catch (RuntimeException fault) {
        known.completeExceptionally(fault);
      }
    });
    CompletableFuture<Void> open = new CompletableFuture<>();
    try {
      known.get();
      service.joinOthers();
      service.loop.post(() -> {
        try {
          service.acceptor.open(config.listen(), config.mgmt() != null);
          service.servesSince = service.loop.now();
          service.tellSuppressed();
          open.complete(null);
        } catch (IOException | RuntimeException fault) {
          open.completeExceptionally(fault);
        }
      });
      open.get();
      if (service.succession != null) {
        service.succession.ready().join(); // before anybody is told so
      }
      service.listenToOperators();
      service.openDoor();
      InetSocketAddress address = service.address();
      service.log.tell(Event.PROXY_SERVES, config.name() + " serves on " + address, "address", address);
      return service;
    } catch (InterruptedException | ExecutionException | IOException fault) {
      service.kill();
      Throwable cause = fault instanceof ExecutionException ? fault.getCause() : fault;
      throw new IOException(cause.getMessage(), cause);
    }
  }

  /** Where an upgrade may come: the processes of this proxy share what was taken out, and the descriptors. */
  private void joinOthers() {
    Config config = setup.config();
    if (config.mgmt() == null || config.shared() == null) {
      return;
    }
    succession = new Succession(config.shared(), new Sharing(loop, core, descriptors -> {
      elsewhere = descriptors;
      limit(setup);
    }), why -> log.tell(Event.UPGRADE_FAILED, "what is kept for another process cannot be kept", "why", why));
    succession.holds(OWN_DESCRIPTORS + ManagementServer.DESCRIPTORS);
    succession.join();
  }

  private void listenToOperators() throws IOException {
    Operator.Admin keys = setup.operator().admin();
    SocketAddress address = AdminAddress.parse(keys.listen());
    if (address != null) {
      admin = new AdminSocket(address, keys.timeout(), new AdminSource(), log);
    }
  }

  /** Opened last: whoever is answered there finds a proxy that serves. */
  private void openDoor() throws IOException {
    InetSocketAddress address = setup.config().mgmt();
    if (address != null) {
      door = new ManagementServer(address,
          new Routes(new ManagementActions(loop, core, addresses, counters, () -> stopping, log, succession)),
          fault -> log.tell(Event.DOOR_FAILED, "a caller could not be taken in", "why", fault));
      log.tell(Event.DOOR_LISTENS, "operators are answered", "address", door.address());
    }
  }

  /** Where operators are answered, or null. */
  public InetSocketAddress doorAddress() throws IOException {
    return door == null ? null : door.address();
  }

  private void tellSuppressed() {
    log.tellSuppressed();
    loop.wheel().arm(loop.now() + SUPPRESSED_EACH, at -> tellSuppressed());
  }

  /** The address that is listened on. */
  public InetSocketAddress address() throws IOException {
    return acceptor.address();
  }

  /** Where the admin socket answers, or null. */
  public SocketAddress adminAddress() {
    return admin == null ? null : admin.address();
  }

  /** The same as {@link #reload(Sources)} with the environment alone. */
  public void reload(Map<String, String> environment) {
    reload(Sources.of(environment));
  }

  /**
   * Reads the configuration again and goes on with it: directory, settings, limits and the operator's keys. Name
   * and address stay as they are. Anything in it that cannot be used changes nothing. It may be called from any
   * thread, at any time: the files are read on the caller's, and the loop takes up what was read last.
   */
  public synchronized void reload(Sources sources) {
    Runnable task;
    try {
      Setup fresh = Setup.reload(sources, loop.clock());
      task = () -> take(fresh);
    } catch (BadConfig fault) {
      task = () -> {
        counters.add(Count.RELOADS_REFUSED);
        fault.problems().forEach(problem ->
            log.tell(Event.CONFIG_REFUSED, "the configuration stays as it was: " + problem, "why", problem));
      };
    }
    try {
      loop.post(task);
    } catch (RejectedExecutionException ended) {
      // the proxy has stopped meanwhile and needs no configuration any more
    }
  }

  /** Takes up a whole setup, on the loop's thread and in one task: nothing ever sees half of it. */
  private void take(Setup fresh) {
    counters.add(Count.RELOADS);
    restartNeeded = Setup.needRestart(setup.operator(), fresh.operator());
    Setup old = setup;
    Operator operator = fresh.operator();
    setup = new Setup(fresh.config(), operator.withRestartKeysOf(old.operator()), fresh.origins());
    limit(fresh);
    transport.limits(operator.socketLimits());
    acceptor.limits(operator.socketLimits());
    directory.timing(operator.watchTiming());
    core.configure(loop.now(), fresh.config().settings(), fresh.config().limits(), operator.timing());
    watched = fresh.config().discovery();
    directory.move(watched);
    log.configure(operator.logSettings());
    log.tell(Event.CONFIG_RELOADED, "configuration read again, directory at " + watched, "directory", watched);
    if (!restartNeeded.isEmpty()) {
      log.tell(Event.CONFIG_RESTART_NEEDED, "these keys stay as they were until a restart", "keys",
          String.join(",", restartNeeded));
    }
  }

  /** Stops in good order; returns when all is closed. */
  public void stop() {
    boolean succeeded = succession != null && succession.succeeded();
    if (succeeded) {
      succession.leave(asked(() -> {
        Map<String, String> clients = new HashMap<>();
        core.forEachStanding(clients::put);
        return clients;
      }));
    }
    log.tell(Event.PROXY_STOPS, succeeded ? "told to end, another process serves in its place" : "told to end");
    loop.post(() -> {
      stopping = true;
      if (succeeded) {
        acceptor.leave();
      }
      core.stop(loop.now(), succeeded, this::leave);
    });
    try {
      stopped.await(1, TimeUnit.MINUTES);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    kill();
    log.tellSuppressed();
    log.tell(Event.PROXY_STOPPED, counters.toString());
  }

  /** Nothing is owed and nobody is joined any more. Who rests here, or comes still, is told so before all is closed. */
  private void leave() {
    clients.leave(setup.operator().timing().stopAdvice());
    loop.wheel().arm(loop.now() + CLOSING / 2, at -> acceptor.close());
    loop.wheel().arm(loop.now() + CLOSING, at -> {
      transport.close();
      directory.close();
      stopped.countDown();
    });
  }

  /** Closes everything at once, as the end of the process would. */
  public void kill() {
    if (admin != null) {
      admin.close();
    }
    if (door != null) {
      door.close();
    }
    if (succession != null) {
      succession.close();
    }
    loop.close();
    asks.forEach(ask -> ask.completeExceptionally(new IllegalStateException("the proxy has stopped")));
  }

  /** How many connections are held. */
  public int connections() {
    return asked(transport::size);
  }

  /** How often this has been counted so far. */
  public long count(Counters.Count count) {
    return asked(() -> counters.get(count));
  }

  /** The instance as it is now. */
  public Status status() {
    return asked(() -> Statuses.of(setup, stopping, this, (loop.now() - servesSince) / 1000, transport.size(),
        core, addresses, counters, latencies, log, restartNeeded, watched));
  }

  /** The loop, for stories that hold it up. */
  public Loop loop() {
    return loop;
  }

  /**
   * Asks on the loop's thread, which owns all state. Guards against waiting for ever when the loop is closed before
   * it comes to the question.
   */
  private <T> T asked(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    asks.add(answer);
    try {
      loop.post(() -> {
        try {
          answer.complete(question.get());
        } catch (RuntimeException fault) {
          answer.completeExceptionally(fault);
        }
      });
      return answer.join();
    } finally {
      asks.remove(answer);
    }
  }

  /** Answers the admin socket. */
  private final class AdminSource implements AdminSocket.Source {
    @Override
    public Status status() {
      return Service.this.status();
    }

    @Override
    public Map<Span, org.HdrHistogram.AbstractHistogram> latencies() {
      return asked(() -> Statuses.copies(latencies));
    }

    @Override
    public String config() {
      return Setup.show(setup);
    }
  }
}
