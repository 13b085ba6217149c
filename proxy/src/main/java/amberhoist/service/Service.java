package amberhoist.service;

import amberhoist.admin.AdminSocket;
import amberhoist.admin.Status;
import amberhoist.config.OperatorConfig;
import amberhoist.config.PlatformConfig;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import amberhoist.config.ProxyConfig;
import amberhoist.config.ProxyConfig.ConfigSources;
import amberhoist.core.Core;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Policy;
import amberhoist.directory.ProviderRegistry;
import amberhoist.front.CommandDispatcher;
import amberhoist.front.line.LineClientHandler;
import amberhoist.front.line.LineProviderHandler;
import amberhoist.ids.RequestIds;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Latencies;
import amberhoist.metrics.Latencies.Span;
import amberhoist.net.Acceptor;
import amberhoist.net.Connection;
import amberhoist.net.DescriptorBudget;
import amberhoist.net.EventLoop;
import amberhoist.net.Transport;
import amberhoist.net.watch.DirectoryWatch;
import amberhoist.net.watch.WatchTiming;
import amberhoist.upgrade.IdTableFile;
import amberhoist.upgrade.UpgradeCoordinator;
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

/** A complete proxy: core and decision module on an event loop, with sockets, directory watch and admin socket. */
public final class Service {
  private static final long CLOSE_DELAY_MICROS = 300_000; // for idle and late clients, and the last FINs
  private static final double TABLE_HEAP_FRACTION = 1.0 / 16; // of each table by names that clients choose
  private static final long SUPPRESSED_PERIOD_MICROS = 10_000_000; // between log.suppressed events

  private final EventLoop loop;
  private final EventLog log;
  private final Counters counters = new Counters();
  private final Latencies latencies = new Latencies();
  private final ProviderRegistry registry = new ProviderRegistry();
  private final DescriptorBudget descriptors = new DescriptorBudget(this::evict);
  private final DescriptorLimits descriptorLimits;
  private final Transport transport;
  private final LineClientHandler clients;
  private final Acceptor acceptor;
  private final Core core;
  private final DirectoryWatch directoryWatch;
  private final FirstAnswer firstAnswer = new FirstAnswer();
  private final Set<CompletableFuture<?>> pendingQueries = ConcurrentHashMap.newKeySet();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile ProxyConfig config;
  private final OperatorEndpoints operatorEndpoints;
  private volatile UpgradeCoordinator coordinator;
  private List<String> restartNeeded = List.of(); // loop thread only
  private boolean stopping; // loop thread only
  private InetSocketAddress directoryAddress; // loop thread only
  private long servingSinceMicros;

  private Service(ProxyConfig config) throws IOException {
    this.config = config;
    PlatformConfig platform = config.platform();
    OperatorConfig operator = config.operator();
    log = new EventLog(platform.name(), operator.logSettings());
    descriptorLimits = new DescriptorLimits(descriptors, log);
    operatorEndpoints = new OperatorEndpoints(log);
    loop = new EventLoop(fault -> log.logException(Event.LOOP_FAULT, "a task on the loop failed", fault),
        lagMicros -> latencies.record(Span.LOOP_LAG, lagMicros));
    transport = new Transport(loop, descriptors, operator.socketLimits(),
        new LoggingTelemetry.RelayLog(log, counters)::onRelayEnded);
    RequestIds requestIds = new RequestIds(IdTableFile.openTable(platform.upgradeFolder(), reason ->
        log.log(Event.UPGRADE_FAILED, "cannot share the ids of requests with other processes", "why", reason)));
    clients = new LineClientHandler(loop, transport, descriptors, counters, log, requestIds);
    LineProviderHandler providers = new LineProviderHandler(loop, transport, counters, registry, requestIds,
        (provider, fault) -> log.log(Event.PROVIDER_UNDIALLED, "cannot connect", "provider", provider, "why", fault));
    acceptor = new Acceptor(loop, descriptors, counters, operator.socketLimits(), clients::onAccepted);
    CommandDispatcher dispatcher = new CommandDispatcher(transport, providers, this::ensureDirectoryWatch,
        message -> log.log(Event.MODULE_SAID, message));
    Policy policy = new Policy((long) (TABLE_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    core = new Core(policy, loop.timerWheel(), dispatcher, counters, platform.limits(), operator.coreTiming(),
        new LoggingTelemetry(log, latencies));
    directoryAddress = platform.directoryAddress();
    directoryWatch = new DirectoryWatch(loop, core, registry, counters, watchTiming(config), directoryAddress,
        platform.initialUpdate().index(), platform.seed(),
        new LoggingTelemetry.DirectoryWatchLog(log, this::onDirectoryAnswered));
    clients.setCore(core);
    providers.setCore(core);
    applyLimits(config);
  }

  private void evict(Connection connection) {
    clients.evict(connection);
  }

  private void onDirectoryAnswered() {
    firstAnswer.onAnswered();
    if (coordinator != null) {
      coordinator.endListTransfer();
    }
  }

  private void ensureDirectoryWatch() {
    directoryWatch.ensureWatching();
  }

  private static WatchTiming watchTiming(ProxyConfig config) {
    return config.operator().watchTiming().forPushedLists(config.platform().pushedDrainLimitMicros());
  }

  private void applyLimits(ProxyConfig newConfig) {
    int heldDescriptors = descriptorLimits.apply(newConfig.platform());
    if (coordinator != null) {
      coordinator.setHeldDescriptors(heldDescriptors);
    }
    counters.setupOutcomes().addClasses(
        newConfig.platform().settings().requestClasses().stream().map(RequestClass::name).toList());
    clients.limits(newConfig.operator().lineLimits(), newConfig.platform().settings().maxRetryAfterMicros());
  }

  /** Starts a proxy with the platform's configuration and default operator settings; returns when it listens. */
  public static Service start(PlatformConfig platform) throws IOException {
    return start(new ProxyConfig(platform, OperatorConfig.DEFAULT, Map.of()));
  }

  /** Starts a proxy; returns when it listens. */
  public static Service start(ProxyConfig config) throws IOException {
    Service service = new Service(config);
    PlatformConfig platform = config.platform();
    CompletableFuture<Void> coreStarted = new CompletableFuture<>();
    service.loop.post(() -> {
      try {
        service.registry.update(platform.initialUpdate());
        service.core.start(service.loop.now(), platform.settings(), platform.seed(),
            platform.initialUpdate().providers());
        service.directoryWatch.ensureWatching();
        coreStarted.complete(null);
      } catch (RuntimeException fault) {
        coreStarted.completeExceptionally(fault);
      }
    });
    CompletableFuture<Void> listening = new CompletableFuture<>();
    try {
      coreStarted.get();
      service.takeOperatorAddresses(); // what can fail comes before the first client, which would be cut off
      service.joinOtherProcesses();
      service.firstAnswer.await(platform, service.log);
      service.loop.post(() -> {
        try {
          service.acceptor.listen(platform.listenAddress(), platform.managementAddress() != null);
          service.servingSinceMicros = service.loop.now();
          service.logSuppressed();
          service.descriptorLimits.logShortage(platform);
          listening.complete(null);
        } catch (IOException | RuntimeException fault) {
          listening.completeExceptionally(fault);
        }
      });
      listening.get();
      if (service.coordinator != null) {
        service.coordinator.markReady().join(); // before the process reports that it serves
      }
      service.operatorEndpoints.start();
      InetSocketAddress address = service.address();
      service.log.log(Event.PROXY_SERVES, platform.name() + " serves on " + address, "address", address);
      return service;
    } catch (InterruptedException | ExecutionException | IOException fault) {
      service.kill();
      Throwable cause = fault instanceof ExecutionException ? fault.getCause() : fault;
      throw new IOException(cause.getMessage(), cause);
    }
  }

  /** Where upgrades are possible, shares suspensions and the descriptor limit with this proxy's other processes. */
  private void joinOtherProcesses() {
    if (coordinator != null) {
      coordinator.setHeldDescriptors(DescriptorLimits.reserved(config.platform()));
      if (firstAnswer.isGiven()) {
        coordinator.endListTransfer();
      }
      coordinator.join();
    }
  }

  private void createCoordinator(PlatformConfig platform) {
    if (platform.upgradeFolder() == null) {
      return;
    }
    coordinator = new UpgradeCoordinator(platform.upgradeFolder(), new UpgradeListener(loop, core, registry,
        firstAnswer::isGiven, log, heldByOthers -> {
      descriptorLimits.setHeldByOthers(heldByOthers);
      applyLimits(config);
    }), reason -> log.log(Event.UPGRADE_FAILED, "cannot read or store the upgrade record", "why", reason));
  }

  private void takeOperatorAddresses() throws IOException {
    createCoordinator(config.platform());
    operatorEndpoints.takeAddresses(config, new AdminSource(),
        new LoopOperations(loop, core, registry, counters, () -> stopping, log, coordinator));
  }

  /** The address of the management API, or null if there is none. */
  public InetSocketAddress managementAddress() throws IOException {
    return operatorEndpoints.managementAddress();
  }

  private void logSuppressed() {
    log.logSuppressed();
    loop.timerWheel().arm(loop.now() + SUPPRESSED_PERIOD_MICROS, at -> logSuppressed());
  }

  /** The address that clients connect to. */
  public InetSocketAddress address() throws IOException {
    return acceptor.address();
  }

  /** The address of the admin socket, or null if there is none. */
  public SocketAddress adminAddress() {
    return operatorEndpoints.adminAddress();
  }

  /** Calls {@link #reload(ConfigSources)} with the environment as the only source. */
  public void reload(Map<String, String> environment) {
    reload(ConfigSources.ofEnvironment(environment));
  }

  /**
   * Reloads the configuration, except for name and listen address. An invalid configuration changes nothing. Callable
   * from any thread: reads the files on the calling thread; the loop applies them in the order of the calls.
   */
  public synchronized void reload(ConfigSources sources) {
    Runnable task;
    try {
      ProxyConfig newConfig = ProxyConfig.reload(sources, loop.clock());
      task = () -> apply(newConfig);
    } catch (InvalidConfigException fault) {
      task = () -> {
        counters.increment(Count.RELOADS_REFUSED);
        fault.problems().forEach(problem ->
            log.log(Event.CONFIG_REFUSED, "the configuration stays as it was: " + problem, "why", problem));
      };
    }
    try {
      loop.post(task);
    } catch (RejectedExecutionException ignored) {
      // the proxy has stopped and needs no configuration
    }
  }

  /** Applies a configuration in a single task on the loop's thread, so that no other task sees it half applied. */
  private void apply(ProxyConfig newConfig) {
    counters.increment(Count.RELOADS);
    restartNeeded = ProxyConfig.keysNeedingRestart(config.operator(), newConfig.operator());
    ProxyConfig old = config;
    OperatorConfig operator = newConfig.operator();
    config = new ProxyConfig(newConfig.platform(), operator.withRestartKeysOf(old.operator()), newConfig.origins());
    applyLimits(newConfig);
    descriptorLimits.logShortage(newConfig.platform());
    transport.limits(operator.socketLimits());
    acceptor.limits(operator.socketLimits());
    directoryWatch.timing(watchTiming(config));
    core.configure(loop.now(), newConfig.platform().settings(), newConfig.platform().limits(), operator.coreTiming());
    directoryAddress = newConfig.platform().directoryAddress();
    directoryWatch.changeAddress(directoryAddress);
    log.configure(operator.logSettings());
    log.log(Event.CONFIG_RELOADED, "configuration read again, directory at " + directoryAddress, "directory",
        directoryAddress);
    if (!restartNeeded.isEmpty()) {
      log.log(Event.CONFIG_RESTART_NEEDED, "a restart is needed", "keys", String.join(",", restartNeeded));
    }
  }

  /** Stops gracefully: moves or rejects the clients, then closes everything. Returns when all is closed. */
  public void stop() {
    boolean hasSuccessor = coordinator != null && coordinator.hasSuccessor();
    if (hasSuccessor) {
      coordinator.storeBindings(runOnLoop(() -> {
        Map<String, String> bindings = new HashMap<>();
        core.forEachEstablished(bindings::put);
        return bindings;
      }));
    }
    log.log(Event.PROXY_STOPS, hasSuccessor ? "stopping, another process has taken over" : "stopping");
    loop.post(() -> {
      stopping = true;
      if (hasSuccessor) {
        acceptor.acceptBacklogAndClose();
      }
      core.stop(loop.now(), hasSuccessor, this::onDrained);
    });
    try {
      stopped.await(1, TimeUnit.MINUTES);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    kill();
    log.logSuppressed();
    log.log(Event.PROXY_STOPPED, counters.toString());
  }

  /** No invocation is left: sends idle and newly arriving clients a closing line, then closes everything. */
  private void onDrained() {
    clients.rejectNewClients(config.operator().coreTiming().stopRetryAfterMicros());
    loop.timerWheel().arm(loop.now() + CLOSE_DELAY_MICROS / 2, at -> acceptor.close());
    loop.timerWheel().arm(loop.now() + CLOSE_DELAY_MICROS, at -> {
      transport.closeAll();
      directoryWatch.close();
      stopped.countDown();
    });
  }

  /** Closes everything at once, as if the process had been killed. */
  public void kill() {
    operatorEndpoints.close();
    if (coordinator != null) {
      coordinator.close();
    }
    loop.close();
    pendingQueries.forEach(query -> query.completeExceptionally(new IllegalStateException("the proxy has stopped")));
  }

  /** The number of open sockets. */
  public int connections() {
    return runOnLoop(transport::size);
  }

  /** The current value of this counter. */
  public long count(Counters.Count count) {
    return runOnLoop(() -> counters.get(count));
  }

  /** A snapshot of the instance. */
  public Status status() {
    return runOnLoop(() -> StatusCollector.collect(config, stopping, this, (loop.now() - servingSinceMicros) / 1000,
        transport.size(), core, registry, counters, latencies, log, restartNeeded, directoryAddress));
  }

  /** The event loop, for tests that block it. */
  public EventLoop loop() {
    return loop;
  }

  /** Runs a query on the loop's thread and waits for it; {@link #kill} ends the wait if the loop closes first. */
  private <T> T runOnLoop(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    pendingQueries.add(result);
    try {
      loop.post(() -> {
        try {
          result.complete(query.get());
        } catch (RuntimeException fault) {
          result.completeExceptionally(fault);
        }
      });
      return result.join();
    } finally {
      pendingQueries.remove(result);
    }
  }

  private final class AdminSource implements AdminSocket.Source {
    @Override
    public Status status() {
      return Service.this.status();
    }

    @Override
    public Map<Span, org.HdrHistogram.AbstractHistogram> latencies() {
      return runOnLoop(() -> StatusCollector.copyLatencies(latencies));
    }

    @Override
    public String config() {
      return ProxyConfig.formatKeys(config);
    }
  }
}
