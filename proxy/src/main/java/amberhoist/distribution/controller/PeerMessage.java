package amberhoist.distribution.controller;

import amberhoist.distribution.Transfer;

/** The messages between controllers, beside those of the Raft library. Times are in microseconds. */
public sealed interface PeerMessage {
  /**
   * Requests a lease from the leader.
   *
   * @param askedAt time of this request by the sender's clock, returned with the grant
   * @param inForceVersion version in force that the sender has
   * @param latestVersion latest version that the sender knows
   * @param isReplica whether the sender is no member of the group, so that it gets the policy from the leader only
   */
  record LeaseRequest(long askedAt, long inForceVersion, long latestVersion, boolean isReplica)
      implements PeerMessage {}

  /**
   * Grants a lease.
   *
   * @param askedAt that of the request
   * @param requiredIndex the lease is valid once the log is known up to this index
   * @param update the state for a replica, null for a member
   */
  record LeaseGrant(long askedAt, long requiredIndex, StateUpdate update) implements PeerMessage {}

  /** The controller that was asked grants no leases; {@code leader} is the leader that it knows of, or null. */
  record Redirect(String leader) implements PeerMessage {}

  /** Each subscriber of the sender has prepared this version, or can no longer hold a lease. */
  record PreparedReport(long version) implements PeerMessage {}

  /**
   * The replicated state at a log index, for a replica.
   *
   * @param transferToInForce transfer from a document of the replica to the one in force, null if the replica has that
   * @param transferToPending transfer from the document in force to the pending one, null if none is pending or
   * the replica has it
   * @param hasPrepared whether, by the log, this replica has prepared the pending version
   */
  record StateUpdate(long index, long inForceVersion, long latestVersion, boolean isPending, Transfer transferToInForce,
      Transfer transferToPending, boolean hasPrepared) implements PeerMessage {}
}
