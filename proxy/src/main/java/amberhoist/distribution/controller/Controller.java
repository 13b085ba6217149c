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
 * replica that its leader keeps up to date. It renews the distributor's lease with the leader and reports what all of
 * its subscribers have prepared; while it leads it grants leases and concludes changes. All calls belong to one thread.
 */
public final class Controller {
  private static final long RENEW = 500_000;
  private static final long EXPIRE = 1_000_000;
  private static final long REPORT_AGAIN = 300_000;

  /** Carries messages to other controllers, and to this one. */
  public interface Peers {
    /** Sends this to the controller of that name; it may get lost. */
    void send(String controller, PeerMessage message);
  }

  private final String name;
  private final List<String> controllers;
  private final GroupMember member; // null for a replica
  private final Replica replica; // null for a member
  private final Follower follower;
  private final Distributor distributor;
  private final Peers peers;
  private final LongSupplier clock;
  private final Leases.Holder holder = new Leases.Holder();
  private final ReplicaFeed feed = new ReplicaFeed();
  private Leases.Granter granter;
  private int granterTerm = -1;
  private long fedLatest = -1;
  private boolean fedPending;
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
    follower = member == null ? replica : new MemberFollower();
  }

  /**
   * A controller that is a member of the group, and starts now.
   *
   * @param controllers the names of all controllers, this one among them
   * @param clock its own monotonic clock, in microseconds
   */
  public static Controller member(Member self, List<String> controllers, GroupMember member, Distributor distributor,
      Peers peers, LongSupplier clock) {
    return new Controller(self.name(), controllers, member, null, distributor, peers, clock);
  }

  /** A controller that is no member, and learns from the leader among these voters. */
  public static Controller replica(String name, List<String> controllers, List<String> voters, Distributor distributor,
      Peers peers, LongSupplier clock) {
    Replica replica = new Replica(voters, name.hashCode());
    return new Controller(name, controllers, null, replica, distributor, peers, clock);
  }

  /** The log has led on: the distributor learns of it before any lease that requires it, and so do replicas. */
  public void learned() {
    PolicyState state = follower.state();
    distributor.policy(clock.getAsLong(), state);
    hold();
    boolean changed = fedLatest != state.latest() || fedPending != (state.pending() != null);
    if (changed && leads()) {
      fedLatest = state.latest();
      fedPending = state.pending() != null;
      feed.replicas().forEach(each -> peers.send(each, update(each)));
    }
  }

  private StateUpdate update(String asker) {
    boolean prepared = member.rollout().prepared().contains(asker);
    return feed.update(asker, member.applied(), follower.state(), prepared);
  }

  /** Does what is due; to be called every few tens of milliseconds. */
  public void turn() {
    long now = clock.getAsLong();
    if (leads()) {
      lead(now);
    }
    if (follower.leader() != null) {
      follow(now);
    }
    if (now >= expireAt) {
      expireAt = now + EXPIRE;
      distributor.expire(now);
    }
  }

  /** Whether this controller leads the group, as far as it knows. */
  public boolean leads() {
    return member != null && member.leader() != null && member.leader().name().equals(name);
  }

  /** What this controller knows of the policy. */
  public PolicyState state() {
    return follower.state();
  }

  private void follow(long now) {
    boolean reports = now >= reportAt && follower.state().pending() != null && !follower.prepared();
    if (reports && distributor.prepared(now)) {
      reportAt = now + REPORT_AGAIN;
      peers.send(follower.leader(), new PreparedReport(follower.state().latest()));
    }
    if (now >= renewAt) {
      renewAt = now + RENEW;
      PolicyState state = follower.state();
      LeaseRequest request = replica != null ? replica.request(now)
          : new LeaseRequest(now, state.inForce().version(), state.latest(), false);
      peers.send(follower.leader(), request);
    }
  }

  private void lead(long now) {
    if (granterTerm != member.term()) {
      granterTerm = member.term();
      granter = new Leases.Granter(now);
    }
    byte[] command = granter.conclude(now, controllers, member.rollout());
    if (command != null) {
      member.command(command);
    }
  }

  /** Another controller has sent this. */
  public void receive(String from, PeerMessage message) {
    if (message instanceof LeaseRequest request && member != null) {
      grant(from, request);
    } else if (message instanceof LeaseGrant grant) {
      granted(from, grant);
    } else if (message instanceof StateUpdate update && replica != null) {
      learn(update);
    } else if (message instanceof Redirect redirect && replica != null) {
      replica.redirected(redirect.leader());
      renewAt = redirect.leader() == null ? renewAt : Long.MIN_VALUE;
    } else if (message instanceof PreparedReport report && leads()
        && !member.rollout().prepared().contains(from)) {
      member.command(Rollout.prepared(from, report.version()));
    }
  }

  private void granted(String from, LeaseGrant grant) {
    if (replica != null) {
      replica.answered(from);
      if (grant.update() != null) {
        learn(grant.update());
      }
    }
    holder.granted(grant.askedAt(), grant.index());
    hold();
  }

  private void learn(StateUpdate update) {
    if (replica.take(update)) {
      learned();
    }
  }

  /** Takes up the lease once the log is known so far. */
  private void hold() {
    long until = holder.until(follower.applied());
    if (until > clock.getAsLong()) {
      distributor.lease(until);
    }
  }

  /** Grants a lease where a majority confirms, after the request, that this controller leads. */
  private void grant(String asker, LeaseRequest request) {
    int term = member.term();
    if (!leads() || granterTerm != term) {
      peers.send(asker, new Redirect(member.leader() == null || leads() ? null : member.leader().name()));
      return;
    }
    if (request.replica()) {
      feed.knows(asker, request);
    }
    member.confirm().whenComplete((confirmed, fault) -> {
      boolean stillLeads = fault == null && leads() && member.term() == term;
      if (stillLeads && granter.grants(asker, clock.getAsLong(), member.rollout())) {
        StateUpdate update = request.replica() ? update(asker) : null;
        peers.send(asker, new LeaseGrant(request.askedAt(), confirmed.getCommitIndex(), update));
      }
    });
  }

  /** A member learns of the log by itself. */
  private final class MemberFollower implements Follower {
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
