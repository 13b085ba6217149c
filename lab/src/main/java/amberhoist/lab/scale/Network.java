package amberhoist.lab.scale;

import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import java.util.Arrays;

/** Delivers messages with delay and jitter, possibly out of order, and drops those over links that are cut. */
final class Network {
  private static final double MAX_JITTER_FRACTION = 0.25;
  private static final double RETRANSMIT_FRACTION = 0.001; // messages with a retransmitted packet
  private static final long MAX_RETRANSMIT_MICROS = 400_000;

  /** A sender or receiver of messages. */
  interface Site {
    /** The zone that it is in. */
    int zone();

    /** The time until which it is cut off from all others. */
    long cutUntil();
  }

  private final VirtualTime time;
  private final Topology topology;
  private final Chance random;
  private final long[] regionCutUntil;

  Network(VirtualTime time, Topology topology, int regions, Chance random) {
    this.time = time;
    this.topology = topology;
    this.random = random;
    regionCutUntil = new long[regions];
  }

  /** Cuts a region off from all others until this time. */
  void cutRegion(int region, long untilMicros) {
    regionCutUntil[region] = Math.max(regionCutUntil[region], untilMicros);
  }

  /** Reconnects all regions. */
  void heal() {
    Arrays.fill(regionCutUntil, 0);
  }

  /** Whether the region of a zone is cut off from the others. */
  boolean regionCut(int zone) {
    return time.now() < regionCutUntil[topology.regionOfZone(zone)];
  }

  /** Runs {@code onArrival} when the message arrives, unless the link is cut when it is sent or when it arrives. */
  void carry(Site from, Site to, Runnable onArrival) {
    if (isCut(from, to)) {
      return;
    }
    double jitterFactor = 1 + MAX_JITTER_FRACTION * random.part();
    long delayMicros = (long) (topology.delay(from.zone(), to.zone()) * jitterFactor);
    delayMicros += random.happens(RETRANSMIT_FRACTION) ? random.between(0, MAX_RETRANSMIT_MICROS) : 0;
    time.after(delayMicros, () -> {
      if (!isCut(from, to)) {
        onArrival.run();
      }
    });
  }

  private boolean isCut(Site from, Site to) {
    long now = time.now();
    boolean cutBetweenRegions = topology.regionOfZone(from.zone()) != topology.regionOfZone(to.zone())
        && (regionCut(from.zone()) || regionCut(to.zone()));
    return cutBetweenRegions || from != to && (now < from.cutUntil() || now < to.cutUntil());
  }
}
