package amberhoist.distribution.controller;

import amberhoist.distribution.PolicyState;
import amberhoist.distribution.Transfer;
import amberhoist.distribution.TransferCache;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Creates the updates that a leader sends to replicas, as deltas from the versions that each has. */
final class ReplicaFeed {
  private record HeldVersions(long inForce, long latest) {}

  private final Map<String, HeldVersions> replicas = new HashMap<>();
  private final TransferCache transfers = new TransferCache();

  /** Notes the versions that a replica names in its request. */
  void onRequest(String replica, LeaseRequest request) {
    replicas.put(replica, new HeldVersions(request.inForceVersion(), request.latestVersion()));
  }

  /** Returns the replicas that have requested a lease so far. */
  Set<String> replicas() {
    return replicas.keySet();
  }

  /** Returns the update of a replica to this state, which is that of the log at {@code index}. */
  StateUpdate updateFor(String replica, long index, PolicyState state, boolean prepared) {
    transfers.keepBase(state.inForce());
    HeldVersions heldVersions = replicas.get(replica);
    long inForce = state.inForce().version();
    boolean holdsInForce = inForce == heldVersions.inForce() || inForce == heldVersions.latest();
    boolean holdsPending = state.isPending(heldVersions.latest());
    Transfer toInForce = holdsInForce ? null : transfers.transferTo(state.inForce(), heldVersions.inForce());
    Transfer toPending = state.pending() == null || holdsPending ? null
        : transfers.transferTo(state.pending(), inForce);
    return new StateUpdate(index, inForce, state.latestVersion(), state.pending() != null, toInForce, toPending,
        prepared);
  }
}
