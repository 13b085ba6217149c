package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.decide.Balancer.Server;
import amberhoist.directory.AddressBook;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Outcomes;
import amberhoist.metrics.Outcomes.Outcome;
import amberhoist.mgmt.Figures;
import amberhoist.mgmt.Operations;
import amberhoist.net.Loop;
import amberhoist.upgrade.Succession;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Runs the operations of the management API on the loop's thread, which owns the state that they read and change. */
final class ManagementActions implements Operations {
  private final Loop loop;
  private final Core core;
  private final AddressBook addresses;
  private final Counters counters;
  private final BooleanSupplier stopping;
  private final EventLog log;
  private final Succession coordinator;

  /**
   * Creates the operations on this core.
   *
   * @param stopping whether the proxy is stopping; called on the loop's thread
   * @param coordinator shares suspensions with the other processes of an upgrade; null if there can be none
   */
  ManagementActions(Loop loop, Core core, AddressBook addresses, Counters counters, BooleanSupplier stopping,
      EventLog log, Succession coordinator) {
    this.loop = loop;
    this.core = core;
    this.addresses = addresses;
    this.counters = counters;
    this.stopping = stopping;
    this.log = log;
    this.coordinator = coordinator;
  }

  private <T> CompletableFuture<T> runOnLoop(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.ahead(() -> {
      try {
        result.complete(query.get());
      } catch (RuntimeException fault) {
        result.completeExceptionally(fault);
      }
    });
    return result;
  }

  @Override
  public CompletableFuture<String> unready() {
    return runOnLoop(() -> stopping.getAsBoolean() ? "the proxy is stopping"
        : addresses.listed().isEmpty() ? "it has no list of viewer hosts" : "");
  }

  /** Whether this provider is known: the directory lists it, or it was suspended and has left the directory since. */
  private boolean isKnown(String provider) {
    return core.suspended().contains(provider)
        || addresses.listed().stream().anyMatch(server -> server.name().equals(provider));
  }

  @Override
  public CompletableFuture<Verdict> suspend(String provider) {
    return changeSuspension(provider, true, Event.PROVIDER_SUSPENDED, "suspended by an operator");
  }

  @Override
  public CompletableFuture<Verdict> resume(String provider) {
    return changeSuspension(provider, false, Event.PROVIDER_RESUMED, "resumed by an operator");
  }

  /** Stores the change before applying it: a change that was reported as done must survive an upgrade. */
  private CompletableFuture<Verdict> changeSuspension(String provider, boolean suspended, Event event,
      String message) {
    return runOnLoop(() -> isKnown(provider))
        .thenCompose(known -> known ? applySuspension(provider, suspended).thenApply(done -> {
          if (done) {
            log.tell(event, message, "provider", provider);
          }
          return done ? Verdict.DONE : Verdict.NOT_KEPT;
        }) : CompletableFuture.completedFuture(Verdict.UNKNOWN));
  }

  private CompletableFuture<Boolean> applySuspension(String provider, boolean suspended) {
    if (coordinator != null) {
      return coordinator.suspend(provider, suspended);
    }
    return runOnLoop(() -> {
      Set<String> names = new HashSet<>(core.suspended());
      if (suspended ? names.add(provider) : names.remove(provider)) {
        core.suspend(loop.now(), names);
      }
      return true;
    });
  }

  @Override
  public CompletableFuture<Figures> figures() {
    return runOnLoop(() -> {
      Outcomes outcomes = counters.outcomes();
      List<Server> listed = addresses.listed();
      long now = loop.now();
      return new Figures(outcomes.byClass(Outcome.SERVED), outcomes.byClass(Outcome.REFUSED),
          outcomes.byClass(Outcome.FAILED), outcomes.attempts(), core.size(), listed.size(),
          listed.stream().filter(server -> core.avoids(now, server.name())).count());
    });
  }
}
