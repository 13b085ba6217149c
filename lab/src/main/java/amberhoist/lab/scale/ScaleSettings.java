package amberhoist.lab.scale;

/**
 * The settings of a scale test.
 *
 * @param proxies number of control-plane-only proxies
 * @param controllers number of controllers
 * @param voters number of controllers that vote
 * @param regions number of regions, among which zones and controllers are distributed evenly
 * @param zones number of zones
 * @param changesPerDay rate of changes
 * @param burstChanges number of further changes, requested within one minute from the middle of the run
 * @param durationSeconds duration of changes and faults in virtual time; 30 s without faults follow
 * @param documentBytes size of the policy document
 * @param seed seed of all random numbers
 * @param faults the faults to inject
 * @param mutant the defect to build in
 */
public record ScaleSettings(int proxies, int controllers, int voters, int regions, int zones, int changesPerDay,
    int burstChanges, int durationSeconds, int documentBytes, long seed, ScaleFaults faults, ScaleMutant mutant) {
  private static final int MAX_PROXIES = 20_000;
  private static final double ADMITTED_FRACTION_PER_SECOND = 0.4; // of a distributor's fair share of the proxies
  private static final int MIN_ADMISSIONS_PER_SECOND = 4;

  /** Throws {@link IllegalArgumentException} if a setting is out of range. */
  public ScaleSettings {
    if (proxies < 1 || proxies > MAX_PROXIES) {
      throw new IllegalArgumentException("--proxies: must be between 1 and " + MAX_PROXIES + ", but is " + proxies);
    }
    if (controllers < 1 || voters < 1 || voters > controllers) {
      throw new IllegalArgumentException("--voters: must be between 1 and the number of controllers, but is " + voters);
    }
    if (regions < 1 || zones < regions) {
      throw new IllegalArgumentException("--zones: must be at least the number of regions, but is " + zones);
    }
    if (durationSeconds < 1 || changesPerDay < 0 || burstChanges < 0 || documentBytes < 0) {
      throw new IllegalArgumentException("--seconds must be at least 1, and other values must not be negative");
    }
  }

  /**
   * Number of subscribers that a distributor admits per second. It lets the subscribers of a failed distributor find a
   * place at others within a few seconds.
   */
  int admissionsPerSecond() {
    return Math.max(MIN_ADMISSIONS_PER_SECOND, (int) (ADMITTED_FRACTION_PER_SECOND * proxies / controllers));
  }
}
