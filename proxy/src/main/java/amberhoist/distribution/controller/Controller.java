package amberhoist.distribution.controller;

import amberhoist.distribution.Distributor;
import amberhoist.distribution.PolicyState;
import amberhoist.distribution.controller.PeerMessage.LeaseGrant;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.PreparedReport;
import amberhoist.distribution.controller.PeerMessage.Redirect;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import amberhoist.group.GroupMember;
import amberhoist.group.Member;
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
  public interface Peers {
    /** Sends a message to the controller of this name; it may get lost. */
    void send(String controller, PeerMessage message);
  }

  private final String name;
  private final List<String> controllers;
  private final GroupMember member; // null for a replica
  private final Replica replica; // null for a member
  private final Follower replicatedState;
  private final Distributor distributor;
  private final Peers peers;
  private final LongSupplier clock;
  private final Leases.Holder memberLease = new Leases.Holder();
  private final ReplicaFeed feed = new ReplicaFeed();
  private Leases.Granter leaderLeases;
  private int leaderTerm = -1;
  private long publishedVersion = -1;
  private boolean publishedPending;
  private long renewAt = Long.MIN_VALUE;
  private long expireAt = Long.MIN_VALUE;
  private long reportAt = Long.MIN_VALUE;

  private Controller(String name, List<String> controllers, GroupMember member, Replica replica,
      Distributor distributor, Peers peers, LongSupplier clock) {
    this.name = name;
    this.controllers = List.copyOf(controllers);
    this.member = member;
    this.replica = replica;
    this.distributor = distributor;
    this.peers = peers;
    this.clock = clock;
    replicatedState = member == null ? replica : new MemberState();
  }

  /**
   * Creates a controller that is a member of the group, and starts now.
   *
   * @param controllers names of all controllers, including this one
   * @param clock monotonic clock, in microseconds
   */
  public static Controller member(Member self, List<String> controllers, GroupMember member, Distributor distributor,
      Peers peers, LongSupplier clock) {
    return new Controller(self.name(), controllers, member, null, distributor, peers, clock);
  }

  /** Creates a controller that is no member of the group, and gets the state from the leader among these voters. */
  public static Controller replica(String name, List<String> controllers, List<String> voters, Distributor distributor,
      Peers peers, LongSupplier clock) {
    Replica replica = new Replica(voters, name.hashCode());
    return new Controller(name, controllers, null, replica, distributor, peers, clock);
  }

  /** The state has changed: passes it to the distributor, before a lease that requires it, and to replicas. */
  public void learned() {
    PolicyState state = replicatedState.state();
    distributor.policy(clock.getAsLong(), state);
    updateDistributorLease();
    boolean changed = publishedVersion != state.latest() || publishedPending != (state.pending() != null);
    if (changed && leads()) {
      publishedVersion = state.latest();
      publishedPending = state.pending() != null;
      feed.replicas().forEach(each -> peers.send(each, updateFor(each)));
    }
  }

  private StateUpdate updateFor(String replicaName) {
    boolean prepared = member.rollout().prepared().contains(replicaName);
    return feed.update(replicaName, member.applied(), replicatedState.state(), prepared);
  }

  /** Performs periodic work; to be called every few tens of milliseconds. */
  public void turn() {
    long now = clock.getAsLong();
    if (leads()) {
      concludeChange(now);
    }
    if (replicatedState.leader() != null) {
      reportAndRenew(now);
    }
    if (now >= expireAt) {
      expireAt = now + EXPIRE_PERIOD_MICROS;
      distributor.expire(now);
    }
  }

  /** Whether this controller is the leader, as far as it knows. */
  public boolean leads() {
    return member != null && member.leader() != null && member.leader().name().equals(name);
  }

  /** Returns the state of the policy, as far as this controller knows it. */
  public PolicyState state() {
    return replicatedState.state();
  }

  private void reportAndRenew(long now) {
    boolean isReportDue = now >= reportAt && replicatedState.state().pending() != null && !replicatedState.prepared();
    if (isReportDue && distributor.prepared(now)) {
      reportAt = now + REPORT_PERIOD_MICROS;
      peers.send(replicatedState.leader(), new PreparedReport(replicatedState.state().latest()));
    }
    if (now >= renewAt) {
      renewAt = now + RENEW_PERIOD_MICROS;
      PolicyState state = replicatedState.state();
      LeaseRequest request = replica != null ? replica.request(now)
          : new LeaseRequest(now, state.inForce().version(), state.latest(), false);
      peers.send(replicatedState.leader(), request);
    }
  }

  private void concludeChange(long now) {
    if (leaderTerm != member.term()) {
      leaderTerm = member.term();
      leaderLeases = new Leases.Granter(now);
    }
    byte[] command = leaderLeases.conclude(now, controllers, member.rollout());
    if (command != null) {
      member.command(command);
    }
  }

  /** Handles a message from another controller, or from this one. */
  public void receive(String from, PeerMessage message) {
    if (message instanceof LeaseRequest request && member != null) {
      onLeaseRequest(from, request);
    } else if (message instanceof LeaseGrant grant) {
      onLeaseGranted(from, grant);
    } else if (message instanceof StateUpdate update && replica != null) {
      applyUpdate(update);
    } else if (message instanceof Redirect redirect && replica != null) {
      replica.redirected(redirect.leader());
      renewAt = redirect.leader() == null ? renewAt : Long.MIN_VALUE;
    } else if (message instanceof PreparedReport report && leads()
        && !member.rollout().prepared().contains(from)) {
      member.command(Rollout.prepared(from, report.version()));
    }
  }

  private void onLeaseGranted(String from, LeaseGrant grant) {
    if (replica != null) {
      replica.answered(from);
      if (grant.update() != null) {
        applyUpdate(grant.update());
      }
    }
    memberLease.granted(grant.askedAt(), grant.index());
    updateDistributorLease();
  }

  private void applyUpdate(StateUpdate update) {
    if (replica.take(update)) {
      learned();
    }
  }

  /** Passes the lease to the distributor once the log is known up to the index that the lease requires. */
  private void updateDistributorLease() {
    long until = memberLease.until(replicatedState.applied());
    if (until > clock.getAsLong()) {
      distributor.lease(until);
    }
  }

  /** Grants a lease if a quorum confirms, after the request, that this controller is the leader. */
  private void onLeaseRequest(String requester, LeaseRequest request) {
    int term = member.term();
    if (!leads() || leaderTerm != term) {
      peers.send(requester, new Redirect(member.leader() == null || leads() ? null : member.leader().name()));
      return;
    }
    if (request.replica()) {
      feed.knows(requester, request);
    }
    member.confirm().whenComplete((confirmed, fault) -> {
      boolean isStillLeader = fault == null && leads() && member.term() == term;
      if (isStillLeader && leaderLeases.grants(requester, clock.getAsLong(), member.rollout())) {
        StateUpdate update = request.replica() ? updateFor(requester) : null;
        peers.send(requester, new LeaseGrant(request.askedAt(), confirmed.getCommitIndex(), update));
      }
    });
  }

  /** The replicated state at a member of the group. */
  private final class MemberState implements Follower {
    @Override
    public String leader() {
      return member.leader() == null ? null : member.leader().name();
    }

    @Override
    public long applied() {
      return member.applied();
    }

    @Override
    public PolicyState state() {
      return PolicyState.of(member.rollout());
    }

    @Override
    public boolean prepared() {
      return member.rollout().prepared().contains(name);
    }
  }
}
