package amberhoist.distribution;

import amberhoist.rollout.Rollout;

/**
 * The state of the fleet's policy, as far as a controller knows it.
 *
 * @param inForce the document in force
 * @param latestVersion the latest version, be it in force, pending or withdrawn
 * @param pending the pending document, or null
 */
public record PolicyState(Document inForce, long latestVersion, Document pending) {
  /** The state before the first change. */
  public static final PolicyState EMPTY = new PolicyState(Document.EMPTY, 0, null);

  /** Returns the state that the replicated log has reached. */
  public static PolicyState of(Rollout rollout) {
    Document pending = rollout.isPending() ? Document.of(rollout.latestVersion(), rollout.latestDocument()) : null;
    return new PolicyState(Document.of(rollout.inForceVersion(), rollout.inForceDocument()), rollout.latestVersion(),
        pending);
  }

  /** Whether this version is pending. */
  public boolean isPending(long version) {
    return pending != null && pending.version() == version;
  }
}
