package amberhoist.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Leases on the policy, as the leader grants them and as a member holds one. Times are in microseconds of the caller's
 * own monotonic clock. The clocks of two members need not agree, but their rates differ by {@link #MAX_CLOCK_DRIFT} at
 * most.
 */
public final class Leases {
  /** Duration of a lease in microseconds, counted from its request. */
  public static final long DURATION_MICROS = 2_000_000;
  /** Greatest difference between the rates of two clocks, as a fraction. */
  public static final double MAX_CLOCK_DRIFT = 0.02;
  /** A change that cannot come into force within this time is withdrawn; in microseconds. */
  public static final long CHANGE_TIMEOUT_MICROS = 10_000_000;

  private Leases() {}

  /** The lease that a member holds. */
  public static final class MemberLease {
    private long leaseEnd = Long.MIN_VALUE;
    private long requiredIndex;

    /**
     * The leader has granted a lease.
     *
     * @param askedAt when it was requested
     * @param logIndex the lease is valid once the log is applied up to this index
     */
    public void onGranted(long askedAt, long logIndex) {
      long end = askedAt + (long) (DURATION_MICROS * (1 - MAX_CLOCK_DRIFT));
      if (end > leaseEnd) {
        leaseEnd = end;
        requiredIndex = logIndex;
      }
    }

    /** Returns when the lease ends; {@code Long.MIN_VALUE} where none is valid with the log applied this far. */
    public long expiresAt(long appliedIndex) {
      return appliedIndex >= requiredIndex ? leaseEnd : Long.MIN_VALUE;
    }

    /**
     * Returns the policy version that decisions may use now, or -1: without a lease, or with a change pending, a member
     * accepts no new requests.
     */
    public long usableVersion(long now, long appliedIndex, Rollout rollout) {
      return now < leaseEnd && appliedIndex >= requiredIndex && !rollout.isPending() ? rollout.inForceVersion() : -1;
    }
  }

  /** The leases that the leader of one term grants, and the changes that it concludes. */
  public static final class LeaderLeases {
    private final long leaderSince;
    private final Map<String, Long> lastGrantAt = new HashMap<>();
    private long pendingSince;
    private long pendingVersion = -1;
    private long concludingVersion = -1;

    /** Starts as a leader now. The leader before may have granted leases until this moment. */
    public LeaderLeases(long now) {
      leaderSince = now;
    }

    /**
     * Grants a lease to this member; returns false where it must not have one now. That is while a change comes into
     * force which the member has not prepared: with a lease it would decide by the version before.
     */
    public boolean tryGrant(String member, long now, Rollout rollout) {
      if (rollout.isPending() && rollout.latestVersion() == concludingVersion && !rollout.prepared().contains(member)) {
        return false;
      }
      lastGrantAt.put(member, now);
      return true;
    }

    private boolean mayHoldLease(String member, long now) {
      long latestGrantAt = Math.max(leaderSince, lastGrantAt.getOrDefault(member, Long.MIN_VALUE));
      return now <= latestGrantAt + (long) (DURATION_MICROS * (1 + MAX_CLOCK_DRIFT));
    }

    /** Returns the command that concludes the pending change, or null where none is pending or it is too early. */
    public byte[] conclusionCommand(long now, Collection<String> members, Rollout rollout) {
      if (!rollout.isPending()) {
        return null;
      }
      if (rollout.latestVersion() != pendingVersion) {
        pendingVersion = rollout.latestVersion();
        pendingSince = now;
      }
      boolean allReady =
          members.stream().allMatch(each -> rollout.prepared().contains(each) || !mayHoldLease(each, now));
      if (allReady) {
        concludingVersion = pendingVersion;
        return Rollout.concludeCommand(pendingVersion, true);
      }
      return now > pendingSince + CHANGE_TIMEOUT_MICROS && concludingVersion != pendingVersion
          ? Rollout.concludeCommand(pendingVersion, false) : null;
    }
  }
}
