package amberhoist.upgrade;

import amberhoist.upgrade.Handover.Member;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * One of the processes of a proxy, beside the others: what is kept for all of them goes through the record in the
 * folder that they share. Files are looked at and written on a thread of its own.
 */
public final class Succession implements AutoCloseable {
  /** What is told of the others; calls come on the thread of the succession and must return at once. */
  public interface Host {
    /** These providers are taken out, by a call at whichever door; told in order, and {@code done} once it holds. */
    void suspended(Set<String> providers, Runnable done);

    /** These clients, by their keys, stood at these providers through a process that now sends them here. */
    void bindings(Map<String, String> clients);

    /** The others hold so many descriptors, 0 when there is none. */
    void elsewhere(int descriptors);
  }

  private static final long PERIOD = 100; // ms between looks at the record
  private static final int FILES = 3; // what a change of the record opens for a moment

  private final String token = UUID.randomUUID().toString();
  private final HandoverFile file;
  private final Host host;
  private final Consumer<String> log;
  private final ScheduledThreadPoolExecutor thread;
  private Handover seen = Handover.EMPTY;
  private Member self = new Member(token, ProcessHandle.current().pid(), false, 0);
  private int elsewhere;
  private volatile int held;
  private String lastFault = "";

  /** A process that shares this folder with others; {@code log} is told what goes wrong with it. */
  public Succession(Path folder, Host host, Consumer<String> log) {
    this.host = host;
    this.log = log;
    file = new HandoverFile(folder, this::fault);
    thread = new ScheduledThreadPoolExecutor(1, task -> {
      Thread made = new Thread(null, task, "upgrade", 1 << 18);
      made.setDaemon(true);
      return made;
    });
  }

  /** Joins the others, before this process serves; {@code host} has been told of all suspensions when it returns. */
  public void join() {
    seen = kept(record -> record.with(self));
    host.suspended(seen.suspended(), () -> { });
    beat();
    thread.scheduleWithFixedDelay(this::beat, PERIOD, PERIOD, TimeUnit.MILLISECONDS);
  }

  /** From now on this process serves. */
  public CompletableFuture<Void> ready() {
    return CompletableFuture.runAsync(() -> {
      self = new Member(token, self.pid(), true, held);
      seen = kept(record -> record.with(self));
    }, thread);
  }

  /** This process holds so many descriptors; it may be called from any thread. */
  public void holds(int descriptors) {
    held = descriptors + FILES;
  }

  /** Takes a provider out or calls it back, for all processes; whether that could be kept and now holds here. */
  public CompletableFuture<Boolean> suspend(String provider, boolean out) {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    thread.execute(() -> {
      try {
        seen = file.update(record -> living(record.with(provider, out)).with(self));
        host.suspended(seen.suspended(), () -> done.complete(true));
      } catch (IOException | RuntimeException failed) {
        fault(String.valueOf(failed.getMessage()));
        done.complete(false);
      }
    });
    return done;
  }

  /** Keeps where this process's clients stand, by their keys, for the one that they are sent to. */
  public void leave(Map<String, String> clients) {
    CompletableFuture.runAsync(() -> kept(record -> record.binding(clients)), thread).join();
  }

  /** Whether a process that started after this one serves now. */
  public boolean succeeded() {
    return CompletableFuture.supplyAsync(() -> living(file.read()).succeeded(token), thread).join();
  }

  private void beat() {
    try {
      Handover now = file.read();
      if (!now.suspended().equals(seen.suspended())) {
        host.suspended(now.suspended(), () -> { });
      }
      if (!now.bindings().equals(seen.bindings()) && !now.succeeded(token)) { // told to the latest process
        host.bindings(now.bindings());
      }
      seen = now;
      int others = living(now).members().stream().filter(member -> !member.token().equals(token))
          .mapToInt(Member::descriptors).sum();
      if (others != elsewhere || others > 0) {
        elsewhere = others;
        host.elsewhere(others);
      }
      if (held != self.descriptors() && (others > 0 || self.descriptors() == 0)) {
        self = new Member(token, self.pid(), self.ready(), held);
        seen = kept(record -> record.with(self));
      }
    } catch (RuntimeException failed) {
      fault(String.valueOf(failed.getMessage()));
    }
  }

  /** Writes a change; what cannot be written costs a line in the log, and holds here all the same. */
  private Handover kept(UnaryOperator<Handover> change) {
    try {
      return file.update(record -> change.apply(living(record)));
    } catch (IOException failed) {
      fault(String.valueOf(failed.getMessage()));
      return file.read();
    }
  }

  private Handover living(Handover record) {
    return record.keeping(member -> member.token().equals(token)
        || ProcessHandle.of(member.pid()).map(ProcessHandle::isAlive).orElse(false));
  }

  private void fault(String why) {
    if (!why.equals(lastFault)) {
      lastFault = why;
      log.accept(why);
    }
  }

  @Override
  public void close() {
    thread.execute(() -> kept(record -> record.keeping(member -> !member.token().equals(token))));
    thread.shutdown();
    try {
      thread.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
