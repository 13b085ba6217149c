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

/** Takes what the operators' door asks for to the loop's thread, which owns all that it is answered from. */
final class ManagementActions implements Operations {
  private final Loop loop;
  private final Core core;
  private final AddressBook addresses;
  private final Counters counters;
  private final BooleanSupplier stopping;
  private final EventLog log;
  private final Succession succession;

  /** A desk for this core; {@code stopping} is asked on the loop's thread, {@code succession} null for none. */
  ManagementActions(Loop loop, Core core, AddressBook addresses, Counters counters, BooleanSupplier stopping,
      EventLog log, Succession succession) {
    this.loop = loop;
    this.core = core;
    this.addresses = addresses;
    this.counters = counters;
    this.stopping = stopping;
    this.log = log;
    this.succession = succession;
  }

  private <T> CompletableFuture<T> asked(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.ahead(() -> {
      try {
        answer.complete(question.get());
      } catch (RuntimeException fault) {
        answer.completeExceptionally(fault);
      }
    });
    return answer;
  }

  @Override
  public CompletableFuture<String> unready() {
    return asked(() -> stopping.getAsBoolean() ? "it stops"
        : addresses.listed().isEmpty() ? "it has no list of viewer hosts" : "");
  }

  /** Whether anybody has this id: the directory lists it, or it was taken out and has left since. */
  private boolean known(String provider) {
    return core.suspended().contains(provider)
        || addresses.listed().stream().anyMatch(server -> server.name().equals(provider));
  }

  @Override
  public CompletableFuture<Verdict> suspend(String provider) {
    return command(provider, true, Event.PROVIDER_SUSPENDED, "taken out by an operator");
  }

  @Override
  public CompletableFuture<Verdict> resume(String provider) {
    return command(provider, false, Event.PROVIDER_RESUMED, "called back by an operator");
  }

  /** Kept first, for a process that takes over, and done then: a yes must hold over an upgrade. */
  private CompletableFuture<Verdict> command(String provider, boolean out, Event event, String message) {
    return asked(() -> known(provider)).thenCompose(known -> known ? done(provider, out).thenApply(done -> {
      if (done) {
        log.tell(event, message, "provider", provider);
      }
      return done ? Verdict.DONE : Verdict.NOT_KEPT;
    }) : CompletableFuture.completedFuture(Verdict.UNKNOWN));
  }

  private CompletableFuture<Boolean> done(String provider, boolean out) {
    if (succession != null) {
      return succession.suspend(provider, out);
    }
    return asked(() -> {
      Set<String> names = new HashSet<>(core.suspended());
      if (out ? names.add(provider) : names.remove(provider)) {
        core.suspend(loop.now(), names);
      }
      return true;
    });
  }

  @Override
  public CompletableFuture<Figures> figures() {
    return asked(() -> {
      Outcomes outcomes = counters.outcomes();
      List<Server> listed = addresses.listed();
      long now = loop.now();
      return new Figures(outcomes.byClass(Outcome.SERVED), outcomes.byClass(Outcome.REFUSED),
          outcomes.byClass(Outcome.FAILED), outcomes.attempts(), core.size(), listed.size(),
          listed.stream().filter(server -> core.avoids(now, server.name())).count());
    });
  }
}
