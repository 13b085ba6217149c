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

/** The machine of a controller: its disk outlives its process. */
final class ControllerMachine implements Network.Site, GroupMember.Listener, MachineExecutor.Machine {
  /** Where the other machines are, and who is told what happens here. */
  interface Surroundings {
    ControllerMachine controller(String name);

    List<Member> members();

    List<Member> voters();

    void reply(ControllerMachine from, String proxy, Message.Reply reply);

    void applied(ControllerMachine at, byte[] command, Verdict verdict);
  }

  private static final long TURN = 50_000;
  private static final int RAFT_OVERHEAD = 64; // bytes of a message between members, beside its entries

  private final VirtualTime time;
  private final Network network;
  private final Surroundings surroundings;
  private final DistributionSettings settings;
  private final ScaleMutant mutant;
  private final Member self;
  private final int zone;
  private final long start;
  private final double rate;
  private final Chance chance;
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

  ControllerMachine(VirtualTime time, Network network, Surroundings surroundings, DistributionSettings settings,
      ScaleMutant mutant, Member self, int zone, Chance chance) {
    this.time = time;
    this.network = network;
    this.surroundings = surroundings;
    this.settings = settings;
    this.mutant = mutant;
    this.self = self;
    this.zone = zone;
    this.chance = chance;
    start = time.now();
    rate = 1 + Leases.DRIFT / 2 * (2 * chance.part() - 1);
    disk = new EmulatedDisk(new Chance(chance.bits(), 3), true);
  }

  String name() {
    return self.name();
  }

  private MachineExecutor executor(int ofLife) {
    return new MachineExecutor(time, this, ofLife);
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
    return start + (long) ((time.now() - start) * rate);
  }

  void start() {
    life++;
    int ofLife = life;
    distributor = ScaleDefects.distributor(mutant, settings, clock(),
        (proxy, reply) -> surroundings.reply(this, proxy, reply));
    List<String> names = names(surroundings.members());
    if (surroundings.voters().contains(self)) {
      member = newMember(ofLife);
      controller = Controller.member(self, names, member, distributor, this::tell, this::clock);
      member.start();
    } else {
      List<String> voters = names(surroundings.voters());
      controller = Controller.replica(name(), names, voters, distributor, this::tell, this::clock);
    }
    controller.learned();
    executor(ofLife).execute(() -> turn(ofLife));
  }

  private static List<String> names(List<Member> members) {
    return members.stream().map(Member::name).toList();
  }

  private GroupMember newMember(int ofLife) {
    try {
      List<Member> voters = surroundings.voters();
      return new GroupMember(self, voters, new Log(disk), new Rollout(new Sequence()), new Links(ofLife),
          executor(ofLife), new MonotonicClock(time), chance.bits(), this);
    } catch (IOException refused) {
      throw new IllegalStateException(name() + " refuses its log", refused);
    }
  }

  private void turn(int ofLife) {
    work(controller::turn);
    mostSubscribers = Math.max(mostSubscribers, distributor.subscribers());
    executor(ofLife).schedule(() -> turn(ofLife), TURN, TimeUnit.MICROSECONDS);
  }

  private void work(Runnable task) {
    long before = System.nanoTime();
    task.run();
    nanos += System.nanoTime() - before;
  }

  /** Ends its process without a word, and starts it after so many micros. */
  void crash(long away) {
    life++;
    member = null;
    controller = null;
    distributor = null;
    disk.crash();
    int ofLife = life;
    time.after(away, () -> {
      if (life == ofLife) {
        start();
      }
    });
  }

  /** Stops it as SIGSTOP does: what comes waits, and is handled late. */
  void pause(long length) {
    pausedUntil = Math.max(pausedUntil, time.now() + length);
  }

  void cut(long until) {
    cutUntil = Math.max(cutUntil, until);
  }

  /** Lets it go on and joins it to the others. */
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

  /** Has this done on its thread, unless its process ends before. */
  void execute(Runnable task) {
    if (controller != null) {
      executor(life).execute(() -> work(task));
    }
  }

  void counted(int length) {
    bytes += length;
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

  private void tell(String name, PeerMessage message) {
    ControllerMachine to = surroundings.controller(name);
    if (to == this) {
      execute(() -> controller.receive(name(), message));
      return;
    }
    counted(RAFT_OVERHEAD);
    network.carry(this, to, () -> {
      to.counted(RAFT_OVERHEAD);
      to.execute(() -> to.controller.receive(name(), message));
    });
  }

  @Override
  public void applied(long index, byte[] command, Verdict verdict) {
    controller.learned();
    surroundings.applied(this, command, verdict);
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
    int length = RAFT_OVERHEAD;
    if (message instanceof AppendEntriesRequest request) {
      for (LogEntry entry : request.getLogEntries()) {
        length += entry.getOperation() instanceof byte[] command ? command.length + RAFT_OVERHEAD : RAFT_OVERHEAD;
      }
    }
    return length;
  }

  /** Messages of the agreement library to the other controllers. */
  private final class Links implements Transport {
    private final int ofLife;

    Links(int ofLife) {
      this.ofLife = ofLife;
    }

    @Override
    public void send(RaftEndpoint endpoint, RaftMessage message) {
      if (life != ofLife) {
        return;
      }
      ControllerMachine to = surroundings.controller((String) endpoint.getId());
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
