package amberhoist.distribution;

import amberhoist.rollout.Rollout;

/**
 * The state of the fleet's policy, as far as a controller knows it.
 *
 * @param inForce the document in force
 * @param latest the latest version, be it in force, pending or withdrawn
 * @param pending the pending document, or null
 */
public record PolicyState(Document inForce, long latest, Document pending) {
  /** The state before the first change. */
  public static final PolicyState EMPTY = new PolicyState(Document.NONE, 0, null);

  /** Returns the state that the replicated log has reached. */
  public static PolicyState of(Rollout rollout) {
    Document pending = rollout.pending() ? Document.of(rollout.latest(), rollout.latestDocument()) : null;
    return new PolicyState(Document.of(rollout.inForce(), rollout.document()), rollout.latest(), pending);
  }

  /** Whether this version is pending. */
  public boolean isPending(long version) {
    return pending != null && pending.version() == version;
  }
}
