package amberhoist.lab.scale;

import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualTime;
import java.util.Arrays;

/** Delivers messages with delay and jitter, possibly out of order, and drops those over links that are cut. */
final class Network {
  private static final double MAX_JITTER_FRACTION = 0.25;
  private static final double RETRANSMIT_FRACTION = 0.001; // messages with a retransmitted packet
  private static final long MAX_RETRANSMIT_MICROS = 400_000;

  /** A sender or receiver of messages. */
  interface Node {
    /** The zone that it is in. */
    int zone();

    /** The time until which it is cut off from all others. */
    long cutOffUntilMicros();
  }

  private final VirtualTime time;
  private final Topology topology;
  private final RandomSource random;
  private final long[] regionCutUntil;

  Network(VirtualTime time, Topology topology, int regions, RandomSource random) {
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
  void reconnectRegions() {
    Arrays.fill(regionCutUntil, 0);
  }

  /** Whether the region of a zone is cut off from the others. */
  boolean isRegionCut(int zone) {
    return time.now() < regionCutUntil[topology.regionOfZone(zone)];
  }

  /** Runs {@code onArrival} when the message arrives, unless the link is cut when it is sent or when it arrives. */
  void deliver(Node from, Node to, Runnable onArrival) {
    if (isCut(from, to)) {
      return;
    }
    double jitterFactor = 1 + MAX_JITTER_FRACTION * random.nextFraction();
    long delayMicros = (long) (topology.delayMicros(from.zone(), to.zone()) * jitterFactor);
    delayMicros += random.nextBoolean(RETRANSMIT_FRACTION) ? random.nextBetween(0, MAX_RETRANSMIT_MICROS) : 0;
    time.runAfter(delayMicros, () -> {
      if (!isCut(from, to)) {
        onArrival.run();
      }
    });
  }

  private boolean isCut(Node from, Node to) {
    long now = time.now();
    boolean cutBetweenRegions = topology.regionOfZone(from.zone()) != topology.regionOfZone(to.zone())
        && (isRegionCut(from.zone()) || isRegionCut(to.zone()));
    return cutBetweenRegions || from != to && (now < from.cutOffUntilMicros() || now < to.cutOffUntilMicros());
  }
}
