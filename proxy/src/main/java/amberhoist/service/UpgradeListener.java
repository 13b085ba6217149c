package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.net.EventLoop;
import amberhoist.upgrade.UpgradeCoordinator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;

/** Applies on the loop's thread what the processes of an upgrade share. */
final class UpgradeListener implements UpgradeCoordinator.Listener {
  private final EventLoop loop;
  private final Core core;
  private final EventLog log;
  private final IntConsumer otherDescriptorsListener;

  /**
   * Creates a listener that changes this core.
   *
   * @param otherDescriptorsListener called on the loop's thread with the number of descriptors that the other
   *     processes hold
   */
  UpgradeListener(EventLoop loop, Core core, EventLog log, IntConsumer otherDescriptorsListener) {
    this.loop = loop;
    this.core = core;
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
  public void onOtherDescriptors(int descriptors) {
    loop.postUrgent(() -> otherDescriptorsListener.accept(descriptors));
  }
}
