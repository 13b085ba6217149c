package amberhoist.lab.scale;

import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import java.util.Arrays;

/** Carries messages with delay and jitter, and loses those over links that are cut. They may overtake each other. */
final class Network {
  private static final double JITTER = 0.25;
  private static final double SLOW_PART = 0.001; // of messages
  private static final long SLOW_MOST = 400_000; // micros: a lost packet is sent again

  /** A place from which messages come. */
  interface Site {
    /** The zone. */
    int zone();

    /** Until when the site is cut off from all others. */
    long cutUntil();
  }

  private final VirtualTime time;
  private final Topology topology;
  private final Chance chance;
  private final long[] regionCutUntil;

  Network(VirtualTime time, Topology topology, int regions, Chance chance) {
    this.time = time;
    this.topology = topology;
    this.chance = chance;
    regionCutUntil = new long[regions];
  }

  /** Cuts a region off from all others, until then. */
  void cutRegion(int region, long until) {
    regionCutUntil[region] = Math.max(regionCutUntil[region], until);
  }

  /** Joins all regions. */
  void heal() {
    Arrays.fill(regionCutUntil, 0);
  }

  /** Whether this zone's region is cut off from the others. */
  boolean regionCut(int zone) {
    return time.now() < regionCutUntil[topology.regionOfZone(zone)];
  }

  /** Has this done at the target when the message arrives, unless a link on its way is cut at either moment. */
  void carry(Site from, Site to, Runnable arrives) {
    if (cut(from, to)) {
      return;
    }
    double jitter = 1 + JITTER * chance.part();
    long delay = (long) (topology.delay(from.zone(), to.zone()) * jitter);
    delay += chance.happens(SLOW_PART) ? chance.between(0, SLOW_MOST) : 0;
    time.after(delay, () -> {
      if (!cut(from, to)) {
        arrives.run();
      }
    });
  }

  private boolean cut(Site from, Site to) {
    long now = time.now();
    boolean regions = topology.regionOfZone(from.zone()) != topology.regionOfZone(to.zone())
        && (regionCut(from.zone()) || regionCut(to.zone()));
    return regions || from != to && (now < from.cutUntil() || now < to.cutUntil());
  }
}
