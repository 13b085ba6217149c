package amberhoist.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What one process stores in the upgrade record while another one is between a look at it and an update of its own. */
@Timeout(60)
class UpgradeCoordinatorTest {
  private static final int HELD_DESCRIPTORS = 40;

  @TempDir
  Path folder;

  private final List<Process> processes = new ArrayList<>();

  /** A process of the proxy whose coordinator can be held up within a poll, after it has read the record. */
  private final class Process implements UpgradeCoordinator.Listener {
    final List<Set<String>> suspensions = new ArrayList<>();
    final List<Map<String, String>> bindings = new ArrayList<>();
    final Semaphore pollsHeld = new Semaphore(0);
    final Semaphore pollsAllowed = new Semaphore(0);
    final List<String> predecessorLists = new ArrayList<>();
    final UpgradeCoordinator coordinator;
    volatile boolean holdsPolls;
    volatile String list = "its own";

    Process() {
      coordinator = new UpgradeCoordinator(folder, this, failure -> { });
      coordinator.setHeldDescriptors(HELD_DESCRIPTORS);
      coordinator.join();
      processes.add(this);
    }

    /** Waits until the next poll has read the record, and holds it there. */
    void holdPoll() {
      holdsPolls = true;
      pollsHeld.acquireUninterruptibly();
    }

    /** Lets the held poll go on, and waits until the next one has read the record and delivered its changes. */
    void passPoll() {
      pollsAllowed.release();
      pollsHeld.acquireUninterruptibly();
    }

    void releasePolls() {
      holdsPolls = false;
      pollsAllowed.release();
    }

    synchronized Set<String> lastSuspensions() {
      return suspensions.get(suspensions.size() - 1);
    }

    synchronized List<Map<String, String>> bindings() {
      return List.copyOf(bindings);
    }

    @Override
    public synchronized void onSuspensionsChanged(Set<String> providers, Runnable onApplied) {
      suspensions.add(providers);
      onApplied.run();
    }

    @Override
    public synchronized void onBindingsChanged(Map<String, String> providerByClient) {
      bindings.add(providerByClient);
    }

    @Override
    public CompletableFuture<byte[]> encodeList() {
      return CompletableFuture.completedFuture(list.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public synchronized void onPredecessorList(byte[] predecessorList) {
      predecessorLists.add(new String(predecessorList, StandardCharsets.UTF_8));
      notifyAll();
    }

    synchronized void awaitList(String expected) throws InterruptedException {
      while (!predecessorLists.contains(expected)) {
        wait();
      }
    }

    synchronized List<String> predecessorLists() {
      return List.copyOf(predecessorLists);
    }

    @Override
    public void onOtherDescriptors(int otherDescriptors) {
      if (holdsPolls) { // comes late in each poll while there is another process
        pollsHeld.release();
        pollsAllowed.acquireUninterruptibly();
      }
    }
  }

  @AfterEach
  void closeAll() {
    processes.forEach(Process::releasePolls);
    processes.forEach(process -> process.coordinator.close());
  }

  /** Guards against a new version that serves by an older list than the version before it. */
  @Test
  void aStartingProcessGetsTheListOfTheOneBeforeItAndItsChanges() throws Exception {
    Process oldest = new Process();
    oldest.coordinator.markReady().join();
    Process serving = new Process();
    serving.list = "of the second";
    assertEquals(List.of("its own"), serving.predecessorLists(), "before join returns");
    serving.coordinator.endListTransfer();
    serving.coordinator.markReady().join();
    Process starting = new Process();
    assertEquals(List.of("of the second"), starting.predecessorLists());
    serving.list = "changed";
    starting.awaitList("changed");
    starting.coordinator.endListTransfer();
    oldest.list = "of the first, changed";
    serving.list = "changed again";
    starting.coordinator.markReady().join();
    Process next = new Process();
    next.awaitList("its own");
    assertEquals(List.of("of the second", "changed"), starting.predecessorLists(), "the directory has answered it");
    assertEquals(List.of("its own"), serving.predecessorLists());
  }

  /** Guards against a start that hangs because the process before it is held up, or of a version without lists. */
  @Test
  void aStartGoesOnIfTheProcessBeforeItWritesNoList() {
    Process serving = new Process();
    serving.coordinator.markReady().join();
    Process other = new Process(); // polls are held only while there is another process
    serving.holdPoll();
    Process starting = new Process();
    assertEquals(List.of(), starting.predecessorLists());
    serving.releasePolls();
    assertEquals(List.of("its own"), other.predecessorLists());
  }

  @Test
  void filesOfListsAreDeletedInTheEnd() throws Exception {
    Process serving = new Process();
    serving.coordinator.markReady().join();
    new Process().awaitList("its own");
    Files.writeString(folder.resolve("amberhoist.list.of-a-process-that-was-killed"), "{}");
    processes.forEach(process -> process.coordinator.close());
    try (Stream<Path> files = Files.list(folder)) {
      assertEquals(List.of(), files.map(file -> file.getFileName().toString())
          .filter(name -> name.startsWith("amberhoist.list")).toList());
    }
    processes.clear();
  }

  /** Guards against a suspension that is lost because the mark of readiness is stored right after it. */
  @Test
  void readyMarkDeliversASuspensionThatAnotherProcessHasJustStored() {
    Process serving = new Process();
    Process starting = new Process();
    starting.holdPoll();
    assertTrue(serving.coordinator.setSuspended("p0", true).join());
    CompletableFuture<Void> ready = starting.coordinator.markReady();
    starting.releasePolls();
    ready.join();
    assertEquals(Set.of("p0"), starting.lastSuspensions());
  }

  /** Guards against a suspension that is lost because a new number of descriptors is stored right after it. */
  @Test
  void descriptorUpdateDeliversASuspensionThatAnotherProcessHasJustStored() {
    Process serving = new Process();
    Process other = new Process();
    other.holdPoll();
    assertTrue(serving.coordinator.setSuspended("p0", true).join());
    other.coordinator.setHeldDescriptors(2 * HELD_DESCRIPTORS);
    other.passPoll();
    assertEquals(Set.of("p0"), other.lastSuspensions());
    assertTrue(serving.coordinator.setSuspended("p0", false).join());
    other.coordinator.setHeldDescriptors(HELD_DESCRIPTORS);
    other.passPoll();
    assertEquals(Set.of(), other.lastSuspensions(), "the same holds for a resumed provider");
  }

  /** Guards against affinity that is lost when two upgrades in a row move the same clients from the same providers. */
  @Test
  void equalBindingsOfTwoUpgradesAreDeliveredOnceToEachSuccessor() {
    Map<String, String> bindings = Map.of("k1", "p0", "k2", "p1");
    Process first = new Process();
    Process second = new Process();
    second.coordinator.markReady().join();
    second.holdPoll();
    first.coordinator.storeBindings(bindings);
    second.passPoll(); // may have read the record before the store
    second.passPoll();
    assertEquals(List.of(bindings), second.bindings());
    Process third = new Process();
    third.coordinator.markReady().join();
    third.holdPoll();
    second.releasePolls();
    second.coordinator.storeBindings(bindings);
    third.passPoll();
    third.passPoll();
    assertEquals(List.of(bindings), third.bindings());
    assertEquals(List.of(bindings), second.bindings(), "a process does not take what it stored itself");
    assertEquals(List.of(), first.bindings());
  }

  /** Guards against bindings that are lost because a suspension is stored at the successor right after them. */
  @Test
  void suspensionAtTheSuccessorKeepsBindingsThatWereJustStored() {
    Map<String, String> bindings = Map.of("k1", "p0");
    Process old = new Process();
    Process successor = new Process();
    successor.coordinator.markReady().join();
    successor.holdPoll();
    old.coordinator.storeBindings(bindings);
    CompletableFuture<Boolean> suspended = successor.coordinator.setSuspended("p1", true);
    successor.releasePolls();
    assertTrue(suspended.join());
    successor.holdPoll();
    successor.passPoll();
    assertEquals(List.of(bindings), successor.bindings());
    assertEquals(Set.of("p1"), successor.lastSuspensions());
  }

  /** Guards against bindings of an earlier upgrade that hide those of the upgrade at hand. */
  @Test
  void bindingsStoredBeforeAProcessJoinedAreNotDelivered() {
    Map<String, String> current = Map.of("k1", "p1");
    Process old = new Process();
    old.coordinator.storeBindings(Map.of("k1", "p0")); // nobody takes them
    Process successor = new Process();
    successor.coordinator.markReady().join();
    successor.holdPoll();
    successor.passPoll();
    assertEquals(List.of(), successor.bindings());
    old.coordinator.storeBindings(current);
    successor.passPoll();
    successor.passPoll();
    assertEquals(List.of(current), successor.bindings());
  }

  /** Guards against a successor that the old process never learns of: the record was locked when it got ready. */
  @Test
  void readyMarkThatCouldNotBeStoredIsStoredLater() throws Exception {
    Process old = new Process();
    Process successor = new Process();
    try (FileChannel lockFile = FileChannel.open(folder.resolve("amberhoist.handover.lock"),
        StandardOpenOption.WRITE)) {
      lockFile.lock();
      successor.coordinator.markReady().join();
      assertFalse(old.coordinator.hasSuccessor());
    }
    successor.holdPoll();
    successor.passPoll();
    assertTrue(old.coordinator.hasSuccessor());
  }
}
