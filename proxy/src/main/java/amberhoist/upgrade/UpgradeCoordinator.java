package amberhoist.upgrade;

import amberhoist.upgrade.UpgradeRecord.Member;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Coordinates this process with the other processes of the same proxy during an upgrade, through a record in a folder
 * that they share. Reads and writes files on its own thread.
 */
public final class UpgradeCoordinator implements AutoCloseable {
  /** Receives changes made by the other processes, on the coordinator's thread. Callbacks must not block. */
  public interface Listener {
    /**
     * The set of suspended providers has changed, through the management API of any process. Calls come in order.
     *
     * @param onApplied to be run once the change has taken effect
     */
    void onSuspensionsChanged(Set<String> providers, Runnable onApplied);

    /**
     * Another process moves its clients to this one; the map gives the provider of each client key. Called once for
     * each process that moves its clients.
     */
    void onBindingsChanged(Map<String, String> bindings);

    /** The list of providers that this process serves by, for a process that starts after it. */
    CompletableFuture<byte[]> encodeList();

    /**
     * The process before this one serves by this list. Called before {@link UpgradeCoordinator#join} returns, and again
     * at each change until {@link UpgradeCoordinator#endListTransfer} is called.
     */
    void onPredecessorList(byte[] list);

    /** The number of descriptors that the other processes hold, 0 if there are none. */
    void onOtherDescriptors(int otherDescriptors);
  }

  private static final long POLL_PERIOD_MILLIS = 100;
  private static final long MAX_LIST_WAIT_NANOS = 1_000_000_000; // an older version writes no list
  private static final long LIST_POLL_NANOS = 10_000_000;
  private static final int UPDATE_DESCRIPTORS = 3; // opened for a moment by an update of the record

  private final String token = UUID.randomUUID().toString();
  private final UpgradeRecordFile file;
  private final Listener listener;
  private final Consumer<String> failureListener;
  private final ScheduledThreadPoolExecutor executor;
  private final ListTransfer listTransfer;
  private final AppliedRecord applied = new AppliedRecord(token);
  private Member self = new Member(token, ProcessHandle.current().pid(), false, 0);
  private int otherDescriptors;
  private volatile int heldDescriptors;
  private volatile boolean joined;
  private volatile boolean needsList = true;
  private String lastFailure = "";

  /**
   * Creates a coordinator; {@link #join} starts it.
   *
   * @param folder the folder that the processes share
   * @param failureListener called with a message when the record cannot be read or written
   */
  public UpgradeCoordinator(Path folder, Listener listener, Consumer<String> failureListener) {
    this.listener = listener;
    this.failureListener = failureListener;
    file = new UpgradeRecordFile(folder, this::reportFailure);
    listTransfer = new ListTransfer(folder);
    executor = new ScheduledThreadPoolExecutor(1, task -> {
      Thread thread = new Thread(null, task, "upgrade", 1 << 18);
      thread.setDaemon(true);
      return thread;
    });
  }

  /**
   * Registers this process before it serves. When this returns, the listener has received all suspensions, and the list
   * of the process before this one, if there is one that writes it.
   */
  public void join() {
    joined = true;
    UpgradeRecord record = updateRecord(before -> before.with(self));
    applied.join(record);
    if (record.predecessorOf(token).isPresent()) {
      awaitPredecessorList();
    }
    poll();
    executor.scheduleWithFixedDelay(this::poll, POLL_PERIOD_MILLIS, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** The directory has answered this process, which needs no list of another one from now on. */
  public void endListTransfer() {
    needsList = false;
  }

  private void awaitPredecessorList() {
    long end = System.nanoTime() + MAX_LIST_WAIT_NANOS;
    while (needsList && !takePredecessorList() && System.nanoTime() - end < 0) {
      LockSupport.parkNanos(LIST_POLL_NANOS);
    }
  }

  private boolean takePredecessorList() {
    try {
      Optional<byte[]> list = listTransfer.take(token);
      list.ifPresent(listener::onPredecessorList);
      return list.isPresent();
    } catch (IOException failure) {
      reportFailure(String.valueOf(failure.getMessage()));
      return false;
    }
  }

  /** Hands the list to the processes that have started after this one, and takes that of the one before. */
  private void transferList(UpgradeRecord record) {
    List<Member> successors = record.successorsOf(token);
    try {
      if (!successors.isEmpty()) {
        listTransfer.write(successors, listener.encodeList().get(MAX_LIST_WAIT_NANOS, TimeUnit.NANOSECONDS));
      }
    } catch (IOException | ExecutionException | TimeoutException failure) {
      reportFailure("cannot hand over the list of providers: " + failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    if (needsList && record.predecessorOf(token).isPresent()) {
      takePredecessorList();
    }
  }

  /** Records that this process serves from now on. */
  public CompletableFuture<Void> markReady() {
    return CompletableFuture.runAsync(() -> {
      self = new Member(token, self.pid(), true, heldDescriptors);
      updateRecord(record -> record.with(self));
    }, executor);
  }

  /** Sets the number of descriptors that this process holds; callable from any thread. */
  public void setHeldDescriptors(int descriptors) {
    heldDescriptors = descriptors + UPDATE_DESCRIPTORS;
  }

  /**
   * Suspends or resumes a provider in all processes. Completes with true once the change is stored and has taken effect
   * in this process, with false if it could not be stored.
   */
  public CompletableFuture<Boolean> setSuspended(String provider, boolean suspended) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    executor.execute(() -> {
      try {
        UpgradeRecord stored = file.update(record -> withoutDeadMembers(record.with(provider, suspended)).with(self));
        applied.observe(stored); // delivered below, with what is to be run once it has taken effect
        listener.onSuspensionsChanged(stored.suspended(), () -> result.complete(true));
      } catch (IOException | RuntimeException failure) {
        reportFailure(String.valueOf(failure.getMessage()));
        result.complete(false);
      }
    });
    return result;
  }

  /** Stores the provider of each of this process's clients, by client key, for the process that they are moved to. */
  public void storeBindings(Map<String, String> bindings) {
    CompletableFuture.runAsync(() -> updateRecord(record -> record.withBindings(bindings)), executor).join();
  }

  /** Whether a live process that started after this one serves. */
  public boolean hasSuccessor() {
    return CompletableFuture.supplyAsync(() -> withoutDeadMembers(file.read()).hasSuccessor(token), executor).join();
  }

  private void poll() {
    try {
      UpgradeRecord current = file.read();
      observe(current);
      transferList(withoutDeadMembers(current));
      if (self.ready() && applied.areBindingsDue(current)) {
        takeBindings();
      }
      int others = withoutDeadMembers(current).members().stream().filter(member -> !member.token().equals(token))
          .mapToInt(Member::descriptors).sum();
      if (others != otherDescriptors || others > 0) {
        otherDescriptors = others;
        listener.onOtherDescriptors(others);
      }
      if (others > 0 || self.descriptors() == 0) {
        self = new Member(token, self.pid(), self.ready(), heldDescriptors);
      }
      if (!current.members().contains(self)) { // changed, or not stored when it changed
        updateRecord(record -> record.with(self));
      }
    } catch (RuntimeException failure) {
      reportFailure(String.valueOf(failure.getMessage()));
    }
  }

  /** Takes the bindings out of the record and delivers them, so that each store of bindings is delivered once. */
  private void takeBindings() {
    Map<String, String> taken = new HashMap<>();
    updateRecord(record -> {
      if (!applied.areBindingsDue(record)) {
        return record;
      }
      taken.putAll(record.bindings());
      return record.withBindings(Map.of());
    });
    if (!taken.isEmpty()) {
      listener.onBindingsChanged(taken);
    }
  }

  /**
   * Changes the record and delivers what the other processes have stored in it. On failure reports it and returns the
   * last known record.
   */
  private UpgradeRecord updateRecord(UnaryOperator<UpgradeRecord> change) {
    UpgradeRecord current;
    try {
      current = file.update(record -> change.apply(withoutDeadMembers(record)));
    } catch (IOException failure) {
      reportFailure(String.valueOf(failure.getMessage()));
      current = file.read();
    }
    observe(current);
    return current;
  }

  /** Delivers the suspensions of a record, from whichever read or update it comes. */
  private void observe(UpgradeRecord current) {
    applied.observe(current).ifPresent(due -> listener.onSuspensionsChanged(due, () -> { }));
  }

  private UpgradeRecord withoutDeadMembers(UpgradeRecord record) {
    return record.filterMembers(member -> member.token().equals(token)
        || ProcessHandle.of(member.pid()).map(ProcessHandle::isAlive).orElse(false));
  }

  private void leave() {
    UpgradeRecord record = updateRecord(before -> before.filterMembers(member -> !member.token().equals(token)));
    try {
      listTransfer.deleteUnused(record.members(), token);
    } catch (IOException failure) {
      reportFailure(String.valueOf(failure.getMessage()));
    }
  }

  private void reportFailure(String message) {
    if (!message.equals(lastFailure)) {
      lastFailure = message;
      failureListener.accept(message);
    }
  }

  @Override
  public void close() {
    if (joined) {
      executor.execute(this::leave);
    }
    executor.shutdown();
    try {
      executor.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
