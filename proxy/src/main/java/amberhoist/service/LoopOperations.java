package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.decide.Balancer.Server;
import amberhoist.directory.ProviderRegistry;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.SetupOutcomes;
import amberhoist.metrics.SetupOutcomes.Outcome;
import amberhoist.mgmt.ManagementMetrics;
import amberhoist.mgmt.ManagementOperations;
import amberhoist.net.EventLoop;
import amberhoist.upgrade.UpgradeCoordinator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Runs the operations of the management API on the loop's thread, which owns the state that they read and change. */
final class LoopOperations implements ManagementOperations {
  private final EventLoop loop;
  private final Core core;
  private final ProviderRegistry registry;
  private final Counters counters;
  private final BooleanSupplier stopping;
  private final EventLog log;
  private final UpgradeCoordinator coordinator;

  /**
   * Creates the operations on this core.
   *
   * @param stopping whether the proxy is stopping; called on the loop's thread
   * @param coordinator shares suspensions with the other processes of an upgrade; null if there can be none
   */
  LoopOperations(EventLoop loop, Core core, ProviderRegistry registry, Counters counters, BooleanSupplier stopping,
      EventLog log, UpgradeCoordinator coordinator) {
    this.loop = loop;
    this.core = core;
    this.registry = registry;
    this.counters = counters;
    this.stopping = stopping;
    this.log = log;
    this.coordinator = coordinator;
  }

  private <T> CompletableFuture<T> runOnLoop(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.postUrgent(() -> {
      try {
        result.complete(query.get());
      } catch (RuntimeException fault) {
        result.completeExceptionally(fault);
      }
    });
    return result;
  }

  @Override
  public CompletableFuture<String> notReadyReason() {
    return runOnLoop(() -> stopping.getAsBoolean() ? "the proxy is stopping"
        : registry.listedProviders().isEmpty() ? "it has no list of viewer hosts" : "");
  }

  /** Whether this provider is known: the directory lists it, or it was suspended and has left the directory since. */
  private boolean isKnown(String provider) {
    return core.suspended().contains(provider)
        || registry.listedProviders().stream().anyMatch(server -> server.name().equals(provider));
  }

  @Override
  public CompletableFuture<ChangeResult> suspend(String provider) {
    return changeSuspension(provider, true, Event.PROVIDER_SUSPENDED, "suspended by an operator");
  }

  @Override
  public CompletableFuture<ChangeResult> resume(String provider) {
    return changeSuspension(provider, false, Event.PROVIDER_RESUMED, "resumed by an operator");
  }

  /** Stores the change before applying it: a change that was reported as done must survive an upgrade. */
  private CompletableFuture<ChangeResult> changeSuspension(String provider, boolean suspended, Event event,
      String message) {
    return runOnLoop(() -> isKnown(provider))
        .thenCompose(known -> known ? applySuspension(provider, suspended).thenApply(done -> {
          if (done) {
            log.log(event, message, "provider", provider);
          }
          return done ? ChangeResult.DONE : ChangeResult.NOT_STORED;
        }) : CompletableFuture.completedFuture(ChangeResult.UNKNOWN_PROVIDER));
  }

  private CompletableFuture<Boolean> applySuspension(String provider, boolean suspended) {
    if (coordinator != null) {
      return coordinator.setSuspended(provider, suspended);
    }
    return runOnLoop(() -> {
      Set<String> names = new HashSet<>(core.suspended());
      if (suspended ? names.add(provider) : names.remove(provider)) {
        core.setSuspended(loop.now(), names);
      }
      return true;
    });
  }

  @Override
  public CompletableFuture<ManagementMetrics> metrics() {
    return runOnLoop(() -> {
      SetupOutcomes outcomes = counters.setupOutcomes();
      List<Server> listed = registry.listedProviders();
      long now = loop.now();
      return new ManagementMetrics(outcomes.endedByClass(Outcome.SERVED), outcomes.endedByClass(Outcome.REFUSED),
          outcomes.endedByClass(Outcome.FAILED), outcomes.attempts(), core.invocationCount(), listed.size(),
          listed.stream().filter(server -> core.isExcluded(now, server.name())).count());
    });
  }
}
