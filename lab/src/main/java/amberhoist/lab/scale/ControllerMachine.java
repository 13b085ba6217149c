package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Distributor;
import amberhoist.distribution.Message;
import amberhoist.distribution.controller.Controller;
import amberhoist.distribution.controller.PeerMessage;
import amberhoist.group.GroupMember;
import amberhoist.group.Log;
import amberhoist.group.Member;
import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.MonotonicClock;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.lab.group.EmulatedDisk;
import amberhoist.lab.group.MachineExecutor;
import amberhoist.rollout.Leases;
import amberhoist.rollout.Rollout;
import amberhoist.rollout.Sequence;
import amberhoist.rollout.Sequence.Verdict;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The machine of a controller, whose disk survives crashes of the process. */
final class ControllerMachine implements Network.Site, GroupMember.Listener, MachineExecutor.Machine {
  /** Access to the other machines, and callbacks for replies and applied log entries. */
  interface Surroundings {
    /** Returns the controller of this name. */
    ControllerMachine controller(String name);

    /** All controllers. */
    List<Member> members();

    /** The controllers that vote. */
    List<Member> voters();

    /** Sends a distributor's reply to a proxy. */
    void reply(ControllerMachine from, String proxy, Message.Reply reply);

    /** A controller has applied an entry of the log; {@code verdict} is null unless it proposes a change. */
    void applied(ControllerMachine at, byte[] command, Verdict verdict);
  }

  private static final long TURN_MICROS = 50_000;
  private static final int RAFT_OVERHEAD_BYTES = 64; // of a message between members, and of each entry

  private final VirtualTime time;
  private final Network network;
  private final Surroundings environment;
  private final DistributionSettings settings;
  private final ScaleMutant mutant;
  private final Member self;
  private final int zone;
  private final long startMicros;
  private final double clockRate;
  private final Chance random;
  private final EmulatedDisk disk;
  private GroupMember member;
  private Controller controller;
  private Distributor distributor;
  private int life;
  private long pausedUntil;
  private long cutUntil;
  private long bytes;
  private long nanos;
  private int mostSubscribers;

  ControllerMachine(VirtualTime time, Network network, Surroundings environment, DistributionSettings settings,
      ScaleMutant mutant, Member self, int zone, Chance random) {
    this.time = time;
    this.network = network;
    this.environment = environment;
    this.settings = settings;
    this.mutant = mutant;
    this.self = self;
    this.zone = zone;
    this.random = random;
    startMicros = time.now();
    clockRate = 1 + Leases.DRIFT / 2 * (2 * random.part() - 1);
    disk = new EmulatedDisk(new Chance(random.bits(), 3), true);
  }

  String name() {
    return self.name();
  }

  private MachineExecutor executor(int ownIncarnation) {
    return new MachineExecutor(time, this, ownIncarnation);
  }

  @Override
  public int life() {
    return life;
  }

  @Override
  public long pausedUntil() {
    return pausedUntil;
  }

  long clock() {
    return startMicros + (long) ((time.now() - startMicros) * clockRate);
  }

  void start() {
    life++;
    int ownIncarnation = life;
    distributor = ScaleDefects.distributor(mutant, settings, clock(),
        (proxy, reply) -> environment.reply(this, proxy, reply));
    List<String> names = names(environment.members());
    if (environment.voters().contains(self)) {
      member = newMember(ownIncarnation);
      controller = Controller.member(self, names, member, distributor, this::sendToPeer, this::clock);
      member.start();
    } else {
      List<String> voters = names(environment.voters());
      controller = Controller.replica(name(), names, voters, distributor, this::sendToPeer, this::clock);
    }
    controller.learned();
    executor(ownIncarnation).execute(() -> runTurn(ownIncarnation));
  }

  private static List<String> names(List<Member> members) {
    return members.stream().map(Member::name).toList();
  }

  private GroupMember newMember(int ownIncarnation) {
    try {
      List<Member> voters = environment.voters();
      return new GroupMember(self, voters, new Log(disk), new Rollout(new Sequence()),
          new PeerTransport(ownIncarnation), executor(ownIncarnation), new MonotonicClock(time), random.bits(), this);
    } catch (IOException invalid) {
      throw new IllegalStateException("log of " + name() + " is not valid", invalid);
    }
  }

  private void runTurn(int ownIncarnation) {
    runTimed(controller::turn);
    mostSubscribers = Math.max(mostSubscribers, distributor.subscribers());
    executor(ownIncarnation).schedule(() -> runTurn(ownIncarnation), TURN_MICROS, TimeUnit.MICROSECONDS);
  }

  private void runTimed(Runnable task) {
    long startNanos = System.nanoTime();
    task.run();
    nanos += System.nanoTime() - startNanos;
  }

  /** Crashes the process, and restarts it after {@code downtimeMicros}. */
  void crash(long downtimeMicros) {
    life++;
    member = null;
    controller = null;
    distributor = null;
    disk.crash();
    int ownIncarnation = life;
    time.after(downtimeMicros, () -> {
      if (life == ownIncarnation) {
        start();
      }
    });
  }

  /** Suspends the process as SIGSTOP does: messages that arrive meanwhile are handled when it resumes. */
  void pause(long durationMicros) {
    pausedUntil = Math.max(pausedUntil, time.now() + durationMicros);
  }

  /** Cuts the machine off from all others until this time. */
  void cut(long untilMicros) {
    cutUntil = Math.max(cutUntil, untilMicros);
  }

  /** Resumes the process and reconnects it to the others. */
  void heal() {
    pausedUntil = 0;
    cutUntil = 0;
  }

  boolean up() {
    return controller != null && time.now() >= pausedUntil;
  }

  boolean leads() {
    return up() && controller.leads();
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
      executor(life).execute(() -> runTimed(task));
    }
  }

  void counted(int byteCount) {
    bytes += byteCount;
  }

  long bytes() {
    return bytes;
  }

  long nanos() {
    return nanos;
  }

  int mostSubscribers() {
    return mostSubscribers;
  }

  private void sendToPeer(String name, PeerMessage message) {
    ControllerMachine to = environment.controller(name);
    if (to == this) {
      execute(() -> controller.receive(name(), message));
      return;
    }
    counted(RAFT_OVERHEAD_BYTES);
    network.carry(this, to, () -> {
      to.counted(RAFT_OVERHEAD_BYTES);
      to.execute(() -> to.controller.receive(name(), message));
    });
  }

  @Override
  public void applied(long index, byte[] command, Verdict verdict) {
    controller.learned();
    environment.applied(this, command, verdict);
  }

  @Override
  public void installed(long index) {
    controller.learned();
  }

  @Override
  public int zone() {
    return zone;
  }

  @Override
  public long cutUntil() {
    return cutUntil;
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
      if (life != ownIncarnation) {
        return;
      }
      ControllerMachine to = environment.controller((String) endpoint.getId());
      int length = length(message);
      counted(length);
      network.carry(ControllerMachine.this, to, () -> {
        to.counted(length);
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
      if (member.stuck()) {
        crash(0);
      }
    } catch (IOException failed) {
      crash(0);
    }
  }
}
