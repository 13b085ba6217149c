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
 * Simulates a group in virtual time: real members and logs with emulated links, disks and operators, under faults drawn
 * from a seed. Faults stop before the end of a run, so that the checker can verify that the group recovers.
 */
public final class GroupWorld {
  private static final long START_MICROS = 1_000_000_000_000L;
  private static final long MILLISECOND = 1_000; // in microseconds, as all times here
  private static final long SECOND = 1_000_000;
  private static final long RECOVERY_MICROS = 120 * SECOND; // fault-free time at the end of a run
  private static final long MEMBER_TURN_MICROS = 100 * MILLISECOND;
  private static final long LEASE_RENEWAL_MICROS = 500 * MILLISECOND;
  private static final long CHECK_INTERVAL_MICROS = 10 * MILLISECOND;
  private static final long RETRY_DELAY_MICROS = 300 * MILLISECOND; // of an operator without an answer

  private final VirtualTime time = new VirtualTime(START_MICROS);
  private final Chance random;
  private final Chance faultRandom;
  private final GroupMutant mutant;
  private final GroupChecker checker = new GroupChecker();
  private final Map<String, MemberMachine> machines = new LinkedHashMap<>();
  private final List<Member> allMembers = new ArrayList<>();
  private final Map<String, Long> linkCutUntil = new HashMap<>(); // by "from>to", one direction each
  private final long faultsEnd;
  private final double messageLoss;
  private final boolean faultFree;
  private long crashCount;
  private long cutCount;
  private int changeCount;

  /**
   * The result of a run.
   *
   * @param violations descriptions of the rule violations
   * @param changes number of changes requested
   * @param taken number of changes that became a version
   * @param waits microseconds from the log entry of a change until a member first decided by it
   * @param crashes number of crashed processes
   * @param cuts number of links cut, each in one direction
   * @param events number of simulated events
   */
  public record Outcome(List<String> violations, int changes, int taken,
      List<Long> waits, long crashes, long cuts, long events) {}

  /**
   * Creates a simulation.
   *
   * @param seconds duration of the faults, in virtual time
   * @param faultFree true to inject no faults
   */
  public GroupWorld(int memberCount, int seconds, long seed, GroupMutant mutant, boolean faultFree) {
    this.faultFree = faultFree;
    this.mutant = mutant;
    random = new Chance(seed, 1);
    faultRandom = new Chance(seed, 2);
    faultsEnd = START_MICROS + seconds * SECOND;
    messageLoss = faultRandom.happens(0.5) && !faultFree ? 0.03 : 0;
    for (int i = 0; i < memberCount; i++) {
      allMembers.add(new Member("m" + i));
    }
    allMembers.forEach(member -> machines.put(member.name(), new MemberMachine(member)));
  }

  /** Runs the simulation to its end. */
  public Outcome run() {
    machines.values().forEach(MemberMachine::start);
    scheduleFault();
    for (int operator = 0; operator < 2; operator++) {
      scheduleChange(operator);
    }
    scheduleCheck();
    time.at(faultsEnd, () -> {
      linkCutUntil.clear();
      if (!faultFree) {
        machines.values().forEach(MemberMachine::resumeAndRestart);
      }
    });
    time.runUntil(faultsEnd + RECOVERY_MICROS);
    Map<String, Long> versions = new LinkedHashMap<>();
    machines.forEach((name, machine) -> versions.put(name, machine.versionInForce()));
    checker.ends(time.now(), versions);
    List<String> violations = checker.violations().stream().map(violation -> violation.rule() + " at "
        + (violation.at() - START_MICROS) / MILLISECOND + " ms: " + violation.what()).toList();
    return new Outcome(violations, changeCount, checker.taken(), checker.waits(),
        crashCount, cutCount, time.handled());
  }

  private void scheduleCheck() {
    time.after(CHECK_INTERVAL_MICROS, () -> {
      for (MemberMachine machine : machines.values()) {
        checker.decides(time.now(), machine.name(), machine.usableVersion());
        Member leader = machine.member == null ? null : machine.member.leader();
        if (leader != null) {
          checker.leads(time.now(), machine.member.term(), leader.name());
        }
      }
      scheduleCheck();
    });
  }

  private void scheduleFault() {
    time.after((long) faultRandom.exponential(700 * MILLISECOND), () -> {
      if (time.now() < faultsEnd && !faultFree) {
        injectFault();
        scheduleFault();
      }
    });
  }

  private void injectFault() {
    MemberMachine target = randomMachine();
    MemberMachine other = randomMachine();
    long durationMicros = faultRandom.between(100 * MILLISECOND, 6 * SECOND);
    switch (faultRandom.below(8)) {
      case 0, 1 -> target.crash(faultRandom.happens(0.5) ? 0 : durationMicros);
      case 2 -> target.pause(durationMicros);
      case 3 -> cutLink(target, other, durationMicros);
      case 4 -> {
        cutLink(target, other, durationMicros);
        cutLink(other, target, durationMicros);
      }
      case 5 -> machines.values().forEach(each -> {
        cutLink(target, each, durationMicros);
        cutLink(each, target, durationMicros);
      });
      case 6 -> flapLink(target, other, 8);
      default -> {
        target.disk.fail();
        time.after(durationMicros, () -> target.crash(0));
      }
    }
  }

  private void flapLink(MemberMachine from, MemberMachine to, int remaining) {
    if (remaining > 0) {
      cutLink(from, to, 300 * MILLISECOND);
      time.after(600 * MILLISECOND, () -> flapLink(from, to, remaining - 1));
    }
  }

  private void cutLink(MemberMachine from, MemberMachine to, long durationMicros) {
    if (from != to && time.now() < faultsEnd) {
      cutCount++;
      linkCutUntil.merge(from.name() + '>' + to.name(), time.now() + durationMicros, Math::max);
    }
  }

  private MemberMachine randomMachine() {
    return machines.get(allMembers.get(faultRandom.below(allMembers.size())).name());
  }

  private void scheduleChange(int operator) {
    time.after(random.between(200 * MILLISECOND, 3 * SECOND), () -> {
      if (time.now() < faultsEnd) {
        long base = machines.values().stream().filter(machine -> machine.member != null)
            .mapToLong(machine -> machine.member.rollout().latest()).max().orElse(0);
        Change change = new Change("c" + operator + "-" + changeCount++, base, "document " + changeCount);
        checker.asked(change);
        requestChange(operator, change);
      }
    });
  }

  /** Sends a change to a random member, and retries until one returns a result. */
  private void requestChange(int operator, Change change) {
    MemberMachine machine = machines.get(allMembers.get(random.below(allMembers.size())).name());
    boolean[] attemptEnded = new boolean[1];
    Runnable retry = () -> {
      if (!attemptEnded[0]) {
        attemptEnded[0] = true;
        time.after(RETRY_DELAY_MICROS, () -> requestChange(operator, change));
      }
    };
    if (machine.member == null || machine.pausedUntil > time.now()) {
      retry.run();
      return;
    }
    if (mutant == GroupMutant.ANSWERS_UNDECIDED && machine.self.equals(machine.member.leader())) {
      checker.answered(time.now(), change, new Verdict(true, change.base() + 1));
    }
    machine.member.change(change).whenComplete((answer, fault) -> {
      if (fault == null && !attemptEnded[0]) {
        attemptEnded[0] = true;
        checker.answered(time.now(), change, answer.getResult());
        scheduleChange(operator);
      } else {
        retry.run();
      }
    });
    time.after(5 * SECOND, retry);
  }

  /** The machine of one member, whose disk survives crashes of the process. */
  private final class MemberMachine implements GroupMember.Listener, MachineExecutor.Machine {
    private final Member self;
    private final EmulatedDisk disk;
    private final List<byte[]> contentsAtStarts = new ArrayList<>();
    private GroupMember member;
    private final double clockRate;
    private Leases.Holder leaseHolder = new Leases.Holder();
    private Leases.Granter leaseGranter;
    private int granterTerm = -1;
    private int life;
    private long pausedUntil;

    MemberMachine(Member self) {
      this.self = self;
      boolean forceWorks = mutant != GroupMutant.ACKNOWLEDGES_UNFORCED;
      disk = new EmulatedDisk(new Chance(faultRandom.bits(), 3), forceWorks);
      clockRate = 1 + Leases.DRIFT / 2 * (2 * faultRandom.part() - 1);
    }

    /** Time of the machine's monotonic clock, in microseconds. */
    private long clockMicros() {
      return START_MICROS + (long) ((time.now() - START_MICROS) * clockRate);
    }

    /** The version that the member may decide by now, or -1 for none. */
    long usableVersion() {
      if (member == null || time.now() < pausedUntil) {
        return -1;
      }
      Rollout rollout = member.rollout();
      return switch (mutant) {
        case SKIPS_LEASE -> rollout.pending() ? -1 : rollout.inForce();
        case DECIDES_WHILE_PENDING -> rollout.pending() ? rollout.inForce()
            : leaseHolder.decides(clockMicros(), member.applied(), rollout);
        case IGNORES_INDEX -> leaseHolder.decides(clockMicros(), Long.MAX_VALUE, rollout);
        default -> leaseHolder.decides(clockMicros(), member.applied(), rollout);
      };
    }

    /** The version that the member knows to be in force, or -1 while a change is pending. */
    long versionInForce() {
      return member == null || member.rollout().pending() ? -1 : member.rollout().inForce();
    }

    private boolean isLeader() {
      return member != null && self.equals(member.leader());
    }

    /** Does the periodic work of a member and schedules itself again. */
    private void runTurn(int ownIncarnation, long renewAt) {
      Member leader = member.leader();
      Rollout rollout = member.rollout();
      if (isLeader()) {
        actAsLeader(rollout);
      }
      boolean renews = clockMicros() >= renewAt;
      if (leader != null) {
        MemberMachine to = machines.get(leader.name());
        if (rollout.pending() && !rollout.prepared().contains(name())) {
          byte[] prepared = Rollout.prepared(name(), rollout.latest());
          send(to, () -> to.member.command(prepared));
        }
        if (renews) {
          long requestedAt = clockMicros();
          send(to, () -> to.onLeaseRequest(this, requestedAt));
        }
      }
      executor(ownIncarnation).schedule(
          () -> runTurn(ownIncarnation, renews ? clockMicros() + LEASE_RENEWAL_MICROS : renewAt),
          MEMBER_TURN_MICROS, TimeUnit.MICROSECONDS);
    }

    private void actAsLeader(Rollout rollout) {
      if (granterTerm != member.term()) {
        granterTerm = member.term();
        leaseGranter = new Leases.Granter(mutant == GroupMutant.FORGETS_LEASES ? Long.MIN_VALUE / 2 : clockMicros());
      }
      List<String> members = allMembers.stream().map(Member::name).toList();
      byte[] command = mutant == GroupMutant.CONCLUDES_EARLY && rollout.pending()
          ? Rollout.conclude(rollout.latest(), true) : leaseGranter.conclude(clockMicros(), members, rollout);
      if (command != null) {
        member.command(command);
      }
    }

    /** Grants the requester a lease if a majority confirms that this member leads. */
    private void onLeaseRequest(MemberMachine requester, long requestedAt) {
      int term = member.term();
      int ownIncarnation = life;
      if (!isLeader() || granterTerm != term) {
        return;
      }
      member.confirm().whenComplete((confirmed, fault) -> {
        if (fault == null && life == ownIncarnation && isLeader() && member.term() == term
            && leaseGranter.grants(requester.name(), clockMicros(), member.rollout())) {
          int requesterIncarnation = requester.life;
          send(requester, () -> {
            if (requester.life == requesterIncarnation) {
              boolean stretches = mutant == GroupMutant.STRETCHES_LEASE;
              long leaseStart = stretches ? requester.clockMicros() + 2 * Leases.LENGTH : requestedAt;
              requester.leaseHolder.granted(leaseStart, confirmed.getCommitIndex());
            }
          });
        }
      });
    }

    /** Sends a message to a member, which runs {@code onArrival} on its executor when the message arrives. */
    private void send(MemberMachine to, Runnable onArrival) {
      if (to == this) {
        executor(life).execute(onArrival);
      } else {
        new FaultyTransport(life).transmit(to, () -> {
          if (to.member != null) {
            to.executor(to.life).execute(onArrival);
          }
        });
      }
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

    void start() {
      life++;
      int ownIncarnation = life;
      leaseHolder = new Leases.Holder();
      granterTerm = -1;
      contentsAtStarts.add(disk.read());
      try {
        Log log = new Log(Defects.disk(mutant, disk, contentsAtStarts));
        Rollout rollout = new Rollout(Defects.sequence(mutant));
        member = new GroupMember(self, allMembers, log, rollout, new FaultyTransport(ownIncarnation),
            executor(ownIncarnation), new MonotonicClock(time), random.bits(), this);
      } catch (IOException invalid) {
        throw new IllegalStateException("log of " + name() + " is not valid", invalid);
      }
      member.start();
      executor(ownIncarnation).execute(() -> runTurn(ownIncarnation, clockMicros()));
    }

    void resumeAndRestart() {
      pausedUntil = 0;
      crash(0);
    }

    void crash(long downtimeMicros) {
      crashCount++;
      life++;
      member = null;
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

    void receive(RaftMessage message) {
      if (member != null) {
        int ownIncarnation = life;
        executor(ownIncarnation).execute(() -> {
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
      // a wrong snapshot shows in the entries and versions that the member reports after it
    }

    /** Links to the other members, which lose, delay and reorder messages. */
    private final class FaultyTransport implements Transport {
      private final int ownIncarnation;

      FaultyTransport(int ownIncarnation) {
        this.ownIncarnation = ownIncarnation;
      }

      @Override
      public void send(RaftEndpoint to, RaftMessage message) {
        MemberMachine target = machines.get((String) to.getId());
        transmit(target, () -> target.receive(message));
      }

      private void transmit(MemberMachine target, Runnable onArrival) {
        if (life != ownIncarnation || !isLinkUp(target) || random.happens(messageLoss)) {
          return;
        }
        long delayMicros = random.between(MILLISECOND / 5, 5 * MILLISECOND)
            + (random.happens(0.02) ? random.between(0, SECOND) : 0);
        time.after(delayMicros, () -> {
          if (isLinkUp(target)) {
            onArrival.run();
          }
        });
      }

      private boolean isLinkUp(MemberMachine target) {
        return time.now() >= linkCutUntil.getOrDefault(name() + '>' + target.name(), 0L);
      }

      @Override
      public boolean isReachable(RaftEndpoint to) {
        return true;
      }
    }
  }
}
