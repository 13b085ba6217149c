package amberhoist.distribution.controller;

import amberhoist.distribution.Distributor;
import amberhoist.distribution.PolicyState;
import amberhoist.distribution.controller.PeerMessage.LeaseGrant;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.PreparedReport;
import amberhoist.distribution.controller.PeerMessage.Redirect;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import amberhoist.group.GroupMember;
import amberhoist.group.MemberId;
import amberhoist.rollout.Leases;
import amberhoist.rollout.Rollout;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * One of the fleet's controllers: the distributor for a part of the proxies, and either a member of the group or a
 * replica that the leader keeps up to date. It renews the distributor's lease with the leader, and reports a version
 * that all of its subscribers have prepared. While it is the leader it grants leases and concludes changes. Not
 * thread-safe: all calls must come from one thread.
 */
public final class Controller {
  private static final long RENEW_PERIOD_MICROS = 500_000;
  private static final long EXPIRE_PERIOD_MICROS = 1_000_000;
  private static final long REPORT_PERIOD_MICROS = 300_000;

  /** Sends messages to the controllers, this one included. */
  public interface PeerLink {
    /** Sends a message to the controller of this name; it may get lost. */
    void send(String receiver, PeerMessage message);
  }

  private final String name;
  private final List<String> controllers;
  private final GroupMember member; // null for a replica
  private final Replica replica; // null for a member
  private final ReplicatedState replicatedState;
  private final Distributor distributor;
  private final PeerLink peerLink;
  private final LongSupplier clock;
  private final Leases.MemberLease memberLease = new Leases.MemberLease();
  private final ReplicaFeed feed = new ReplicaFeed();
  private Leases.LeaderLeases leaderLeases;
  private int leaderTerm = -1;
  private long publishedVersion = -1;
  private boolean publishedPending;
  private long renewAt = Long.MIN_VALUE;
  private long expireAt = Long.MIN_VALUE;
  private long reportAt = Long.MIN_VALUE;

  private Controller(String name, List<String> controllers, GroupMember member, Replica replica,
      Distributor distributor, PeerLink peerLink, LongSupplier clock) {
    this.name = name;
    this.controllers = List.copyOf(controllers);
    this.member = member;
    this.replica = replica;
    this.distributor = distributor;
    this.peerLink = peerLink;
    this.clock = clock;
    replicatedState = member == null ? replica : new MemberState();
  }

  /**
   * Creates a controller that is a member of the group, and starts now.
   *
   * @param controllers names of all controllers, including this one
   * @param clock monotonic clock, in microseconds
   */
  public static Controller member(MemberId self, List<String> controllers, GroupMember member, Distributor distributor,
      PeerLink peerLink, LongSupplier clock) {
    return new Controller(self.name(), controllers, member, null, distributor, peerLink, clock);
  }

  /** Creates a controller that is no member of the group, and gets the state from the leader among these voters. */
  public static Controller replica(String name, List<String> controllers, List<String> voters, Distributor distributor,
      PeerLink peerLink, LongSupplier clock) {
    Replica replica = new Replica(voters, name.hashCode());
    return new Controller(name, controllers, null, replica, distributor, peerLink, clock);
  }

  /** The state has changed: passes it to the distributor, before a lease that requires it, and to replicas. */
  public void onStateChanged() {
    PolicyState state = replicatedState.state();
    distributor.onPolicyState(clock.getAsLong(), state);
    updateDistributorLease();
    boolean changed = publishedVersion != state.latestVersion() || publishedPending != (state.pending() != null);
    if (changed && isLeader()) {
      publishedVersion = state.latestVersion();
      publishedPending = state.pending() != null;
      feed.replicas().forEach(each -> peerLink.send(each, updateFor(each)));
    }
  }

  private StateUpdate updateFor(String replicaName) {
    boolean prepared = member.rollout().prepared().contains(replicaName);
    return feed.updateFor(replicaName, member.appliedIndex(), replicatedState.state(), prepared);
  }

  /** Performs periodic work; to be called every few tens of milliseconds. */
  public void step() {
    long now = clock.getAsLong();
    if (isLeader()) {
      concludeChange(now);
    }
    if (replicatedState.leader() != null) {
      reportAndRenew(now);
    }
    if (now >= expireAt) {
      expireAt = now + EXPIRE_PERIOD_MICROS;
      distributor.removeSilent(now);
    }
  }

  /** Whether this controller is the leader, as far as it knows. */
  public boolean isLeader() {
    return member != null && member.leader() != null && member.leader().name().equals(name);
  }

  /** Returns the state of the policy, as far as this controller knows it. */
  public PolicyState state() {
    return replicatedState.state();
  }

  private void reportAndRenew(long now) {
    boolean isReportDue = now >= reportAt && replicatedState.state().pending() != null
        && !replicatedState.hasPrepared();
    if (isReportDue && distributor.checkPrepared(now)) {
      reportAt = now + REPORT_PERIOD_MICROS;
      peerLink.send(replicatedState.leader(), new PreparedReport(replicatedState.state().latestVersion()));
    }
    if (now >= renewAt) {
      renewAt = now + RENEW_PERIOD_MICROS;
      PolicyState state = replicatedState.state();
      LeaseRequest request = replica != null ? replica.nextRequest(now)
          : new LeaseRequest(now, state.inForce().version(), state.latestVersion(), false);
      peerLink.send(replicatedState.leader(), request);
    }
  }

  private void concludeChange(long now) {
    if (leaderTerm != member.term()) {
      leaderTerm = member.term();
      leaderLeases = new Leases.LeaderLeases(now);
    }
    byte[] command = leaderLeases.conclusionCommand(now, controllers, member.rollout());
    if (command != null) {
      member.replicate(command);
    }
  }

  /** Handles a message from another controller, or from this one. */
  public void onMessage(String from, PeerMessage message) {
    if (message instanceof LeaseRequest request && member != null) {
      onLeaseRequest(from, request);
    } else if (message instanceof LeaseGrant grant) {
      onLeaseGranted(from, grant);
    } else if (message instanceof StateUpdate update && replica != null) {
      applyUpdate(update);
    } else if (message instanceof Redirect redirect && replica != null) {
      replica.onRedirected(redirect.leader());
      renewAt = redirect.leader() == null ? renewAt : Long.MIN_VALUE;
    } else if (message instanceof PreparedReport report && isLeader()
        && !member.rollout().prepared().contains(from)) {
      member.replicate(Rollout.prepared(from, report.version()));
    }
  }

  private void onLeaseGranted(String from, LeaseGrant grant) {
    if (replica != null) {
      replica.onAnswered(from);
      if (grant.update() != null) {
        applyUpdate(grant.update());
      }
    }
    memberLease.onGranted(grant.askedAt(), grant.requiredIndex());
    updateDistributorLease();
  }

  private void applyUpdate(StateUpdate update) {
    if (replica.apply(update)) {
      onStateChanged();
    }
  }

  /** Passes the lease to the distributor once the log is known up to the index that the lease requires. */
  private void updateDistributorLease() {
    long until = memberLease.expiresAt(replicatedState.appliedIndex());
    if (until > clock.getAsLong()) {
      distributor.extendLease(until);
    }
  }

  /** Grants a lease if a quorum confirms, after the request, that this controller is the leader. */
  private void onLeaseRequest(String requester, LeaseRequest request) {
    int term = member.term();
    if (!isLeader() || leaderTerm != term) {
      peerLink.send(requester, new Redirect(member.leader() == null || isLeader() ? null : member.leader().name()));
      return;
    }
    if (request.isReplica()) {
      feed.onRequest(requester, request);
    }
    member.confirmLeadership().whenComplete((confirmed, fault) -> {
      boolean isStillLeader = fault == null && isLeader() && member.term() == term;
      if (isStillLeader && leaderLeases.tryGrant(requester, clock.getAsLong(), member.rollout())) {
        StateUpdate update = request.isReplica() ? updateFor(requester) : null;
        peerLink.send(requester, new LeaseGrant(request.askedAt(), confirmed.getCommitIndex(), update));
      }
    });
  }

  /** The replicated state at a member of the group. */
  private final class MemberState implements ReplicatedState {
    @Override
    public String leader() {
      return member.leader() == null ? null : member.leader().name();
    }

    @Override
    public long appliedIndex() {
      return member.appliedIndex();
    }

    @Override
    public PolicyState state() {
      return PolicyState.of(member.rollout());
    }

    @Override
    public boolean hasPrepared() {
      return member.rollout().prepared().contains(name);
    }
  }
}
