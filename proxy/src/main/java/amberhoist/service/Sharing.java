package amberhoist.service;

import amberhoist.core.Core;
import amberhoist.net.Loop;
import amberhoist.upgrade.Succession;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;

/** Takes what the processes of an upgrade share to the loop's thread. */
final class Sharing implements Succession.Host {
  private final Loop loop;
  private final Core core;
  private final IntConsumer elsewhere;

  /** What is shared goes to this core; {@code elsewhere} is told on the loop's thread. */
  Sharing(Loop loop, Core core, IntConsumer elsewhere) {
    this.loop = loop;
    this.core = core;
    this.elsewhere = elsewhere;
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
    loop.ahead(() -> elsewhere.accept(descriptors));
  }
}
