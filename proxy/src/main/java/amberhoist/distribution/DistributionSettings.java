package amberhoist.distribution;

import amberhoist.rollout.Leases;

/**
 * Figures of the distribution; the same at distributors and subscribers of a fleet. Times are in microseconds.
 *
 * @param fleet name of the fleet; callers of another are rejected
 * @param renewEvery time between two renewals of a subscriber's lease
 * @param lease longest lease of a subscriber
 * @param stage while a change is pending, leases on the version before are granted for so long to those that fetch it
 * @param admissionsPerSecond subscribers that a distributor admits in a second
 * @param mostSubscribers subscribers that a distributor serves at once
 * @param bytesPerSecond budget of a subscriber for what distributors send to it
 * @param chunk most bytes of a document in one message
 * @param backoffFirst wait after the first failure, doubled with each further one
 * @param backoffMost longest wait between two tries
 * @param returnEvery time between two looks whether the preferred distributor is back
 */
public record DistributionSettings(String fleet, long renewEvery, long lease, long stage, int admissionsPerSecond,
    int mostSubscribers, int bytesPerSecond, int chunk, long backoffFirst, long backoffMost, long returnEvery) {
  /** Clocks differ in rate by this part at most, as in {@link Leases}. */
  public static final double DRIFT = Leases.DRIFT;

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;

  /** Refuses figures by which no lease could be kept. */
  public DistributionSettings {
    if (fleet == null || fleet.isBlank()) {
      throw new IllegalArgumentException("distribution: a fleet needs a name");
    }
    if (renewEvery <= 0 || lease < 2 * renewEvery || stage < 0) {
      throw new IllegalArgumentException("distribution: a lease must last for two renewals at least");
    }
    if (admissionsPerSecond < 1 || mostSubscribers < 1 || chunk < 1 || bytesPerSecond < chunk) {
      throw new IllegalArgumentException("distribution: limits must be 1 or more, and a second must hold a chunk");
    }
    if (backoffFirst <= 0 || backoffMost < backoffFirst || returnEvery <= 0) {
      throw new IllegalArgumentException("distribution: the longest wait must not be shorter than the first");
    }
  }

  /** The same, but for the subscribers that a distributor admits in a second. */
  public DistributionSettings withAdmissions(int perSecond) {
    return new DistributionSettings(fleet, renewEvery, lease, stage, perSecond, mostSubscribers, bytesPerSecond, chunk,
        backoffFirst, backoffMost, returnEvery);
  }

  /** The defaults for a fleet of this name. */
  public static DistributionSettings of(String fleet) {
    return new DistributionSettings(fleet, 500 * MILLI, 1_500 * MILLI, 4 * SECOND, 150, 4_096, 12_000, 4_096,
        200 * MILLI, 4 * SECOND, 30 * SECOND);
  }
}
