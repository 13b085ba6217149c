package amberhoist.distribution.controller;

import amberhoist.distribution.PolicyState;

/** The replicated state, as a controller knows it. */
interface ReplicatedState {
  /** Returns the controller to request a lease from, or null while none is known. */
  String leader();

  /** Returns the log index up to which the state is known. */
  long appliedIndex();

  /** Returns the state of the policy at that index. */
  PolicyState state();

  /** Whether, by the log, this controller has prepared the pending version. */
  boolean hasPrepared();
}
