package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Distributor;
import amberhoist.distribution.Message;
import amberhoist.distribution.controller.Controller;
import amberhoist.distribution.controller.PeerMessage;
import amberhoist.group.GroupMember;
import amberhoist.group.MemberId;
import amberhoist.group.RaftLog;
import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualClock;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.lab.group.EmulatedDisk;
import amberhoist.lab.group.MachineExecutor;
import amberhoist.rollout.Leases;
import amberhoist.rollout.PolicyVersions;
import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.Rollout;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The machine of a controller, whose disk survives crashes of the process. */
final class ControllerMachine implements Network.Node, GroupMember.Listener, MachineExecutor.Machine {
  /** Access to the other machines, and callbacks for replies and applied log entries. */
  interface Environment {
    /** Returns the controller of this name. */
    ControllerMachine controller(String name);

    /** All controllers. */
    List<MemberId> members();

    /** The controllers that vote. */
    List<MemberId> voters();

    /** Sends a distributor's reply to a proxy. */
    void sendReply(ControllerMachine from, String proxy, Message.Reply reply);

    /** A controller has applied an entry of the log; {@code result} is null unless it proposes a change. */
    void onApplied(ControllerMachine at, byte[] command, ChangeResult result);
  }

  private static final long TURN_MICROS = 50_000;
  private static final int RAFT_OVERHEAD_BYTES = 64; // of a message between members, and of each entry

  private final VirtualTime time;
  private final Network network;
  private final Environment environment;
  private final DistributionSettings settings;
  private final ScaleMutant mutant;
  private final MemberId self;
  private final int zone;
  private final long startMicros;
  private final double clockRate;
  private final RandomSource random;
  private final EmulatedDisk disk;
  private GroupMember member;
  private Controller controller;
  private Distributor distributor;
  private int incarnation;
  private long pausedUntilMicros;
  private long cutOffUntilMicros;
  private long totalBytes;
  private long processorNanos;
  private int maxSubscribers;

  ControllerMachine(VirtualTime time, Network network, Environment environment, DistributionSettings settings,
      ScaleMutant mutant, MemberId self, int zone, RandomSource random) {
    this.time = time;
    this.network = network;
    this.environment = environment;
    this.settings = settings;
    this.mutant = mutant;
    this.self = self;
    this.zone = zone;
    this.random = random;
    startMicros = time.now();
    clockRate = 1 + Leases.MAX_CLOCK_DRIFT / 2 * (2 * random.nextFraction() - 1);
    disk = new EmulatedDisk(new RandomSource(random.nextLong(), 3), true);
  }

  String name() {
    return self.name();
  }

  private MachineExecutor executor(int ownIncarnation) {
    return new MachineExecutor(time, this, ownIncarnation);
  }

  @Override
  public int incarnation() {
    return incarnation;
  }

  @Override
  public long pausedUntilMicros() {
    return pausedUntilMicros;
  }

  long clockMicros() {
    return startMicros + (long) ((time.now() - startMicros) * clockRate);
  }

  void start() {
    incarnation++;
    int ownIncarnation = incarnation;
    distributor = ScaleMutations.newDistributor(mutant, settings, clockMicros(),
        (proxy, reply) -> environment.sendReply(this, proxy, reply));
    List<String> names = names(environment.members());
    if (environment.voters().contains(self)) {
      member = newMember(ownIncarnation);
      controller = Controller.member(self, names, member, distributor, this::sendToPeer, this::clockMicros);
      member.start();
    } else {
      List<String> voters = names(environment.voters());
      controller = Controller.replica(name(), names, voters, distributor, this::sendToPeer, this::clockMicros);
    }
    controller.onStateChanged();
    executor(ownIncarnation).execute(() -> runTurn(ownIncarnation));
  }

  private static List<String> names(List<MemberId> members) {
    return members.stream().map(MemberId::name).toList();
  }

  private GroupMember newMember(int ownIncarnation) {
    try {
      List<MemberId> voters = environment.voters();
      return new GroupMember(self, voters, new RaftLog(disk), new Rollout(new PolicyVersions()),
          new PeerTransport(ownIncarnation), executor(ownIncarnation), new VirtualClock(time), random.nextLong(), this);
    } catch (IOException invalid) {
      throw new IllegalStateException("log of " + name() + " is not valid", invalid);
    }
  }

  private void runTurn(int ownIncarnation) {
    runTimed(controller::step);
    maxSubscribers = Math.max(maxSubscribers, distributor.subscriberCount());
    executor(ownIncarnation).schedule(() -> runTurn(ownIncarnation), TURN_MICROS, TimeUnit.MICROSECONDS);
  }

  private void runTimed(Runnable task) {
    long startNanos = System.nanoTime();
    task.run();
    processorNanos += System.nanoTime() - startNanos;
  }

  /** Crashes the process, and restarts it after {@code downtimeMicros}. */
  void crash(long downtimeMicros) {
    incarnation++;
    member = null;
    controller = null;
    distributor = null;
    disk.crash();
    int ownIncarnation = incarnation;
    time.runAfter(downtimeMicros, () -> {
      if (incarnation == ownIncarnation) {
        start();
      }
    });
  }

  /** Suspends the process as SIGSTOP does: messages that arrive meanwhile are handled when it resumes. */
  void pause(long durationMicros) {
    pausedUntilMicros = Math.max(pausedUntilMicros, time.now() + durationMicros);
  }

  /** Cuts the machine off from all others until this time. */
  void cutOff(long untilMicros) {
    cutOffUntilMicros = Math.max(cutOffUntilMicros, untilMicros);
  }

  /** Resumes the process and reconnects it to the others. */
  void recover() {
    pausedUntilMicros = 0;
    cutOffUntilMicros = 0;
  }

  boolean isUp() {
    return controller != null && time.now() >= pausedUntilMicros;
  }

  boolean isLeader() {
    return isUp() && controller.isLeader();
  }

  GroupMember member() {
    return member;
  }

  Distributor distributor() {
    return distributor;
  }

  /** Runs a task on the controller's executor, unless the process is down or ends before. */
  void execute(Runnable task) {
    if (controller != null) {
      executor(incarnation).execute(() -> runTimed(task));
    }
  }

  void countBytes(int byteCount) {
    totalBytes += byteCount;
  }

  long totalBytes() {
    return totalBytes;
  }

  long processorNanos() {
    return processorNanos;
  }

  int maxSubscribers() {
    return maxSubscribers;
  }

  private void sendToPeer(String name, PeerMessage message) {
    ControllerMachine to = environment.controller(name);
    if (to == this) {
      execute(() -> controller.onMessage(name(), message));
      return;
    }
    countBytes(RAFT_OVERHEAD_BYTES);
    network.deliver(this, to, () -> {
      to.countBytes(RAFT_OVERHEAD_BYTES);
      to.execute(() -> to.controller.onMessage(name(), message));
    });
  }

  @Override
  public void onApplied(long index, byte[] command, ChangeResult result) {
    controller.onStateChanged();
    environment.onApplied(this, command, result);
  }

  @Override
  public void onSnapshotInstalled(long index) {
    controller.onStateChanged();
  }

  @Override
  public int zone() {
    return zone;
  }

  @Override
  public long cutOffUntilMicros() {
    return cutOffUntilMicros;
  }

  private static int length(RaftMessage message) {
    int length = RAFT_OVERHEAD_BYTES;
    if (message instanceof AppendEntriesRequest request) {
      for (LogEntry entry : request.getLogEntries()) {
        length += entry.getOperation() instanceof byte[] command ? command.length + RAFT_OVERHEAD_BYTES
            : RAFT_OVERHEAD_BYTES;
      }
    }
    return length;
  }

  /** Carries messages of the Raft library to the other controllers. */
  private final class PeerTransport implements Transport {
    private final int ownIncarnation;

    PeerTransport(int ownIncarnation) {
      this.ownIncarnation = ownIncarnation;
    }

    @Override
    public void send(RaftEndpoint endpoint, RaftMessage message) {
      if (incarnation != ownIncarnation) {
        return;
      }
      ControllerMachine to = environment.controller((String) endpoint.getId());
      int length = length(message);
      countBytes(length);
      network.deliver(ControllerMachine.this, to, () -> {
        to.countBytes(length);
        to.execute(() -> to.handle(message));
      });
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }

  private void handle(RaftMessage message) {
    try {
      member.handle(message);
      if (member.needsRestart()) {
        crash(0);
      }
    } catch (IOException failed) {
      crash(0);
    }
  }
}
