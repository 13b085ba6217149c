package amberhoist.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which a subscriber tries distributors: those of its own region first, then those of the other regions
 * in the order in which its region lists them; within a region by rendezvous hashing. Each subscriber computes it
 * alone. The subscribers of a failed distributor spread over all the others, whose own subscribers stay.
 */
public final class DistributorOrder {
  /** A distributor and its region. */
  public record Location(String distributor, String region) {}

  private DistributorOrder() {}

  /**
   * Returns the distributors for this subscriber, the preferred one first.
   *
   * @param regions the subscriber's region, then the others by preference; those not listed come last
   */
  public static List<String> of(String subscriber, List<String> regions, List<Location> distributors) {
    List<Location> order = new ArrayList<>(distributors);
    order.sort(Comparator.comparingInt((Location each) -> rank(regions, each.region()))
        .thenComparing(each -> score(subscriber, each.distributor()), Comparator.reverseOrder())
        .thenComparing(Location::distributor));
    return order.stream().map(Location::distributor).toList();
  }

  private static int rank(List<String> regions, String region) {
    int rank = regions.indexOf(region);
    return rank < 0 ? regions.size() : rank;
  }

  /** Returns a hash of both names, the same in every process. */
  private static long score(String subscriber, String distributor) {
    long hash = subscriber.hashCode() * 0x9E3779B97F4A7C15L + distributor.hashCode() * 0xC2B2AE3D27D4EB4FL;
    hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
    return hash ^ hash >>> 31;
  }
}
