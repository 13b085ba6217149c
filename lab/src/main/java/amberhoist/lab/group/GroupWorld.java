package amberhoist.lab.group;

import amberhoist.group.GroupMember;
import amberhoist.group.Log;
import amberhoist.group.Member;
import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.MonotonicClock;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.Leases;
import amberhoist.rollout.Rollout;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One run of a group in virtual time: the real members and logs between emulated links, disks and operators, under
 * faults drawn from a seed; in the end all is whole, and the checker judges what was recorded.
 */
public final class GroupWorld {
  private static final long START = 1_000_000_000_000L; // micros
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long QUIET = 120 * SECOND; // at the end, with all members up and all links whole
  private static final long TURN = 100 * MILLI; // between looks of a member at what there is to do
  private static final long RENEW = 500 * MILLI;
  private static final long LOOK = 10 * MILLI; // of the checker
  private static final long AGAIN = 300 * MILLI; // an operator with no answer asks again after this

  private final VirtualTime time = new VirtualTime(START);
  private final Chance chance;
  private final Chance faults;
  private final GroupMutant mutant;
  private final GroupChecker checker = new GroupChecker();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final List<Member> all = new ArrayList<>();
  private final Map<String, Long> cutUntil = new HashMap<>(); // one way, by "from>to"
  private final long faultsEnd;
  private final double loss;
  private final boolean calm;
  private long crashes;
  private long cuts;
  private int changes;

  /** What came of a run; {@code violations} are told in words, none where all rules held. */
  public record Outcome(List<String> violations, int changes, int taken, List<Long> waits, long crashes, long cuts,
      long events) {}

  /** A group of so many members that is disturbed for so many seconds, or left alone where {@code calm}. */
  public GroupWorld(int members, int seconds, long seed, GroupMutant mutant, boolean calm) {
    this.calm = calm;
    this.mutant = mutant;
    chance = new Chance(seed, 1);
    faults = new Chance(seed, 2);
    faultsEnd = START + seconds * SECOND;
    loss = faults.happens(0.5) && !calm ? 0.03 : 0;
    for (int i = 0; i < members; i++) {
      all.add(new Member("m" + i));
    }
    all.forEach(member -> machines.put(member.name(), new Machine(member)));
  }

  /** Runs it to its end. */
  public Outcome run() {
    machines.values().forEach(Machine::start);
    nextFault();
    for (int operator = 0; operator < 2; operator++) {
      nextChange(operator);
    }
    watch();
    time.at(faultsEnd, () -> {
      cutUntil.clear();
      if (!calm) {
        machines.values().forEach(Machine::startAgain);
      }
    });
    time.runUntil(faultsEnd + QUIET);
    Map<String, Long> versions = new LinkedHashMap<>();
    machines.forEach((name, machine) -> versions.put(name, machine.settled()));
    checker.ends(time.now(), versions);
    List<String> violations = checker.violations().stream().map(broken ->
        broken.rule() + " at " + (broken.at() - START) / MILLI + " ms: " + broken.what()).toList();
    return new Outcome(violations, changes, checker.taken(), checker.waits(), crashes, cuts, time.handled());
  }

  private void watch() {
    time.after(LOOK, () -> {
      for (Machine machine : machines.values()) {
        checker.decides(time.now(), machine.name(), machine.decides());
        Member leader = machine.member == null ? null : machine.member.leader();
        if (leader != null) {
          checker.leads(time.now(), machine.member.term(), leader.name());
        }
      }
      watch();
    });
  }

  private void nextFault() {
    time.after((long) faults.exponential(700 * MILLI), () -> {
      if (time.now() < faultsEnd && !calm) {
        fault();
        nextFault();
      }
    });
  }

  private void fault() {
    Machine one = any();
    Machine other = any();
    long length = faults.between(100 * MILLI, 6 * SECOND);
    switch (faults.below(8)) {
      case 0, 1 -> one.crash(faults.happens(0.5) ? 0 : length);
      case 2 -> one.pause(length);
      case 3 -> cut(one, other, length);
      case 4 -> {
        cut(one, other, length);
        cut(other, one, length);
      }
      case 5 -> machines.values().forEach(each -> {
        cut(one, each, length);
        cut(each, one, length);
      });
      case 6 -> flap(one, other, 8);
      default -> {
        one.disk.fail();
        time.after(length, () -> one.crash(0));
      }
    }
  }

  private void flap(Machine one, Machine other, int left) {
    if (left > 0) {
      cut(one, other, 300 * MILLI);
      time.after(600 * MILLI, () -> flap(one, other, left - 1));
    }
  }

  private void cut(Machine from, Machine to, long length) {
    if (from != to && time.now() < faultsEnd) {
      cuts++;
      cutUntil.merge(from.name() + '>' + to.name(), time.now() + length, Math::max);
    }
  }

  private Machine any() {
    return machines.get(all.get(faults.below(all.size())).name());
  }

  private void nextChange(int operator) {
    time.after(chance.between(200 * MILLI, 3 * SECOND), () -> {
      if (time.now() < faultsEnd) {
        long base = machines.values().stream().filter(machine -> machine.member != null)
            .mapToLong(machine -> machine.member.rollout().latest()).max().orElse(0);
        Change change = new Change("c" + operator + "-" + changes++, base, "document " + changes);
        checker.asked(change);
        ask(operator, change);
      }
    });
  }

  /** Asks any member, and on until one knows what became of it. */
  private void ask(int operator, Change change) {
    Machine machine = machines.get(all.get(chance.below(all.size())).name());
    boolean[] ended = new boolean[1];
    Runnable again = () -> {
      if (!ended[0]) {
        ended[0] = true;
        time.after(AGAIN, () -> ask(operator, change));
      }
    };
    if (machine.member == null || machine.pausedUntil > time.now()) {
      again.run();
      return;
    }
    if (mutant == GroupMutant.ANSWERS_UNDECIDED && machine.self.equals(machine.member.leader())) {
      checker.answered(time.now(), change, new Verdict(true, change.base() + 1));
    }
    machine.member.change(change).whenComplete((answer, fault) -> {
      if (fault == null && !ended[0]) {
        ended[0] = true;
        checker.answered(time.now(), change, answer.getResult());
        nextChange(operator);
      } else {
        again.run();
      }
    });
    time.after(5 * SECOND, again);
  }

  /** The machine of one member: its disk lives on when its process dies. */
  private final class Machine implements GroupMember.Listener, MachineExecutor.Machine {
    private final Member self;
    private final EmulatedDisk disk;
    private final List<byte[]> copies = new ArrayList<>();
    private GroupMember member;
    private final double rate; // of its clock
    private Leases.Holder holder = new Leases.Holder();
    private Leases.Granter granter;
    private int granterTerm = -1;
    private int life;
    private long pausedUntil;

    Machine(Member self) {
      this.self = self;
      boolean forces = mutant != GroupMutant.ACKNOWLEDGES_UNFORCED;
      disk = new EmulatedDisk(new Chance(faults.bits(), 3), forces);
      rate = 1 + Leases.DRIFT / 2 * (2 * faults.part() - 1);
    }

    /** Its own monotonic clock. */
    private long clock() {
      return START + (long) ((time.now() - START) * rate);
    }

    /** The version that it would decide by at this moment, or -1. */
    long decides() {
      if (member == null || time.now() < pausedUntil) {
        return -1;
      }
      Rollout rollout = member.rollout();
      return switch (mutant) {
        case SKIPS_LEASE -> rollout.pending() ? -1 : rollout.inForce();
        case DECIDES_WHILE_PENDING -> rollout.pending() ? rollout.inForce()
            : holder.decides(clock(), member.applied(), rollout);
        case IGNORES_INDEX -> holder.decides(clock(), Long.MAX_VALUE, rollout);
        default -> holder.decides(clock(), member.applied(), rollout);
      };
    }

    /** The version that is in force here, or -1 while a change is under way. */
    long settled() {
      return member == null || member.rollout().pending() ? -1 : member.rollout().inForce();
    }

    private boolean leads() {
      return member != null && self.equals(member.leader());
    }

    /** What a member does again and again, on its own thread. */
    private void turn(int ofLife, long renewAt) {
      Member leader = member.leader();
      Rollout rollout = member.rollout();
      if (leads()) {
        lead(rollout);
      }
      boolean renews = clock() >= renewAt;
      if (leader != null) {
        Machine to = machines.get(leader.name());
        if (rollout.pending() && !rollout.prepared().contains(name())) {
          byte[] prepared = Rollout.prepared(name(), rollout.latest());
          note(to, () -> to.member.command(prepared));
        }
        if (renews) {
          long askedAt = clock();
          note(to, () -> to.grant(this, askedAt));
        }
      }
      executor(ofLife).schedule(() -> turn(ofLife, renews ? clock() + RENEW : renewAt), TURN, TimeUnit.MICROSECONDS);
    }

    private void lead(Rollout rollout) {
      if (granterTerm != member.term()) {
        granterTerm = member.term();
        granter = new Leases.Granter(mutant == GroupMutant.FORGETS_LEASES ? Long.MIN_VALUE / 2 : clock());
      }
      List<String> members = all.stream().map(Member::name).toList();
      byte[] command = mutant == GroupMutant.CONCLUDES_EARLY && rollout.pending()
          ? Rollout.conclude(rollout.latest(), true) : granter.conclude(clock(), members, rollout);
      if (command != null) {
        member.command(command);
      }
    }

    /** Another asks for a lease: it gets one where a majority confirms that this one leads. */
    private void grant(Machine asker, long askedAt) {
      int term = member.term();
      int ofLife = life;
      if (!leads() || granterTerm != term) {
        return;
      }
      member.confirm().whenComplete((confirmed, fault) -> {
        if (fault == null && life == ofLife && leads() && member.term() == term
            && granter.grants(asker.name(), clock(), member.rollout())) {
          int askerLife = asker.life;
          note(asker, () -> {
            if (asker.life == askerLife) {
              boolean stretches = mutant == GroupMutant.STRETCHES_LEASE;
              long from = stretches ? asker.clock() + 2 * Leases.LENGTH : askedAt;
              asker.holder.granted(from, confirmed.getCommitIndex());
            }
          });
        }
      });
    }

    /** Has something done at another member, on its thread, when a message has reached it. */
    private void note(Machine to, Runnable then) {
      if (to == this) {
        executor(life).execute(then);
      } else {
        new Links(life).carry(to, () -> {
          if (to.member != null) {
            to.executor(to.life).execute(then);
          }
        });
      }
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

    void start() {
      life++;
      int ofLife = life;
      holder = new Leases.Holder();
      granterTerm = -1;
      copies.add(disk.read());
      try {
        Log log = new Log(Defects.disk(mutant, disk, copies));
        Rollout rollout = new Rollout(Defects.sequence(mutant));
        member = new GroupMember(self, all, log, rollout, new Links(ofLife), executor(ofLife), new MonotonicClock(time),
            chance.bits(), this);
      } catch (IOException refused) {
        throw new IllegalStateException(name() + " refuses its log", refused);
      }
      member.start();
      executor(ofLife).execute(() -> turn(ofLife, clock()));
    }

    void startAgain() {
      pausedUntil = 0;
      crash(0);
    }

    void crash(long away) {
      crashes++;
      life++;
      member = null;
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

    void take(RaftMessage message) {
      if (member != null) {
        int ofLife = life;
        executor(ofLife).execute(() -> {
          try {
            member.handle(message);
            if (member.stuck()) {
              crash(0);
            }
          } catch (IOException failed) {
            crash(0);
          }
        });
      }
    }

    @Override
    public void applied(long index, byte[] command, Verdict verdict) {
      checker.applied(time.now(), name(), index, command, verdict);
    }

    @Override
    public void installed(long index) {
      // what it says of the log is checked as the member goes on by it
    }

    /** Links to the others, which lose, delay and reorder. */
    private final class Links implements Transport {
      private final int ofLife;

      Links(int ofLife) {
        this.ofLife = ofLife;
      }

      @Override
      public void send(RaftEndpoint to, RaftMessage message) {
        Machine target = machines.get((String) to.getId());
        carry(target, () -> target.take(message));
      }

      private void carry(Machine target, Runnable arrives) {
        if (life != ofLife || !whole(target) || chance.happens(loss)) {
          return;
        }
        long delay = chance.between(MILLI / 5, 5 * MILLI) + (chance.happens(0.02) ? chance.between(0, SECOND) : 0);
        time.after(delay, () -> {
          if (whole(target)) {
            arrives.run();
          }
        });
      }

      private boolean whole(Machine target) {
        return time.now() >= cutUntil.getOrDefault(name() + '>' + target.name(), 0L);
      }

      @Override
      public boolean isReachable(RaftEndpoint to) {
        return true;
      }
    }
  }
}
