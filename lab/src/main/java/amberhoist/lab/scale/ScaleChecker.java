package amberhoist.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Judges what proxies decide by, and measures how long a change takes; it knows nothing of how they came to it. */
final class ScaleChecker {
  /** The rules. */
  enum Rule {
    /** No two proxies decide by two versions at one moment, nor one by an older version than another did before. */
    ONE_VERSION,
    /** A proxy's version never goes back within its life. */
    NO_RETURN,
    /** A proxy decides by the document that was ordered under its version. */
    RIGHT_DOCUMENT,
    /** No distributor admits more in a second than it is set to. */
    ADMISSION,
    /** Each change ends, and in the end all proxies decide by the latest version in force. */
    ENDED
  }

  private static final long IN_FORCE_WITHIN = 10_000_000; // micros, as the operators ask
  private static final long SECOND = 1_000_000;
  private static final long LONGEST_WAIT = 3_600 * SECOND;

  private record Order(long at, byte[] document) {}

  private record Held(int life, long version) {}

  private final long start;
  private final int admissionsPerSecond;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Long> orderedAt = new HashMap<>(); // by the change's id
  private final Map<Long, Order> orders = new HashMap<>(); // by version, of those that took hold
  private final Map<HollowProxy, Long> decidedBy = new HashMap<>();
  private final Map<HollowProxy, Held> heldBy = new HashMap<>();
  private final Map<String, TreeMap<Long, Integer>> admitted = new HashMap<>(); // by distributor, then second
  private final Map<Long, Integer> late = new LinkedHashMap<>(); // by version: proxies that missed its time
  private final Histogram waits = new Histogram(LONGEST_WAIT, 3);
  private final Histogram changeWaits = new Histogram(LONGEST_WAIT, 3);
  private final Map<Long, Long> lastWait = new HashMap<>(); // by version
  private long highest = -1;
  private long inForce;

  ScaleChecker(long start, int admissionsPerSecond) {
    this.start = start;
    this.admissionsPerSecond = admissionsPerSecond;
  }

  private void broken(Rule rule, long at, String what) {
    violations.add(rule + " at " + (at - start) / 1000 + " ms: " + what);
  }

  /** An operator ordered the change of this id then. */
  void ordered(String id, long at) {
    orderedAt.putIfAbsent(id, at);
  }

  /** The change of this id took hold as this version, with this document. */
  void began(long version, String id, byte[] document) {
    orders.putIfAbsent(version, new Order(orderedAt.get(id), document));
  }

  /** A version came in force. */
  void inForce(long version) {
    inForce = Math.max(inForce, version);
  }

  /** The proxy may decide by another version than before; {@code all} are looked at when the version is a new one. */
  void observe(long now, HollowProxy proxy, List<HollowProxy> all) {
    held(now, proxy);
    long version = proxy.decides();
    if (version < 0) {
      return;
    }
    if (version > highest) {
      highest = version;
      all.forEach(each -> compare(now, each));
    } else {
      compare(now, proxy);
    }
    Long before = decidedBy.get(proxy);
    if (before == null || before != version) {
      decidedBy.put(proxy, version);
      took(now, proxy, version);
    }
  }

  private void held(long now, HollowProxy proxy) {
    Held next = new Held(proxy.life(), proxy.holds());
    Held before = heldBy.put(proxy, next);
    if (before != null && before.life() == next.life() && next.version() < before.version()) {
      broken(Rule.NO_RETURN, now, proxy.name() + " went back from version " + before.version() + " to "
          + next.version());
    }
  }

  private void compare(long now, HollowProxy proxy) {
    long version = proxy.decides();
    if (version >= 0 && version < highest) {
      broken(Rule.ONE_VERSION, now, proxy.name() + " decides by version " + version + ", another by " + highest);
    }
  }

  private void took(long now, HollowProxy proxy, long version) {
    Order order = orders.get(version);
    if (order == null) {
      return;
    }
    if (!Arrays.equals(order.document(), proxy.document())) {
      broken(Rule.RIGHT_DOCUMENT, now, proxy.name() + " decides by another document than version " + version);
    }
    if (proxy.undisturbedSince() <= order.at()) {
      waits.recordValue(now - order.at());
      lastWait.merge(version, now - order.at(), Math::max);
    }
  }

  /** The time is over in which this version had to take hold at all that could be reached. */
  void due(long version, List<HollowProxy> all) {
    Order order = orders.get(version);
    if (version > inForce) {
      return; // withdrawn, or still pending: told apart at the end
    }
    int missing = 0;
    for (HollowProxy proxy : all) {
      boolean reached = proxy.undisturbedSince() <= order.at();
      missing += reached && decidedBy.getOrDefault(proxy, -1L) < version ? 1 : 0;
    }
    if (missing > 0) {
      late.put(version, missing);
    }
  }

  /** A distributor admitted one more. */
  void admitted(long now, String distributor, int more) {
    admitted.computeIfAbsent(distributor, name -> new TreeMap<>()).merge(now / SECOND, more, Integer::sum);
  }

  /** All has been whole for long. */
  void ends(long now, List<HollowProxy> all, boolean pending) {
    if (pending) {
      broken(Rule.ENDED, now, "a change is still pending");
    }
    for (HollowProxy proxy : all) {
      if (proxy.decides() != inForce) {
        broken(Rule.ENDED, now, proxy.name() + " decides by " + proxy.decides() + ", version " + inForce
            + " is in force");
      }
    }
    admitted.forEach((distributor, seconds) -> seconds.forEach((second, count) -> {
      if (count > 2 * admissionsPerSecond) { // a second that starts with a full burst
        broken(Rule.ADMISSION, second * SECOND, distributor + " admitted " + count + " in a second");
      }
    }));
    lastWait.values().forEach(changeWaits::recordValue);
  }

  List<String> violations() {
    return violations;
  }

  /** Proxies that could be reached and did not decide by a change in time, over all changes. */
  int notInForce() {
    return late.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Micros from the order until a proxy decides by it, over all changes and proxies that could be reached. */
  Histogram waits() {
    return waits;
  }

  /** The same until the last of them does, over all changes. */
  Histogram changeWaits() {
    return changeWaits;
  }

  static long inForceWithin() {
    return IN_FORCE_WITHIN;
  }
}
