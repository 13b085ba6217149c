package amberhoist.lab.scale;

import amberhoist.distribution.DistributorOrder;
import amberhoist.distribution.DistributorOrder.Location;
import java.util.ArrayList;
import java.util.List;

/** Places zones in regions, which form a ring, and machines in zones. */
final class Topology {
  private static final long SAME_ZONE_MICROS = 250; // one-way, as all delays here
  private static final long SAME_REGION_MICROS = 800;
  private static final long REGION_STEP_MICROS = 18_000; // for each step on the ring

  private final ScaleSettings settings;

  Topology(ScaleSettings settings) {
    this.settings = settings;
  }

  /** The zone of a proxy, by number; proxies are distributed evenly. */
  int zoneOfProxy(int proxy) {
    return proxy % settings.zones();
  }

  /** The zone of a controller, by number; voters have the lowest numbers, so each gets its own region if possible. */
  int zoneOfController(int controller) {
    return controller % settings.zones();
  }

  /** The region of a zone; zones with adjacent numbers are in different regions. */
  int regionOfZone(int zone) {
    return zone % settings.regions();
  }

  /** One-way delay in microseconds from one zone to another, without jitter. */
  long delayMicros(int fromZone, int toZone) {
    int from = regionOfZone(fromZone);
    int to = regionOfZone(toZone);
    if (from == to) {
      return fromZone == toZone ? SAME_ZONE_MICROS : SAME_REGION_MICROS;
    }
    int steps = Math.abs(from - to);
    return SAME_REGION_MICROS + REGION_STEP_MICROS * Math.min(steps, settings.regions() - steps);
  }

  static String controllerName(int controller) {
    return "c" + controller;
  }

  static String proxyName(int proxy) {
    return "p" + proxy;
  }

  /** The names of the controllers in the order in which a proxy tries them. */
  List<String> distributorsOf(int proxy) {
    List<Location> locations = new ArrayList<>();
    for (int controller = 0; controller < settings.controllers(); controller++) {
      locations.add(new Location(controllerName(controller), regionName(regionOfZone(zoneOfController(controller)))));
    }
    return DistributorOrder.of(proxyName(proxy), regionsByDistance(regionOfZone(zoneOfProxy(proxy))), locations);
  }

  /** All regions by distance, this one first. */
  private List<String> regionsByDistance(int region) {
    List<String> order = new ArrayList<>();
    order.add(regionName(region));
    for (int step = 1; step <= settings.regions() / 2; step++) {
      order.add(regionName((region + step) % settings.regions()));
      order.add(regionName(Math.floorMod(region - step, settings.regions())));
    }
    return order;
  }

  private static String regionName(int region) {
    return "r" + region;
  }
}
