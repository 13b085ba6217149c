package amberhoist.distribution;

/** Counters of a distributor since its start. */
public final class DistributorCounters {
  long admitted;
  long deferred;
  long rejected;
  long granted;

  /** Returns the number of subscribers admitted. */
  public long admitted() {
    return admitted;
  }

  /** Returns the number of admissions deferred because of the rate limit. */
  public long deferred() {
    return deferred;
  }

  /** Returns the number of requests rejected for their fleet or subscriber name. */
  public long rejected() {
    return rejected;
  }

  /** Returns the number of leases granted. */
  public long granted() {
    return granted;
  }
}
