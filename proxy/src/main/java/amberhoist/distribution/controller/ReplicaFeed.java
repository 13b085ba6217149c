package amberhoist.distribution.controller;

import amberhoist.distribution.PolicyState;
import amberhoist.distribution.Transfer;
import amberhoist.distribution.Transfers;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Creates the updates that a leader sends to replicas, as deltas from the versions that each has. */
final class ReplicaFeed {
  private record HeldVersions(long inForce, long latest) {}

  private final Map<String, HeldVersions> replicas = new HashMap<>();
  private final Transfers transfers = new Transfers();

  /** Notes the versions that a replica names in its request. */
  void knows(String replica, LeaseRequest request) {
    replicas.put(replica, new HeldVersions(request.inForce(), request.latest()));
  }

  /** Returns the replicas that have requested a lease so far. */
  Set<String> replicas() {
    return replicas.keySet();
  }

  /** Returns the update of a replica to this state, which is that of the log at {@code index}. */
  StateUpdate update(String replica, long index, PolicyState state, boolean prepared) {
    transfers.keep(state.inForce());
    HeldVersions heldVersions = replicas.get(replica);
    long inForce = state.inForce().version();
    boolean holdsInForce = inForce == heldVersions.inForce() || inForce == heldVersions.latest();
    boolean holdsPending = state.isPending(heldVersions.latest());
    Transfer toInForce = holdsInForce ? null : transfers.to(state.inForce(), heldVersions.inForce());
    Transfer toPending = state.pending() == null || holdsPending ? null : transfers.to(state.pending(), inForce);
    return new StateUpdate(index, inForce, state.latest(), state.pending() != null, toInForce, toPending, prepared);
  }
}
