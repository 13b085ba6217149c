package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Message;
import amberhoist.distribution.Subscriber;
import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** A control-plane-only proxy, without relay and clients: a subscriber with its clock and the cost of its work. */
final class HollowProxy implements Network.Site {
  /** Callbacks for a proxy's requests to distributors and for changes of its state. */
  interface Surroundings {
    /** Sends a request to a distributor. */
    void request(HollowProxy from, int life, String distributor, Message.Request request);

    /** The version that the proxy decides by may have changed. */
    void observed(HollowProxy proxy);
  }

  private static final long WHILE_DOWN = Long.MAX_VALUE;

  private final VirtualTime time;
  private final long startMicros;
  private final int number;
  private final int zone;
  private final double clockRate;
  private final List<String> distributors;
  private final DistributionSettings settings;
  private final Surroundings environment;
  private final RandomGenerator subscriberRandom;
  private final ScaleMutant mutant;
  private Subscriber subscriber;
  private int life;
  private long scheduledAt = Long.MAX_VALUE;
  private long cutUntil;
  private long lastDisturbedAt;
  private long bytes;
  private long windowBytes;
  private long windowMost;
  private long nanos;

  HollowProxy(VirtualTime time, int number, Topology topology, DistributionSettings settings, Chance random,
      ScaleMutant mutant, Surroundings environment) {
    this.time = time;
    this.number = number;
    this.settings = settings;
    this.environment = environment;
    this.mutant = mutant;
    startMicros = time.now();
    zone = topology.zoneOfProxy(number);
    distributors = topology.distributorsOf(number);
    clockRate = 1 + DistributionSettings.DRIFT / 2 * (2 * random.part() - 1);
    subscriberRandom = new Random(random.bits());
    lastDisturbedAt = time.now();
  }

  /** Starts a new process, without any state of the previous one. */
  void start() {
    life++;
    lastDisturbedAt = time.now();
    scheduledAt = Long.MAX_VALUE;
    int ownIncarnation = life;
    subscriber = ScaleDefects.subscriber(mutant, settings, Topology.proxyName(number), life, distributors,
        subscriberRandom, clockMicros(),
        (distributor, request) -> environment.request(this, ownIncarnation, distributor, request));
    scheduleNextStep();
  }

  /** Crashes the process, and restarts it after {@code downtimeMicros}. */
  void restart(long downtimeMicros) {
    life++;
    int ownIncarnation = life;
    subscriber = null;
    lastDisturbedAt = WHILE_DOWN;
    time.after(downtimeMicros, () -> {
      if (life == ownIncarnation) {
        start();
      }
    });
  }

  /** Cuts the proxy off from all others until this time. */
  void cut(long untilMicros) {
    cutUntil = Math.max(cutUntil, untilMicros);
    lastDisturbedAt = lastDisturbedAt == WHILE_DOWN ? WHILE_DOWN : Math.max(lastDisturbedAt, untilMicros);
  }

  /** The proxy's region is cut off until this time. */
  void isolated(long untilMicros) {
    lastDisturbedAt = lastDisturbedAt == WHILE_DOWN ? WHILE_DOWN : Math.max(lastDisturbedAt, untilMicros);
  }

  private long clockMicros() {
    return startMicros + (long) ((time.now() - startMicros) * clockRate);
  }

  /** The virtual time at which the proxy's clock shows {@code clock}. */
  private long virtualTimeOf(long clock) {
    return startMicros + (long) Math.ceil((clock - startMicros) / clockRate);
  }

  private void scheduleNextStep() {
    long next = Math.max(time.now() + 1, virtualTimeOf(subscriber.nextStep()));
    if (next < scheduledAt) {
      scheduledAt = next;
      int ownIncarnation = life;
      time.at(next, () -> {
        if (life == ownIncarnation && scheduledAt == next) {
          scheduledAt = Long.MAX_VALUE;
          long startNanos = System.nanoTime();
          subscriber.step(clockMicros());
          nanos += System.nanoTime() - startNanos;
          scheduleNextStep();
        }
      });
    }
  }

  /** A distributor's message to this incarnation of the process has arrived. */
  void receive(int receiverLife, String distributor, Message.Reply reply, int byteCount) {
    if (life != receiverLife || subscriber == null) {
      return;
    }
    counted(byteCount);
    long startNanos = System.nanoTime();
    subscriber.receive(clockMicros(), distributor, reply, byteCount);
    nanos += System.nanoTime() - startNanos;
    scheduleNextStep();
    environment.observed(this);
  }

  /** Counts bytes that the proxy has sent or received. */
  void counted(int byteCount) {
    bytes += byteCount;
    windowBytes += byteCount;
  }

  /** Ends a time window over which bytes are counted, and starts the next. */
  void endWindow() {
    windowMost = Math.max(windowMost, windowBytes);
    windowBytes = 0;
  }

  /** Counts processor time. */
  void worked(long elapsedNanos) {
    nanos += elapsedNanos;
  }

  /** The version that the proxy may decide by now, or -1 for none. */
  long decides() {
    return subscriber == null ? -1 : subscriber.decides(clockMicros());
  }

  /** The version that the proxy holds, or -1 while it is down. */
  long holds() {
    return subscriber == null ? -1 : subscriber.held().version();
  }

  /** The document that the proxy holds; the proxy must be up. */
  byte[] document() {
    return subscriber.held().bytes();
  }

  /** The time since which the proxy has been up and connected; in the future while it is not. */
  long undisturbedSince() {
    return lastDisturbedAt;
  }

  int life() {
    return life;
  }

  long bytes() {
    return bytes;
  }

  /** The largest number of bytes in one time window. */
  long windowMost() {
    return windowMost;
  }

  /** Processor time in nanoseconds. */
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
