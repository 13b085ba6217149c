package amberhoist.distribution;

import amberhoist.rollout.Leases;

/**
 * Settings of the distribution. Distributors and subscribers of a fleet use the same. Times are in microseconds.
 *
 * @param fleet name of the fleet; requests from another fleet are rejected
 * @param renewPeriodMicros period at which a subscriber renews its lease
 * @param leaseMicros max. duration of a subscriber's lease
 * @param stagingMicros how long subscribers that still fetch a pending change get leases on the version before
 * @param admissionsPerSecond rate at which a distributor admits subscribers
 * @param maxSubscribers max. number of subscribers of a distributor
 * @param bytesPerSecond rate limit for what distributors send to a subscriber
 * @param maxChunkBytes max. bytes of a transfer in one message
 * @param minBackoffMicros delay after the first failure, doubled with each further one
 * @param maxBackoffMicros max. delay before the next attempt
 * @param returnPeriodMicros period at which a subscriber of another distributor retries the preferred one
 */
public record DistributionSettings(String fleet, long renewPeriodMicros, long leaseMicros, long stagingMicros,
    int admissionsPerSecond,
    int maxSubscribers, int bytesPerSecond, int maxChunkBytes, long minBackoffMicros, long maxBackoffMicros,
    long returnPeriodMicros) {
  /** Greatest difference between the rates of two clocks, as a fraction; the same as in {@link Leases}. */
  public static final double MAX_CLOCK_DRIFT = Leases.MAX_CLOCK_DRIFT;

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException for a value out of range, or a lease too short to be renewed in time
   */
  public DistributionSettings {
    if (fleet == null || fleet.isBlank()) {
      throw new IllegalArgumentException("distribution: the fleet must have a name");
    }
    if (renewPeriodMicros <= 0 || leaseMicros < 2 * renewPeriodMicros || stagingMicros < 0) {
      throw new IllegalArgumentException("distribution: a lease must last for two renewal periods or longer");
    }
    if (admissionsPerSecond < 1 || maxSubscribers < 1 || maxChunkBytes < 1 || bytesPerSecond < maxChunkBytes) {
      throw new IllegalArgumentException("distribution: limits must be positive, and a second must hold a chunk");
    }
    if (minBackoffMicros <= 0 || maxBackoffMicros < minBackoffMicros || returnPeriodMicros <= 0) {
      throw new IllegalArgumentException("distribution: the max. backoff must not be shorter than the first");
    }
  }

  /** Returns these settings with another rate of admissions. */
  public DistributionSettings withAdmissionsPerSecond(int perSecond) {
    return new DistributionSettings(fleet, renewPeriodMicros, leaseMicros, stagingMicros, perSecond, maxSubscribers,
        bytesPerSecond, maxChunkBytes, minBackoffMicros, maxBackoffMicros, returnPeriodMicros);
  }

  /** Returns the default settings for a fleet of this name. */
  public static DistributionSettings of(String fleet) {
    return new DistributionSettings(fleet, 500 * MICROS_PER_MILLI, 1_500 * MICROS_PER_MILLI, 4 * MICROS_PER_SECOND, 150,
        4_096, 12_000, 4_096, 200 * MICROS_PER_MILLI, 4 * MICROS_PER_SECOND, 30 * MICROS_PER_SECOND);
  }
}
