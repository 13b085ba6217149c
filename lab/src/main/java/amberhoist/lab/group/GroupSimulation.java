package amberhoist.lab.group;

import amberhoist.group.GroupMember;
import amberhoist.group.MemberId;
import amberhoist.group.RaftLog;
import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualClock;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.Leases;
import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import amberhoist.rollout.Rollout;
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
public final class GroupSimulation {
  private static final long START_MICROS = 1_000_000_000_000L;
  private static final long MILLISECOND = 1_000; // in microseconds, as all times here
  private static final long SECOND = 1_000_000;
  private static final long RECOVERY_MICROS = 120 * SECOND; // fault-free time at the end of a run
  private static final long MEMBER_TURN_MICROS = 100 * MILLISECOND;
  private static final long LEASE_RENEWAL_MICROS = 500 * MILLISECOND;
  private static final long CHECK_INTERVAL_MICROS = 10 * MILLISECOND;
  private static final long RETRY_DELAY_MICROS = 300 * MILLISECOND; // of an operator without an answer

  private final VirtualTime time = new VirtualTime(START_MICROS);
  private final RandomSource random;
  private final RandomSource faultRandom;
  private final GroupMutant mutant;
  private final GroupChecker checker = new GroupChecker();
  private final Map<String, MemberMachine> machines = new LinkedHashMap<>();
  private final List<MemberId> allMembers = new ArrayList<>();
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
   * @param requestedChanges number of changes requested
   * @param acceptedChanges number of changes that became a version
   * @param activationDelaysMicros microseconds from the log entry of a change until a member first decided by it
   * @param crashCount number of crashed processes
   * @param linkCutCount number of links cut, each in one direction
   * @param eventCount number of simulated events
   */
  public record Outcome(List<String> violations, int requestedChanges, int acceptedChanges,
      List<Long> activationDelaysMicros, long crashCount, long linkCutCount, long eventCount) {}

  /**
   * Creates a simulation.
   *
   * @param seconds duration of the faults, in virtual time
   * @param faultFree true to inject no faults
   */
  public GroupSimulation(int memberCount, int seconds, long seed, GroupMutant mutant, boolean faultFree) {
    this.faultFree = faultFree;
    this.mutant = mutant;
    random = new RandomSource(seed, 1);
    faultRandom = new RandomSource(seed, 2);
    faultsEnd = START_MICROS + seconds * SECOND;
    messageLoss = faultRandom.nextBoolean(0.5) && !faultFree ? 0.03 : 0;
    for (int i = 0; i < memberCount; i++) {
      allMembers.add(new MemberId("m" + i));
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
    time.runAt(faultsEnd, () -> {
      linkCutUntil.clear();
      if (!faultFree) {
        machines.values().forEach(MemberMachine::resumeAndRestart);
      }
    });
    time.runUntil(faultsEnd + RECOVERY_MICROS);
    Map<String, Long> versions = new LinkedHashMap<>();
    machines.forEach((name, machine) -> versions.put(name, machine.versionInForce()));
    checker.checkEnd(time.now(), versions);
    List<String> violations = checker.violations().stream().map(violation -> violation.rule() + " at "
        + (violation.atMicros() - START_MICROS) / MILLISECOND + " ms: " + violation.description()).toList();
    return new Outcome(violations, changeCount, checker.acceptedChangeCount(), checker.activationDelaysMicros(),
        crashCount, cutCount, time.handledEvents());
  }

  private void scheduleCheck() {
    time.runAfter(CHECK_INTERVAL_MICROS, () -> {
      for (MemberMachine machine : machines.values()) {
        checker.checkUsableVersion(time.now(), machine.name(), machine.usableVersion());
        MemberId leader = machine.member == null ? null : machine.member.leader();
        if (leader != null) {
          checker.checkLeader(time.now(), machine.member.term(), leader.name());
        }
      }
      scheduleCheck();
    });
  }

  private void scheduleFault() {
    time.runAfter((long) faultRandom.nextExponential(700 * MILLISECOND), () -> {
      if (time.now() < faultsEnd && !faultFree) {
        injectFault();
        scheduleFault();
      }
    });
  }

  private void injectFault() {
    MemberMachine target = randomMachine();
    MemberMachine other = randomMachine();
    long durationMicros = faultRandom.nextBetween(100 * MILLISECOND, 6 * SECOND);
    switch (faultRandom.nextInt(8)) {
      case 0, 1 -> target.crash(faultRandom.nextBoolean(0.5) ? 0 : durationMicros);
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
        target.disk.failWrites();
        time.runAfter(durationMicros, () -> target.crash(0));
      }
    }
  }

  private void flapLink(MemberMachine from, MemberMachine to, int remaining) {
    if (remaining > 0) {
      cutLink(from, to, 300 * MILLISECOND);
      time.runAfter(600 * MILLISECOND, () -> flapLink(from, to, remaining - 1));
    }
  }

  private void cutLink(MemberMachine from, MemberMachine to, long durationMicros) {
    if (from != to && time.now() < faultsEnd) {
      cutCount++;
      linkCutUntil.merge(from.name() + '>' + to.name(), time.now() + durationMicros, Math::max);
    }
  }

  private MemberMachine randomMachine() {
    return machines.get(allMembers.get(faultRandom.nextInt(allMembers.size())).name());
  }

  private void scheduleChange(int operator) {
    time.runAfter(random.nextBetween(200 * MILLISECOND, 3 * SECOND), () -> {
      if (time.now() < faultsEnd) {
        long base = machines.values().stream().filter(machine -> machine.member != null)
            .mapToLong(machine -> machine.member.rollout().latestVersion()).max().orElse(0);
        PolicyChange change = new PolicyChange("c" + operator + "-" + changeCount++, base, "document " + changeCount);
        checker.onRequested(change);
        requestChange(operator, change);
      }
    });
  }

  /** Sends a change to a random member, and retries until one returns a result. */
  private void requestChange(int operator, PolicyChange change) {
    MemberMachine machine = machines.get(allMembers.get(random.nextInt(allMembers.size())).name());
    boolean[] attemptEnded = new boolean[1];
    Runnable retry = () -> {
      if (!attemptEnded[0]) {
        attemptEnded[0] = true;
        time.runAfter(RETRY_DELAY_MICROS, () -> requestChange(operator, change));
      }
    };
    if (machine.member == null || machine.pausedUntilMicros > time.now()) {
      retry.run();
      return;
    }
    if (mutant == GroupMutant.ANSWERS_UNDECIDED && machine.self.equals(machine.member.leader())) {
      checker.onAnswered(time.now(), change, new ChangeResult(true, change.baseVersion() + 1));
    }
    machine.member.propose(change).whenComplete((answer, failure) -> {
      if (failure == null && !attemptEnded[0]) {
        attemptEnded[0] = true;
        checker.onAnswered(time.now(), change, answer.getResult());
        scheduleChange(operator);
      } else {
        retry.run();
      }
    });
    time.runAfter(5 * SECOND, retry);
  }

  /** The machine of one member, whose disk survives crashes of the process. */
  private final class MemberMachine implements GroupMember.Listener, MachineExecutor.Machine {
    private final MemberId self;
    private final EmulatedDisk disk;
    private final List<byte[]> contentsAtStarts = new ArrayList<>();
    private GroupMember member;
    private final double clockRate;
    private Leases.MemberLease memberLease = new Leases.MemberLease();
    private Leases.LeaderLeases leaderLeases;
    private int leaderLeasesTerm = -1;
    private int incarnation;
    private long pausedUntilMicros;

    MemberMachine(MemberId self) {
      this.self = self;
      boolean forceWorks = mutant != GroupMutant.ACKNOWLEDGES_UNFORCED;
      disk = new EmulatedDisk(new RandomSource(faultRandom.nextLong(), 3), forceWorks);
      clockRate = 1 + Leases.MAX_CLOCK_DRIFT / 2 * (2 * faultRandom.nextFraction() - 1);
    }

    /** Time of the machine's monotonic clock, in microseconds. */
    private long clockMicros() {
      return START_MICROS + (long) ((time.now() - START_MICROS) * clockRate);
    }

    /** The version that the member may decide by now, or -1 for none. */
    long usableVersion() {
      if (member == null || time.now() < pausedUntilMicros) {
        return -1;
      }
      Rollout rollout = member.rollout();
      return switch (mutant) {
        case SKIPS_LEASE -> rollout.isPending() ? -1 : rollout.inForceVersion();
        case DECIDES_WHILE_PENDING -> rollout.isPending() ? rollout.inForceVersion()
            : memberLease.usableVersion(clockMicros(), member.appliedIndex(), rollout);
        case IGNORES_INDEX -> memberLease.usableVersion(clockMicros(), Long.MAX_VALUE, rollout);
        default -> memberLease.usableVersion(clockMicros(), member.appliedIndex(), rollout);
      };
    }

    /** The version that the member knows to be in force, or -1 while a change is pending. */
    long versionInForce() {
      return member == null || member.rollout().isPending() ? -1 : member.rollout().inForceVersion();
    }

    private boolean isLeader() {
      return member != null && self.equals(member.leader());
    }

    /** Does the periodic work of a member and schedules itself again. */
    private void runTurn(int ownIncarnation, long renewAt) {
      MemberId leader = member.leader();
      Rollout rollout = member.rollout();
      if (isLeader()) {
        actAsLeader(rollout);
      }
      boolean renews = clockMicros() >= renewAt;
      if (leader != null) {
        MemberMachine to = machines.get(leader.name());
        if (rollout.isPending() && !rollout.prepared().contains(name())) {
          byte[] prepared = Rollout.prepared(name(), rollout.latestVersion());
          send(to, () -> to.member.replicate(prepared));
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
      if (leaderLeasesTerm != member.term()) {
        leaderLeasesTerm = member.term();
        leaderLeases = new Leases.LeaderLeases(
            mutant == GroupMutant.FORGETS_LEASES ? Long.MIN_VALUE / 2 : clockMicros());
      }
      List<String> members = allMembers.stream().map(MemberId::name).toList();
      byte[] command = mutant == GroupMutant.CONCLUDES_EARLY && rollout.isPending()
          ? Rollout.concludeCommand(rollout.latestVersion(), true)
          : leaderLeases.conclusionCommand(clockMicros(), members, rollout);
      if (command != null) {
        member.replicate(command);
      }
    }

    /** Grants the requester a lease if a majority confirms that this member leads. */
    private void onLeaseRequest(MemberMachine requester, long requestedAt) {
      int term = member.term();
      int ownIncarnation = incarnation;
      if (!isLeader() || leaderLeasesTerm != term) {
        return;
      }
      member.confirmLeadership().whenComplete((confirmed, failure) -> {
        if (failure == null && incarnation == ownIncarnation && isLeader() && member.term() == term
            && leaderLeases.tryGrant(requester.name(), clockMicros(), member.rollout())) {
          int requesterIncarnation = requester.incarnation;
          send(requester, () -> {
            if (requester.incarnation == requesterIncarnation) {
              boolean stretches = mutant == GroupMutant.STRETCHES_LEASE;
              long leaseStart = stretches ? requester.clockMicros() + 2 * Leases.DURATION_MICROS : requestedAt;
              requester.memberLease.onGranted(leaseStart, confirmed.getCommitIndex());
            }
          });
        }
      });
    }

    /** Sends a message to a member, which runs {@code onArrival} on its executor when the message arrives. */
    private void send(MemberMachine to, Runnable onArrival) {
      if (to == this) {
        executor(incarnation).execute(onArrival);
      } else {
        new FaultyTransport(incarnation).transmit(to, () -> {
          if (to.member != null) {
            to.executor(to.incarnation).execute(onArrival);
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
    public int incarnation() {
      return incarnation;
    }

    @Override
    public long pausedUntilMicros() {
      return pausedUntilMicros;
    }

    void start() {
      incarnation++;
      int ownIncarnation = incarnation;
      memberLease = new Leases.MemberLease();
      leaderLeasesTerm = -1;
      contentsAtStarts.add(disk.readAll());
      try {
        RaftLog log = new RaftLog(GroupMutations.diskAtStart(mutant, disk, contentsAtStarts));
        Rollout rollout = new Rollout(GroupMutations.newPolicyVersions(mutant));
        member = new GroupMember(self, allMembers, log, rollout, new FaultyTransport(ownIncarnation),
            executor(ownIncarnation), new VirtualClock(time), random.nextLong(), this);
      } catch (IOException invalid) {
        throw new IllegalStateException("log of " + name() + " is not valid", invalid);
      }
      member.start();
      executor(ownIncarnation).execute(() -> runTurn(ownIncarnation, clockMicros()));
    }

    void resumeAndRestart() {
      pausedUntilMicros = 0;
      crash(0);
    }

    void crash(long downtimeMicros) {
      crashCount++;
      incarnation++;
      member = null;
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

    void receive(RaftMessage message) {
      if (member != null) {
        int ownIncarnation = incarnation;
        executor(ownIncarnation).execute(() -> {
          try {
            member.handle(message);
            if (member.needsRestart()) {
              crash(0);
            }
          } catch (IOException failed) {
            crash(0);
          }
        });
      }
    }

    @Override
    public void onApplied(long index, byte[] command, ChangeResult result) {
      checker.onApplied(time.now(), name(), index, command, result);
    }

    @Override
    public void onSnapshotInstalled(long index) {
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
        if (incarnation != ownIncarnation || !isLinkUp(target) || random.nextBoolean(messageLoss)) {
          return;
        }
        long delayMicros = random.nextBetween(MILLISECOND / 5, 5 * MILLISECOND)
            + (random.nextBoolean(0.02) ? random.nextBetween(0, SECOND) : 0);
        time.runAfter(delayMicros, () -> {
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
