package amberhoist.lab.emulator;

import amberhoist.lab.experiment.Experiment.Fault;
import java.util.ArrayList;
import java.util.List;

/** Injects an experiment's faults at their times. */
final class FaultInjector {
  private static final long RESTART_MICROS = 400_000; // from the end of a proxy's process to its restart
  private static final long KILL_TIMEOUT_MICROS = 3_700_000; // from SIGTERM to SIGKILL

  private final Simulation simulation;
  private final RandomSource random;

  FaultInjector(Simulation simulation, RandomSource random) {
    this.simulation = simulation;
    this.random = random;
  }

  private static long micros(java.time.Duration duration) {
    return duration.toNanos() / 1000;
  }

  /** Schedules all faults. */
  void schedule(List<Fault> faults) {
    for (Fault fault : faults) {
      simulation.time.runAt(Simulation.START_MICROS + micros(fault.at()), () -> inject(fault));
    }
  }

  /** A random sample of this share, at least one element of a non-empty list. */
  private <T> List<T> sample(List<T> all, double share) {
    List<T> remaining = new ArrayList<>(all);
    List<T> sampled = new ArrayList<>();
    long count = Math.max(1, Math.round(share * all.size()));
    while (sampled.size() < count && !remaining.isEmpty()) {
      sampled.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return sampled;
  }

  private void inject(Fault fault) {
    long duration = micros(fault.length());
    switch (fault.kind()) {
      case HANG -> sample(simulation.providers(), fault.share()).forEach(provider -> {
        provider.setHung(true);
        simulation.time.runAfter(duration, () -> provider.setHung(false));
      });
      case VANISH -> sample(simulation.providers(), fault.share()).forEach(provider -> vanish(provider, duration));
      case DEPLOY -> deploy(sample(simulation.providers(), fault.share()), duration, fault.size());
      case STORE_SLOW -> {
        simulation.setStoreSlowdown(Math.max(1, fault.size()));
        simulation.time.runAfter(duration, () -> simulation.setStoreSlowdown(1));
      }
      case DROP -> sample(simulation.clients(), fault.share()).forEach(client ->
          simulation.time.runAfter(random.nextBetween(0, duration),
              () -> client.dropConnection(random.nextBetween(0, duration))));
      case PROXY_RESTART -> restart(sample(simulation.proxies(), fault.share()), 0);
      case BURST -> {
        simulation.setTrafficFactor(fault.size());
        simulation.time.runAfter(duration, () -> simulation.setTrafficFactor(1));
      }
      case SHRINK -> shrink(sample(simulation.providers(), fault.share()), duration, (long) (fault.size() * 1e6));
      case DIRECTORY_DOWN -> simulation.pauseDirectory(simulation.time.now() + duration);
      case CUT -> sample(simulation.proxies(), fault.share()).forEach(proxy ->
          sample(simulation.providers(), fault.size()).forEach(provider -> {
            provider.setPartitioned(proxy, true);
            simulation.time.runAfter(duration, () -> provider.setPartitioned(proxy, false));
          }));
      default -> throw new IllegalStateException(fault.kind().toString());
    }
  }

  private void vanish(EmulatedProvider provider, long duration) {
    provider.vanish();
    simulation.time.runAfter(Math.min(duration, simulation.lossDetectionMicros()), () -> simulation.publish(provider));
    simulation.time.runAfter(duration, () -> {
      provider.start();
      simulation.publish(provider);
    });
  }

  /** A rolling deploy: batches of providers, each a share of the whole fleet, drain, stop and restart cold. */
  private void deploy(List<EmulatedProvider> providers, long duration, double batchShare) {
    int batchSize = (int) Math.max(1, Math.round(batchShare * simulation.providers().size()));
    int batches = (providers.size() + batchSize - 1) / batchSize;
    long step = duration / Math.max(1, batches);
    for (int i = 0; i < providers.size(); i++) {
      EmulatedProvider provider = providers.get(i);
      simulation.time.runAfter(i / batchSize * step, () -> {
        provider.drain(Math.max(1, step * 2 / 3), () -> {
          simulation.publish(provider);
          simulation.time.runAfter(Math.max(1, step / 6), () -> {
            provider.start();
            simulation.publish(provider);
          });
        });
        simulation.publish(provider);
      });
    }
  }

  /** Providers drain one after the other, each for {@code drainMicros}, and do not return. */
  private void shrink(List<EmulatedProvider> providers, long duration, long drainMicros) {
    for (int i = 0; i < providers.size(); i++) {
      EmulatedProvider provider = providers.get(i);
      simulation.time.runAfter(duration * i / providers.size(), () -> {
        provider.drain(Math.max(1, drainMicros), () -> simulation.publish(provider));
        simulation.publish(provider);
      });
    }
  }

  /** Restarts the proxies one after the other, from this index on. */
  private void restart(List<EmulatedProxy> proxies, int index) {
    if (index >= proxies.size()) {
      return;
    }
    EmulatedProxy proxy = proxies.get(index);
    simulation.time.runAfter(random.nextBetween(200_000, 400_000), () -> simulation.setInRotation(proxy, false));
    boolean[] stopped = new boolean[1];
    Runnable startNext = () -> {
      if (!stopped[0]) {
        stopped[0] = true;
        simulation.time.runAfter(RESTART_MICROS, () -> {
          simulation.startProxy(proxy);
          simulation.setInRotation(proxy, true);
          restart(proxies, index + 1);
        });
      }
    };
    proxy.stop(startNext);
    simulation.time.runAfter(KILL_TIMEOUT_MICROS, startNext);
  }
}
