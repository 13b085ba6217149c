package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Message;
import amberhoist.distribution.Subscriber;
import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualTime;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** A control-plane-only proxy, without relay and clients: a subscriber with its clock and the cost of its work. */
final class ControlPlaneProxy implements Network.Node {
  /** Callbacks for a proxy's requests to distributors and for changes of its state. */
  interface Environment {
    /** Sends a request to a distributor. */
    void sendRequest(ControlPlaneProxy from, int life, String distributor, Message.Request request);

    /** The version that the proxy decides by may have changed. */
    void onMessageHandled(ControlPlaneProxy proxy);
  }

  private static final long WHILE_DOWN = Long.MAX_VALUE;

  private final VirtualTime time;
  private final long startMicros;
  private final int number;
  private final int zone;
  private final double clockRate;
  private final List<String> distributors;
  private final DistributionSettings settings;
  private final Environment environment;
  private final RandomGenerator subscriberRandom;
  private final ScaleMutant mutant;
  private Subscriber subscriber;
  private int incarnation;
  private long scheduledAt = Long.MAX_VALUE;
  private long cutOffUntilMicros;
  private long lastDisturbedAt;
  private long totalBytes;
  private long windowBytes;
  private long maxWindowBytes;
  private long processorNanos;

  ControlPlaneProxy(VirtualTime time, int number, Topology topology, DistributionSettings settings, RandomSource random,
      ScaleMutant mutant, Environment environment) {
    this.time = time;
    this.number = number;
    this.settings = settings;
    this.environment = environment;
    this.mutant = mutant;
    startMicros = time.now();
    zone = topology.zoneOfProxy(number);
    distributors = topology.distributorsOf(number);
    clockRate = 1 + DistributionSettings.MAX_CLOCK_DRIFT / 2 * (2 * random.nextFraction() - 1);
    subscriberRandom = new Random(random.nextLong());
    lastDisturbedAt = time.now();
  }

  /** Starts a new process, without any state of the previous one. */
  void start() {
    incarnation++;
    lastDisturbedAt = time.now();
    scheduledAt = Long.MAX_VALUE;
    int ownIncarnation = incarnation;
    subscriber = ScaleMutations.newSubscriber(mutant, settings, Topology.proxyName(number), incarnation, distributors,
        subscriberRandom, clockMicros(),
        (distributor, request) -> environment.sendRequest(this, ownIncarnation, distributor, request));
    scheduleNextStep();
  }

  /** Crashes the process, and restarts it after {@code downtimeMicros}. */
  void restart(long downtimeMicros) {
    incarnation++;
    int ownIncarnation = incarnation;
    subscriber = null;
    lastDisturbedAt = WHILE_DOWN;
    time.runAfter(downtimeMicros, () -> {
      if (incarnation == ownIncarnation) {
        start();
      }
    });
  }

  /** Cuts the proxy off from all others until this time. */
  void cutOff(long untilMicros) {
    cutOffUntilMicros = Math.max(cutOffUntilMicros, untilMicros);
    lastDisturbedAt = lastDisturbedAt == WHILE_DOWN ? WHILE_DOWN : Math.max(lastDisturbedAt, untilMicros);
  }

  /** The proxy's region is cut off until this time. */
  void onRegionCutOff(long untilMicros) {
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
    long next = Math.max(time.now() + 1, virtualTimeOf(subscriber.nextStepAt()));
    if (next < scheduledAt) {
      scheduledAt = next;
      int ownIncarnation = incarnation;
      time.runAt(next, () -> {
        if (incarnation == ownIncarnation && scheduledAt == next) {
          scheduledAt = Long.MAX_VALUE;
          long startNanos = System.nanoTime();
          subscriber.step(clockMicros());
          processorNanos += System.nanoTime() - startNanos;
          scheduleNextStep();
        }
      });
    }
  }

  /** A distributor's message to this incarnation of the process has arrived. */
  void receive(int receiverLife, String distributor, Message.Reply reply, int byteCount) {
    if (incarnation != receiverLife || subscriber == null) {
      return;
    }
    countBytes(byteCount);
    long startNanos = System.nanoTime();
    subscriber.onReply(clockMicros(), distributor, reply, byteCount);
    processorNanos += System.nanoTime() - startNanos;
    scheduleNextStep();
    environment.onMessageHandled(this);
  }

  /** Counts bytes that the proxy has sent or received. */
  void countBytes(int byteCount) {
    totalBytes += byteCount;
    windowBytes += byteCount;
  }

  /** Ends a time window over which bytes are counted, and starts the next. */
  void endByteWindow() {
    maxWindowBytes = Math.max(maxWindowBytes, windowBytes);
    windowBytes = 0;
  }

  /** Counts processor time. */
  void addProcessorNanos(long elapsedNanos) {
    processorNanos += elapsedNanos;
  }

  /** The version that the proxy may decide by now, or -1 for none. */
  long usableVersion() {
    return subscriber == null ? -1 : subscriber.usableVersion(clockMicros());
  }

  /** The version that the proxy holds, or -1 while it is down. */
  long heldVersion() {
    return subscriber == null ? -1 : subscriber.inForce().version();
  }

  /** The document that the proxy holds; the proxy must be up. */
  byte[] heldDocument() {
    return subscriber.inForce().bytes();
  }

  /** The time since which the proxy has been up and connected; in the future while it is not. */
  long undisturbedSince() {
    return lastDisturbedAt;
  }

  int incarnation() {
    return incarnation;
  }

  long totalBytes() {
    return totalBytes;
  }

  /** The largest number of bytes in one time window. */
  long maxWindowBytes() {
    return maxWindowBytes;
  }

  /** Processor time in nanoseconds. */
  long processorNanos() {
    return processorNanos;
  }

  String name() {
    return Topology.proxyName(number);
  }

  @Override
  public int zone() {
    return zone;
  }

  @Override
  public long cutOffUntilMicros() {
    return cutOffUntilMicros;
  }
}
