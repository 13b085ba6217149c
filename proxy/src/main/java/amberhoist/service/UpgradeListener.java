package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.net.EventLoop;
import amberhoist.upgrade.UpgradeCoordinator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;

/** Applies what the processes of an upgrade share on the loop's thread. */
final class UpgradeListener implements UpgradeCoordinator.Listener {
  private final EventLoop loop;
  private final Core core;
  private final IntConsumer otherDescriptors;

  /**
   * Creates a listener that changes this core.
   *
   * @param otherDescriptors called on the loop's thread with the number of descriptors that other processes hold
   */
  UpgradeListener(EventLoop loop, Core core, IntConsumer otherDescriptors) {
    this.loop = loop;
    this.core = core;
    this.otherDescriptors = otherDescriptors;
  }

  @Override
  public void onSuspensionsChanged(Set<String> providers, Runnable done) {
    loop.postUrgent(() -> {
      core.setSuspended(loop.now(), providers);
      done.run();
    });
  }

  @Override
  public void onBindingsChanged(Map<String, String> clients) {
    loop.postUrgent(() -> core.bindClients(loop.now(), new HashMap<>(clients)));
  }

  @Override
  public void onOtherDescriptors(int descriptors) {
    loop.postUrgent(() -> otherDescriptors.accept(descriptors));
  }
}
