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
  /** Counts changes as in force that only one member has heard of. */
  APPLIES_UNDECIDED
}
