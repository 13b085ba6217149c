package amberhoist.lab.group;

/** A defect that is built into members on purpose, to test the checker. */
public enum GroupMutant {
  /** No defect. */
  NONE,
  /** Loses its vote and term in a crash: they are never written to the log. */
  FORGETS_VOTES,
  /** Acknowledges entries before they are forced to disk. */
  ACKNOWLEDGES_UNFORCED,
  /** Restarts with an empty log under its old name. */
  FORGETS_ON_RESTART,
  /** Restarts with the log of an earlier restart. */
  TAKES_OLD_COPY,
  /** Treats a change that was sent again as a new one. */
  TAKES_TWICE,
  /** Accepts changes that are based on an older version. */
  IGNORES_BASE,
  /** Acknowledges a change before the group has decided it. */
  ANSWERS_UNDECIDED,
  /** Decides by a version without a lease. */
  SKIPS_LEASE,
  /** Counts a lease from its arrival instead of its request, and applies no other limit to it. */
  STRETCHES_LEASE,
  /** Decides by the previous version while a change is pending. */
  DECIDES_WHILE_PENDING,
  /** Uses a lease before it has applied the log up to the lease's index. */
  IGNORES_INDEX,
  /** Puts a change into force without waiting for members that have not prepared it. */
  CONCLUDES_EARLY,
  /** A new leader does not wait for leases that its predecessor may have granted. */
  FORGETS_LEASES
}
