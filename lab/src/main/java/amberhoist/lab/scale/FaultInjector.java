package amberhoist.lab.scale;

import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualTime;
import java.util.List;

/** Injects faults that are drawn from a seed. */
final class FaultInjector {
  private static final long SECOND = 1_000_000;
  private static final double DAY_MICROS = 86_400.0 * SECOND;
  private static final double ACCELERATION = 100; // faults are this many times as frequent as on an ordinary day
  private static final double REFERENCE_MACHINES = 4_300; // to which the daily numbers below refer
  private static final double FAILURES_PER_DAY = 13;
  private static final double RESTARTS_PER_DAY = 1_100;
  private static final double RACK_FAILURES_PER_DAY = 1 / 7.0;
  private static final double ZONE_FAILURES_PER_DAY = 1 / 60.0;
  private static final double REGION_CUTS_PER_DAY = 1 / 30.0;
  private static final int PROXIES_PER_RACK = 40;
  private static final long HARSH_INTERVAL_MICROS = 4 * SECOND;
  private static final double CRASH_DURING_CHANGE_FRACTION = 0.3; // of the changes in a harsh run

  private final ScaleSettings settings;
  private final VirtualTime time;
  private final RandomSource random;
  private final Topology topology;
  private final Network network;
  private final List<ControllerMachine> controllers;
  private final List<ControlPlaneProxy> proxies;
  private long endMicros;
  private int proxyRestarts;
  private int failedMachines;
  private int isolations;
  private int controllerFaults;

  FaultInjector(ScaleSettings settings, VirtualTime time, RandomSource random, Topology topology, Network network,
      List<ControllerMachine> controllers, List<ControlPlaneProxy> proxies) {
    this.settings = settings;
    this.time = time;
    this.random = random;
    this.topology = topology;
    this.network = network;
    this.controllers = controllers;
    this.proxies = proxies;
  }

  /** Injects faults from now until this time. */
  void start(long untilMicros) {
    endMicros = untilMicros;
    if (settings.faults() == ScaleFaults.NONE) {
      return;
    }
    double sizeRatio = settings.proxies() / REFERENCE_MACHINES;
    scheduleRepeatedly(RESTARTS_PER_DAY * sizeRatio,
        () -> restart(randomProxy(), random.nextBetween(SECOND, 3 * SECOND)));
    scheduleRepeatedly(FAILURES_PER_DAY * sizeRatio, this::failMachine);
    scheduleRepeatedly(RACK_FAILURES_PER_DAY * sizeRatio, this::failRack);
    scheduleRepeatedly(ZONE_FAILURES_PER_DAY,
        () -> failZone(random.nextInt(settings.zones()), random.nextBetween(3 * SECOND, 10 * SECOND)));
    scheduleRepeatedly(REGION_CUTS_PER_DAY,
        () -> cutRegion(random.nextInt(settings.regions()), random.nextBetween(10 * SECOND, 30 * SECOND)));
    if (settings.faults() == ScaleFaults.HARSH) {
      scheduleHarshFault();
    }
  }

  private void scheduleRepeatedly(double perDay, Runnable fault) {
    time.runAfter((long) random.nextExponential(DAY_MICROS / (ACCELERATION * perDay)), () -> {
      if (time.now() < endMicros) {
        fault.run();
        scheduleRepeatedly(perDay, fault);
      }
    });
  }

  private ControlPlaneProxy randomProxy() {
    return proxies.get(random.nextInt(proxies.size()));
  }

  private void restart(ControlPlaneProxy proxy, long downtimeMicros) {
    proxyRestarts++;
    proxy.restart(downtimeMicros);
  }

  /** Fails a random machine of a proxy or a controller. */
  private void failMachine() {
    int machine = random.nextInt(proxies.size() + controllers.size());
    failedMachines++;
    if (machine < proxies.size()) {
      proxies.get(machine).restart(random.nextBetween(20 * SECOND, 60 * SECOND));
    } else {
      controllers.get(machine - proxies.size()).crash(random.nextBetween(20 * SECOND, 60 * SECOND));
    }
  }

  /** Fails the switch of a rack, which cuts off the rack's proxies. */
  private void failRack() {
    int first = random.nextInt(proxies.size());
    long untilMicros = Math.min(endMicros, time.now() + random.nextBetween(5 * SECOND, 20 * SECOND));
    for (int i = 0; i < PROXIES_PER_RACK && first + i * settings.zones() < proxies.size(); i++) {
      isolations++;
      proxies.get(first + i * settings.zones()).cutOff(untilMicros);
    }
  }

  /** Restarts all machines of a zone, which return at the same time. */
  private void failZone(int zone, long downtimeMicros) {
    proxies.stream().filter(proxy -> proxy.zone() == zone).forEach(proxy -> {
      failedMachines++;
      proxy.restart(downtimeMicros);
    });
    controllers.stream().filter(machine -> machine.zone() == zone).forEach(machine -> {
      controllerFaults++;
      machine.crash(downtimeMicros);
    });
  }

  /** Cuts a region off from all others. */
  private void cutRegion(int region, long durationMicros) {
    isolations++;
    long untilMicros = Math.min(endMicros, time.now() + durationMicros);
    network.cutRegion(region, untilMicros);
    proxies.stream().filter(proxy -> topology.regionOfZone(proxy.zone()) == region)
        .forEach(proxy -> proxy.onRegionCutOff(untilMicros));
  }

  private void scheduleHarshFault() {
    time.runAfter((long) random.nextExponential(HARSH_INTERVAL_MICROS), () -> {
      if (time.now() < endMicros) {
        injectHarshFault();
        scheduleHarshFault();
      }
    });
  }

  private void injectHarshFault() {
    ControllerMachine controller = controllers.get(random.nextInt(controllers.size()));
    controllerFaults++;
    switch (random.nextInt(8)) {
      case 0 -> controller.crash(random.nextBetween(0, 6 * SECOND));
      case 1 -> controller.pause(random.nextBetween(SECOND / 2, 6 * SECOND));
      case 2 -> leader().crash(random.nextBetween(0, 4 * SECOND));
      case 3 -> leader().pause(random.nextBetween(SECOND, 5 * SECOND));
      case 4 -> controller.cutOff(Math.min(endMicros, time.now() + random.nextBetween(SECOND, 8 * SECOND)));
      case 5 -> proxies.forEach(proxy -> restart(proxy, random.nextBetween(0, SECOND / 5)));
      case 6 -> cutRegion(random.nextInt(settings.regions()), random.nextBetween(2 * SECOND, 10 * SECOND));
      default -> failZone(random.nextInt(settings.zones()), random.nextBetween(0, 5 * SECOND));
    }
  }

  /** A change has been sent to the leader: in a harsh run, a controller may crash while it is pending. */
  void onChangeSent() {
    if (settings.faults() == ScaleFaults.HARSH && time.now() < endMicros
        && random.nextBoolean(CRASH_DURING_CHANGE_FRACTION)) {
      ControllerMachine controller = controllers.get(random.nextInt(controllers.size()));
      time.runAfter(random.nextBetween(0, SECOND / 2), () -> {
        controllerFaults++;
        controller.crash(random.nextBetween(0, SECOND / 2));
      });
    }
  }

  private ControllerMachine leader() {
    return controllers.stream().filter(ControllerMachine::isLeader).findFirst().orElse(controllers.get(0));
  }

  /** Ends all faults: links are restored, and processes that are down start at once. */
  void endFaults() {
    network.reconnectRegions();
    controllers.forEach(machine -> {
      machine.recover();
      if (!machine.isUp()) {
        machine.crash(0);
      }
    });
    proxies.stream().filter(proxy -> proxy.heldVersion() < 0).forEach(proxy -> proxy.restart(0));
  }

  /** Number of proxies restarted, not counting those of failed machines and zones. */
  int proxyRestarts() {
    return proxyRestarts;
  }

  /** Number of machines that failed, and of proxies in failed zones. */
  int failedMachines() {
    return failedMachines;
  }

  /** Number of proxies and regions cut off. */
  int isolations() {
    return isolations;
  }

  /** Number of harsh faults, of crashes during changes, and of controllers in failed zones. */
  int controllerFaults() {
    return controllerFaults;
  }
}
