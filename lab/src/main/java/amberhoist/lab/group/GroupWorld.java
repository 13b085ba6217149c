package amberhoist.lab.group;

import amberhoist.group.GroupMember;
import amberhoist.group.Log;
import amberhoist.group.Member;
import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import io.microraft.RaftEndpoint;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
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
  private long crashes;
  private long cuts;
  private int changes;

  /** What came of a run; {@code violations} are told in words, none where all rules held. */
  public record Outcome(List<String> violations, int changes, int taken, long crashes, long cuts, long events) {}

  /** A group of so many members that is disturbed for so many seconds. */
  public GroupWorld(int members, int seconds, long seed, GroupMutant mutant) {
    this.mutant = mutant;
    chance = new Chance(seed, 1);
    faults = new Chance(seed, 2);
    faultsEnd = START + seconds * SECOND;
    loss = faults.happens(0.5) ? 0.03 : 0;
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
    watchLeaders();
    time.at(faultsEnd, () -> {
      cutUntil.clear();
      machines.values().forEach(Machine::startAgain);
    });
    time.runUntil(faultsEnd + QUIET);
    Map<String, Long> versions = new LinkedHashMap<>();
    machines.forEach((name, machine) -> versions.put(name, machine.member == null ? -1 : machine.member.version()));
    checker.ends(time.now(), versions);
    List<String> violations = checker.violations().stream().map(broken ->
        broken.rule() + " at " + (broken.at() - START) / MILLI + " ms: " + broken.what()).toList();
    return new Outcome(violations, changes, checker.taken(), crashes, cuts, time.handled());
  }

  private void watchLeaders() {
    time.after(50 * MILLI, () -> {
      for (Machine machine : machines.values()) {
        Member leader = machine.member == null ? null : machine.member.leader();
        if (leader != null) {
          checker.leads(time.now(), machine.member.term(), leader.name());
        }
      }
      watchLeaders();
    });
  }

  private void nextFault() {
    time.after((long) faults.exponential(700 * MILLI), () -> {
      if (time.now() < faultsEnd) {
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
            .mapToLong(machine -> machine.member.version()).max().orElse(0);
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
    if (mutant == GroupMutant.APPLIES_UNDECIDED && machine.self.equals(machine.member.leader())) {
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
  private final class Machine implements GroupMember.Listener {
    private final Member self;
    private final EmulatedDisk disk;
    private final List<byte[]> copies = new ArrayList<>();
    private GroupMember member;
    private int life;
    private long pausedUntil;

    Machine(Member self) {
      this.self = self;
      boolean forces = mutant != GroupMutant.ACKNOWLEDGES_UNFORCED;
      disk = new EmulatedDisk(new Chance(faults.bits(), 3), forces);
    }

    String name() {
      return self.name();
    }

    void start() {
      life++;
      int ofLife = life;
      checker.starts(name());
      copies.add(disk.read());
      try {
        Log log = new Log(Defects.disk(mutant, disk, copies));
        member = new GroupMember(self, all, log, Defects.sequence(mutant), new Links(ofLife), new Turns(ofLife),
            new MonotonicClock(), chance.bits(), this);
      } catch (IOException refused) {
        throw new IllegalStateException(name() + " refuses its log", refused);
      }
      member.start();
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
        member.handle(message);
      }
    }

    @Override
    public void applied(long index, Change change, Verdict verdict, long version) {
      checker.applied(time.now(), name(), index, change, verdict);
      checker.inForce(time.now(), name(), version);
    }

    @Override
    public void installed(long index, long version) {
      checker.inForce(time.now(), name(), version);
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
        if (life != ofLife || target == null || !whole(target) || chance.happens(loss)) {
          return;
        }
        long delay = chance.between(MILLI / 5, 5 * MILLI) + (chance.happens(0.02) ? chance.between(0, SECOND) : 0);
        time.after(delay, () -> {
          if (whole(target)) {
            target.take(message);
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

    /** One task after the other, in virtual time; none after its life has ended. */
    private final class Turns implements RaftNodeExecutor {
      private final int ofLife;

      Turns(int ofLife) {
        this.ofLife = ofLife;
      }

      private void at(long when, Runnable task) {
        time.at(Math.max(when, pausedUntil), () -> {
          if (life != ofLife) {
            return;
          }
          if (time.now() < pausedUntil) {
            at(pausedUntil, task);
          } else {
            task.run();
          }
        });
      }

      @Override
      public void execute(Runnable task) {
        at(time.now(), task);
      }

      @Override
      public void submit(Runnable task) {
        at(time.now(), task);
      }

      @Override
      public void schedule(Runnable task, long delay, TimeUnit unit) {
        at(time.now() + unit.toMicros(delay), task);
      }
    }
  }

  /** The virtual time as a member's clock. */
  private final class MonotonicClock extends Clock {
    @Override
    public ZoneId getZone() {
      return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
      return this;
    }

    @Override
    public Instant instant() {
      return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
      return time.now() / MILLI;
    }
  }
}
