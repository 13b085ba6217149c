package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Message;
import amberhoist.distribution.Subscriber;
import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** A proxy without relay and clients: its subscriber, its clock, and what its control costs. */
final class HollowProxy implements Network.Site {
  /** Takes a proxy's requests to distributors, and is told when its decisions may have changed. */
  interface Surroundings {
    void request(HollowProxy from, int life, String distributor, Message.Request request);

    void observed(HollowProxy proxy);
  }

  private static final long DOWN = Long.MAX_VALUE;

  private final VirtualTime time;
  private final long start;
  private final int number;
  private final int zone;
  private final double rate;
  private final List<String> distributors;
  private final DistributionSettings settings;
  private final Surroundings surroundings;
  private final RandomGenerator random;
  private final ScaleMutant mutant;
  private Subscriber subscriber;
  private int life;
  private long scheduledAt = Long.MAX_VALUE;
  private long cutUntil;
  private long disturbedAt;
  private long bytes;
  private long windowBytes;
  private long windowMost;
  private long nanos;

  HollowProxy(VirtualTime time, int number, Topology topology, DistributionSettings settings, Chance chance,
      ScaleMutant mutant, Surroundings surroundings) {
    this.time = time;
    this.number = number;
    this.settings = settings;
    this.surroundings = surroundings;
    this.mutant = mutant;
    start = time.now();
    zone = topology.zoneOfProxy(number);
    distributors = topology.distributorsOf(number);
    rate = 1 + DistributionSettings.DRIFT / 2 * (2 * chance.part() - 1);
    random = new Random(chance.bits());
    disturbedAt = time.now();
  }

  /** Starts it anew, with nothing of its former life. */
  void start() {
    life++;
    disturbedAt = time.now();
    scheduledAt = Long.MAX_VALUE;
    int ofLife = life;
    subscriber = ScaleDefects.subscriber(mutant, settings, Topology.proxyName(number), life, distributors, random,
        clock(), (distributor, request) -> surroundings.request(this, ofLife, distributor, request));
    schedule();
  }

  /** Ends it without a word, and starts it after so many micros. */
  void restart(long away) {
    life++;
    int ofLife = life;
    subscriber = null;
    disturbedAt = DOWN;
    time.after(away, () -> {
      if (life == ofLife) {
        start();
      }
    });
  }

  void cut(long until) {
    cutUntil = Math.max(cutUntil, until);
    disturbedAt = disturbedAt == DOWN ? DOWN : Math.max(disturbedAt, until);
  }

  /** Its region is cut off until then. */
  void isolated(long until) {
    disturbedAt = disturbedAt == DOWN ? DOWN : Math.max(disturbedAt, until);
  }

  private long clock() {
    return start + (long) ((time.now() - start) * rate);
  }

  private long timeOf(long clock) {
    return start + (long) Math.ceil((clock - start) / rate);
  }

  private void schedule() {
    long next = Math.max(time.now() + 1, timeOf(subscriber.nextStep()));
    if (next < scheduledAt) {
      scheduledAt = next;
      int ofLife = life;
      time.at(next, () -> {
        if (life == ofLife && scheduledAt == next) {
          scheduledAt = Long.MAX_VALUE;
          long before = System.nanoTime();
          subscriber.step(clock());
          nanos += System.nanoTime() - before;
          schedule();
        }
      });
    }
  }

  /** A distributor's message has come, for this life. */
  void receive(int forLife, String distributor, Message.Reply reply, int length) {
    if (life != forLife || subscriber == null) {
      return;
    }
    counted(length);
    long before = System.nanoTime();
    subscriber.receive(clock(), distributor, reply, length);
    nanos += System.nanoTime() - before;
    schedule();
    surroundings.observed(this);
  }

  /** Counts bytes that it has sent or received. */
  void counted(int length) {
    bytes += length;
    windowBytes += length;
  }

  /** Ends a window of time over which its bytes are counted. */
  void endWindow() {
    windowMost = Math.max(windowMost, windowBytes);
    windowBytes = 0;
  }

  void worked(long nanoseconds) {
    nanos += nanoseconds;
  }

  /** The version that it would decide by, or -1. */
  long decides() {
    return subscriber == null ? -1 : subscriber.decides(clock());
  }

  /** The version that it holds, or -1 while it is down. */
  long holds() {
    return subscriber == null ? -1 : subscriber.held().version();
  }

  byte[] document() {
    return subscriber.held().bytes();
  }

  /** Since when it has been up and joined to the others; in the future while it is not. */
  long undisturbedSince() {
    return disturbedAt;
  }

  int life() {
    return life;
  }

  long bytes() {
    return bytes;
  }

  long windowMost() {
    return windowMost;
  }

  long nanos() {
    return nanos;
  }

  String name() {
    return Topology.proxyName(number);
  }

  @Override
  public int zone() {
    return zone;
  }

  @Override
  public long cutUntil() {
    return cutUntil;
  }
}
