package amberhoist.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Checks the versions that proxies decide by against the rules, and measures how long changes take. */
final class ScaleChecker {
  /** The rules that a run must not violate. */
  enum Rule {
    /** No two proxies decide by different versions at once, and none by an older version than another did before. */
    ONE_VERSION,
    /** A proxy's version never decreases while its process lives. */
    NO_RETURN,
    /** A proxy decides by the document that was requested for its version. */
    RIGHT_DOCUMENT,
    /** No distributor admits more subscribers in a second than its limit allows. */
    ADMISSION,
    /** Every change ends, and at the end of a run all proxies decide by the latest version in force. */
    ENDED
  }

  private static final long MAX_ACTIVATION_MICROS = 10_000_000; // required by the operators
  private static final long SECOND = 1_000_000;
  private static final long MAX_RECORDED_MICROS = 3_600 * SECOND;

  private record RequestedChange(long requestedAt, byte[] document) {}

  private record HeldVersion(int incarnation, long version) {}

  private final long startMicros;
  private final int admissionsPerSecond;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Long> requestedAtByChange = new HashMap<>();
  private final Map<Long, RequestedChange> changeByVersion = new HashMap<>();
  private final Map<ControlPlaneProxy, Long> versionInUse = new HashMap<>();
  private final Map<ControlPlaneProxy, HeldVersion> versionHeld = new HashMap<>();
  private final Map<String, TreeMap<Long, Integer>> admissions = new HashMap<>(); // by distributor, then by second
  private final Map<Long, Integer> lateCountByVersion = new LinkedHashMap<>(); // number of late proxies
  private final Histogram proxyDelays = new Histogram(MAX_RECORDED_MICROS, 3);
  private final Histogram changeDelays = new Histogram(MAX_RECORDED_MICROS, 3);
  private final Map<Long, Long> longestDelayByVersion = new HashMap<>();
  private long highestVersion = -1;
  private long versionInForce;

  ScaleChecker(long startMicros, int admissionsPerSecond) {
    this.startMicros = startMicros;
    this.admissionsPerSecond = admissionsPerSecond;
  }

  private void report(Rule rule, long atMicros, String description) {
    violations.add(rule + " at " + (atMicros - startMicros) / 1000 + " ms: " + description);
  }

  /** An operator requested a change at this time; later requests of the same change are ignored. */
  void onRequested(String id, long atMicros) {
    requestedAtByChange.putIfAbsent(id, atMicros);
  }

  /** A change became this version, with this document. */
  void onAccepted(long version, String id, byte[] document) {
    changeByVersion.putIfAbsent(version, new RequestedChange(requestedAtByChange.get(id), document));
  }

  /** A version came into force. */
  void onInForce(long version) {
    versionInForce = Math.max(versionInForce, version);
  }

  /** Checks a proxy whose version may have changed, and all proxies if it is the first to use a version. */
  void checkProxy(long now, ControlPlaneProxy proxy, List<ControlPlaneProxy> allProxies) {
    checkHeldVersion(now, proxy);
    long version = proxy.usableVersion();
    if (version < 0) {
      return;
    }
    if (version > highestVersion) {
      highestVersion = version;
      allProxies.forEach(each -> checkAgainstHighest(now, each));
    } else {
      checkAgainstHighest(now, proxy);
    }
    Long previous = versionInUse.get(proxy);
    if (previous == null || previous != version) {
      versionInUse.put(proxy, version);
      onVersionUsed(now, proxy, version);
    }
  }

  private void checkHeldVersion(long now, ControlPlaneProxy proxy) {
    HeldVersion next = new HeldVersion(proxy.incarnation(), proxy.heldVersion());
    HeldVersion previous = versionHeld.put(proxy, next);
    if (previous != null && previous.incarnation() == next.incarnation() && next.version() < previous.version()) {
      report(Rule.NO_RETURN, now, proxy.name() + " went back from version " + previous.version() + " to "
          + next.version());
    }
  }

  private void checkAgainstHighest(long now, ControlPlaneProxy proxy) {
    long version = proxy.usableVersion();
    if (version >= 0 && version < highestVersion) {
      report(Rule.ONE_VERSION, now, proxy.name() + " decides by version " + version + ", another by " + highestVersion);
    }
  }

  private void onVersionUsed(long now, ControlPlaneProxy proxy, long version) {
    RequestedChange change = changeByVersion.get(version);
    if (change == null) {
      return;
    }
    if (!Arrays.equals(change.document(), proxy.heldDocument())) {
      report(Rule.RIGHT_DOCUMENT, now, proxy.name() + " decides by another document than version " + version);
    }
    if (proxy.undisturbedSince() <= change.requestedAt()) {
      proxyDelays.recordValue(now - change.requestedAt());
      longestDelayByVersion.merge(version, now - change.requestedAt(), Math::max);
    }
  }

  /** Counts the reachable proxies that do not use a version though the time limit for it has expired. */
  void countLateProxies(long version, List<ControlPlaneProxy> allProxies) {
    RequestedChange change = changeByVersion.get(version);
    if (version > versionInForce) {
      return; // withdrawn or still pending; a pending one is reported at the end
    }
    int missing = 0;
    for (ControlPlaneProxy proxy : allProxies) {
      boolean reachable = proxy.undisturbedSince() <= change.requestedAt();
      missing += reachable && versionInUse.getOrDefault(proxy, -1L) < version ? 1 : 0;
    }
    if (missing > 0) {
      lateCountByVersion.put(version, missing);
    }
  }

  /** A distributor has admitted {@code count} subscribers since the last call. */
  void onAdmitted(long now, String distributor, int count) {
    admissions.computeIfAbsent(distributor, name -> new TreeMap<>()).merge(now / SECOND, count, Integer::sum);
  }

  /** Checks the end of a run, after a long time without faults. */
  void checkEnd(long now, List<ControlPlaneProxy> allProxies, boolean pending) {
    if (pending) {
      report(Rule.ENDED, now, "a change is still pending");
    }
    for (ControlPlaneProxy proxy : allProxies) {
      if (proxy.usableVersion() != versionInForce) {
        report(Rule.ENDED, now, proxy.name() + " decides by " + proxy.usableVersion() + ", version " + versionInForce
            + " is in force");
      }
    }
    admissions.forEach((distributor, seconds) -> seconds.forEach((second, count) -> {
      if (count > 2 * admissionsPerSecond) { // a full burst and a second's admissions
        report(Rule.ADMISSION, second * SECOND, distributor + " admitted " + count + " in a second");
      }
    }));
    longestDelayByVersion.values().forEach(changeDelays::recordValue);
  }

  List<String> violations() {
    return violations;
  }

  /** Number of reachable proxies that did not use a change in time, summed over all changes. */
  int lateProxyCount() {
    return lateCountByVersion.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Microseconds from the request of a change until a reachable proxy decides by it, over all changes and proxies. */
  Histogram proxyDelaysMicros() {
    return proxyDelays;
  }

  /** Microseconds from the request of a change until the last reachable proxy decides by it, over all changes. */
  Histogram changeDelaysMicros() {
    return changeDelays;
  }

  static long maxActivationMicros() {
    return MAX_ACTIVATION_MICROS;
  }
}
