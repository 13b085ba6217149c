package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.net.Loop;
import amberhoist.upgrade.Succession;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;

/** Applies what the processes of an upgrade share on the loop's thread. */
final class Sharing implements Succession.Host {
  private final Loop loop;
  private final Core core;
  private final IntConsumer otherDescriptors;

  /**
   * Creates a listener that changes this core.
   *
   * @param otherDescriptors called on the loop's thread with the number of descriptors that other processes hold
   */
  Sharing(Loop loop, Core core, IntConsumer otherDescriptors) {
    this.loop = loop;
    this.core = core;
    this.otherDescriptors = otherDescriptors;
  }

  @Override
  public void suspended(Set<String> providers, Runnable done) {
    loop.ahead(() -> {
      core.suspend(loop.now(), providers);
      done.run();
    });
  }

  @Override
  public void bindings(Map<String, String> clients) {
    loop.ahead(() -> core.bind(loop.now(), new HashMap<>(clients)));
  }

  @Override
  public void elsewhere(int descriptors) {
    loop.ahead(() -> otherDescriptors.accept(descriptors));
  }
}
