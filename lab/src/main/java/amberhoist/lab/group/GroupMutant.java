package amberhoist.lab.group;

/** A defect built into members on purpose, to prove the checker. */
public enum GroupMutant {
  NONE,
  /** Loses its vote and term at a crash: the log's frames of them are never forced. */
  FORGETS_VOTES,
  /** Acknowledges entries before they are forced. */
  ACKNOWLEDGES_UNFORCED,
  /** Starts again with nothing of its log but its name. */
  FORGETS_ON_RESTART,
  /** Starts again with the log as it was some restarts ago. */
  TAKES_OLD_COPY,
  /** Takes a change that was sent again for a new one. */
  TAKES_TWICE,
  /** Takes changes made from an older version. */
  IGNORES_BASE,
  /** Answers that a change took hold before that is decided. */
  ANSWERS_UNDECIDED,
  /** Decides by a version without a lease. */
  SKIPS_LEASE,
  /** Counts a lease from when it came, not from when it was asked for, and knows no other limit. */
  STRETCHES_LEASE,
  /** Decides by the version before while a change is under way. */
  DECIDES_WHILE_PENDING,
  /** Holds a lease without knowing the log so far. */
  IGNORES_INDEX,
  /** Puts a change in force without waiting for who has not prepared it. */
  CONCLUDES_EARLY,
  /** A new leader waits for no lease that the one before may have granted. */
  FORGETS_LEASES
}
