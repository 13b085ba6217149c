package amberhoist.lab.scale;

/** A defect that is built in on purpose, to test the checker. */
public enum ScaleMutant {
  /** No defect. */
  NONE,
  /** A distributor grants leases that outlast its own. */
  LEASE_OUTLASTS_OWN,
  /** A distributor grants leases without holding one. */
  GRANTS_WITHOUT_LEASE,
  /** A distributor reports a version as prepared before its subscribers have prepared it. */
  REPORTS_BEFORE_ALL,
  /** A distributor still grants leases on a version after it has reported the next one as prepared. */
  GRANTS_AFTER_REPORT,
  /** A restarted distributor ignores leases and reports of its previous process. */
  FORGETS_EARLIER_LIFE,
  /** A distributor that lags behind offers its version, and a subscriber accepts any version that it is offered. */
  TAKES_OLDER_VERSION,
  /** A distributor sends a difference to another base than it states, and the subscriber checks no checksum. */
  WRONG_BASE,
  /** A distributor admits all subscribers at once. */
  ADMITS_WITHOUT_BOUND,
  /** A subscriber goes on to decide by a version after it has prepared the next one. */
  DECIDES_WHILE_PREPARED,
  /** A subscriber counts its lease from the arrival of the grant instead of its request. */
  COUNTS_FROM_GRANT
}
