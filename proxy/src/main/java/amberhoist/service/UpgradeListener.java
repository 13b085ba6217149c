package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.directory.DirectoryUpdate;
import amberhoist.directory.ProviderListEncoder;
import amberhoist.directory.ProviderRegistry;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.net.EventLoop;
import amberhoist.upgrade.UpgradeCoordinator;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Applies on the loop's thread what the processes of an upgrade share. */
final class UpgradeListener implements UpgradeCoordinator.Listener {
  private final EventLoop loop;
  private final Core core;
  private final ProviderRegistry registry;
  private final BooleanSupplier directoryHasAnswered;
  private final EventLog log;
  private final IntConsumer otherDescriptorsListener;
  private byte[] encodedList; // loop thread only; null before the first call
  private long encodedRevision; // of the registry

  /**
   * Creates a listener that changes this core and registry.
   *
   * @param directoryHasAnswered whether the directory has answered this process; called on the loop's thread
   * @param otherDescriptorsListener called on the loop's thread with the number of descriptors that the other
   *     processes hold
   */
  UpgradeListener(EventLoop loop, Core core, ProviderRegistry registry, BooleanSupplier directoryHasAnswered,
      EventLog log, IntConsumer otherDescriptorsListener) {
    this.loop = loop;
    this.core = core;
    this.registry = registry;
    this.directoryHasAnswered = directoryHasAnswered;
    this.log = log;
    this.otherDescriptorsListener = otherDescriptorsListener;
  }

  @Override
  public void onSuspensionsChanged(Set<String> providers, Runnable onApplied) {
    loop.postUrgent(() -> {
      if (!core.suspended().equals(providers)) {
        log.log(Event.UPGRADE_SUSPENSIONS, "suspensions have changed", "providers", String.join(",", providers));
      }
      core.setSuspended(loop.now(), providers);
      onApplied.run();
    });
  }

  @Override
  public void onBindingsChanged(Map<String, String> bindings) {
    loop.postUrgent(() -> core.restoreAffinity(loop.now(), new HashMap<>(bindings)));
  }

  @Override
  public CompletableFuture<byte[]> encodeList() {
    CompletableFuture<byte[]> list = new CompletableFuture<>();
    loop.postUrgent(() -> {
      if (encodedList == null || encodedRevision != registry.revision()) {
        encodedList = ProviderListEncoder.encode(registry, loop.clock());
        encodedRevision = registry.revision();
      }
      list.complete(encodedList);
    });
    return list;
  }

  @Override
  public void onPredecessorList(byte[] list) {
    DirectoryUpdate update;
    try {
      update = ProviderListEncoder.decode(list, loop.clock());
    } catch (IOException fault) {
      log.log(Event.UPGRADE_FAILED, "cannot read the list of the process before this one", "why", fault);
      return;
    }
    loop.postUrgent(() -> {
      if (!directoryHasAnswered.getAsBoolean()) {
        log.log(Event.UPGRADE_LIST, "serving by the list of the process before this one", "providers",
            update.providers().size());
        core.onDirectoryUpdate(loop.now(), ListUpdateKind.STALE, registry.update(update));
      }
    });
  }

  @Override
  public void onOtherDescriptors(int descriptors) {
    loop.postUrgent(() -> otherDescriptorsListener.accept(descriptors));
  }
}
