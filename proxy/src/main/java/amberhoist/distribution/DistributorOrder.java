package amberhoist.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which a subscriber asks distributors: those of its own region first, then those of the other regions in
 * the order in which its region lists its neighbours; within a region by rendezvous hashing. Each subscriber can work
 * it out alone, a lost distributor's subscribers spread over all that are left, and the others' stay where they are.
 */
public final class DistributorOrder {
  /** A distributor and the region that it is in. */
  public record Location(String distributor, String region) {}

  private DistributorOrder() {}

  /** The distributors for this subscriber, preferred ones first; {@code regions} are its own and then others. */
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

  /** A hash of both names that is the same everywhere. */
  private static long score(String subscriber, String distributor) {
    long mixed = subscriber.hashCode() * 0x9E3779B97F4A7C15L + distributor.hashCode() * 0xC2B2AE3D27D4EB4FL;
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }
}
