package amberhoist.lab.scale;

import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import java.util.List;

/** Injects faults that are drawn from a seed. */
final class Disturbance {
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
  private final Chance random;
  private final Topology topology;
  private final Network network;
  private final List<ControllerMachine> controllers;
  private final List<HollowProxy> proxies;
  private long endMicros;
  private int restarts;
  private int lost;
  private int cuts;
  private int controllerFaults;

  Disturbance(ScaleSettings settings, VirtualTime time, Chance random, Topology topology, Network network,
      List<ControllerMachine> controllers, List<HollowProxy> proxies) {
    this.settings = settings;
    this.time = time;
    this.random = random;
    this.topology = topology;
    this.network = network;
    this.controllers = controllers;
    this.proxies = proxies;
  }

  /** Injects faults from now until this time. */
  void begin(long untilMicros) {
    endMicros = untilMicros;
    if (settings.faults() == ScaleFaults.NONE) {
      return;
    }
    double sizeRatio = settings.proxies() / REFERENCE_MACHINES;
    scheduleRepeatedly(RESTARTS_PER_DAY * sizeRatio, () -> restart(randomProxy(), random.between(SECOND, 3 * SECOND)));
    scheduleRepeatedly(FAILURES_PER_DAY * sizeRatio, this::failMachine);
    scheduleRepeatedly(RACK_FAILURES_PER_DAY * sizeRatio, this::failRack);
    scheduleRepeatedly(ZONE_FAILURES_PER_DAY,
        () -> failZone(random.below(settings.zones()), random.between(3 * SECOND, 10 * SECOND)));
    scheduleRepeatedly(REGION_CUTS_PER_DAY,
        () -> cutRegion(random.below(settings.regions()), random.between(10 * SECOND, 30 * SECOND)));
    if (settings.faults() == ScaleFaults.HARSH) {
      scheduleHarshFault();
    }
  }

  private void scheduleRepeatedly(double perDay, Runnable fault) {
    time.after((long) random.exponential(DAY_MICROS / (ACCELERATION * perDay)), () -> {
      if (time.now() < endMicros) {
        fault.run();
        scheduleRepeatedly(perDay, fault);
      }
    });
  }

  private HollowProxy randomProxy() {
    return proxies.get(random.below(proxies.size()));
  }

  private void restart(HollowProxy proxy, long downtimeMicros) {
    restarts++;
    proxy.restart(downtimeMicros);
  }

  /** Fails a random machine of a proxy or a controller. */
  private void failMachine() {
    int machine = random.below(proxies.size() + controllers.size());
    lost++;
    if (machine < proxies.size()) {
      proxies.get(machine).restart(random.between(20 * SECOND, 60 * SECOND));
    } else {
      controllers.get(machine - proxies.size()).crash(random.between(20 * SECOND, 60 * SECOND));
    }
  }

  /** Fails the switch of a rack, which cuts off the rack's proxies. */
  private void failRack() {
    int first = random.below(proxies.size());
    long untilMicros = Math.min(endMicros, time.now() + random.between(5 * SECOND, 20 * SECOND));
    for (int i = 0; i < PROXIES_PER_RACK && first + i * settings.zones() < proxies.size(); i++) {
      cuts++;
      proxies.get(first + i * settings.zones()).cut(untilMicros);
    }
  }

  /** Restarts all machines of a zone, which return at the same time. */
  private void failZone(int zone, long downtimeMicros) {
    proxies.stream().filter(proxy -> proxy.zone() == zone).forEach(proxy -> {
      lost++;
      proxy.restart(downtimeMicros);
    });
    controllers.stream().filter(machine -> machine.zone() == zone).forEach(machine -> {
      controllerFaults++;
      machine.crash(downtimeMicros);
    });
  }

  /** Cuts a region off from all others. */
  private void cutRegion(int region, long durationMicros) {
    cuts++;
    long untilMicros = Math.min(endMicros, time.now() + durationMicros);
    network.cutRegion(region, untilMicros);
    proxies.stream().filter(proxy -> topology.regionOfZone(proxy.zone()) == region)
        .forEach(proxy -> proxy.isolated(untilMicros));
  }

  private void scheduleHarshFault() {
    time.after((long) random.exponential(HARSH_INTERVAL_MICROS), () -> {
      if (time.now() < endMicros) {
        injectHarshFault();
        scheduleHarshFault();
      }
    });
  }

  private void injectHarshFault() {
    ControllerMachine controller = controllers.get(random.below(controllers.size()));
    controllerFaults++;
    switch (random.below(8)) {
      case 0 -> controller.crash(random.between(0, 6 * SECOND));
      case 1 -> controller.pause(random.between(SECOND / 2, 6 * SECOND));
      case 2 -> leader().crash(random.between(0, 4 * SECOND));
      case 3 -> leader().pause(random.between(SECOND, 5 * SECOND));
      case 4 -> controller.cut(Math.min(endMicros, time.now() + random.between(SECOND, 8 * SECOND)));
      case 5 -> proxies.forEach(proxy -> restart(proxy, random.between(0, SECOND / 5)));
      case 6 -> cutRegion(random.below(settings.regions()), random.between(2 * SECOND, 10 * SECOND));
      default -> failZone(random.below(settings.zones()), random.between(0, 5 * SECOND));
    }
  }

  /** A change has been sent to the leader: in a harsh run, a controller may crash while it is pending. */
  void changeBegins() {
    if (settings.faults() == ScaleFaults.HARSH && time.now() < endMicros
        && random.happens(CRASH_DURING_CHANGE_FRACTION)) {
      ControllerMachine controller = controllers.get(random.below(controllers.size()));
      time.after(random.between(0, SECOND / 2), () -> {
        controllerFaults++;
        controller.crash(random.between(0, SECOND / 2));
      });
    }
  }

  private ControllerMachine leader() {
    return controllers.stream().filter(ControllerMachine::leads).findFirst().orElse(controllers.get(0));
  }

  /** Ends all faults: links are restored, and processes that are down start at once. */
  void heal() {
    network.heal();
    controllers.forEach(machine -> {
      machine.heal();
      if (!machine.up()) {
        machine.crash(0);
      }
    });
    proxies.stream().filter(proxy -> proxy.holds() < 0).forEach(proxy -> proxy.restart(0));
  }

  /** Number of proxies restarted, not counting those of failed machines and zones. */
  int restarts() {
    return restarts;
  }

  /** Number of machines that failed, and of proxies in failed zones. */
  int lost() {
    return lost;
  }

  /** Number of proxies and regions cut off. */
  int cuts() {
    return cuts;
  }

  /** Number of harsh faults, of crashes during changes, and of controllers in failed zones. */
  int controllerFaults() {
    return controllerFaults;
  }
}
