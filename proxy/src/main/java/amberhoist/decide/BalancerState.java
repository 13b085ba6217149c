package amberhoist.decide;

import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import java.util.HashMap;
import java.util.Map;

/**
 * The state that {@link Policy} keeps about servers, requests and groups. These types hold records and counts and make
 * no decisions. Clock times are in microseconds.
 */
final class BalancerState {
  private static final long NEVER = Long.MIN_VALUE / 2; // the clock may start at 0

  private BalancerState() {}

  /** What this balancer knows about a server. */
  static final class TrackedServer {
    Server info;
    boolean inRotation;
    double effectiveCapacity; // less than the full capacity while cold
    double groupRank; // for the group whose servers are being ranked
    int connections; // those being set up included
    double load; // microseconds of work per second
    final Map<ConnectionGroup, Integer> groupConnections = new HashMap<>();
    int setupsInFlight;
    int consecutiveFailures;
    long ejectedUntil;
    boolean dropsNewConnections; // has dropped a newly established connection and kept none since
    long probeKeptAt = Long.MAX_VALUE; // when the latest probe connection counts as kept
    double queueingDelayMicros;
    long delayReportedAt;
    long firstConnectionAt; // when it last got a connection while it had none
    double delayGrowth; // seconds of delay per second: demand in excess of what the server can do
    long offloadedAt;
    boolean isCold;
    double coldExtraConnections; // beyond the fair share while cold
    double loadLimit = Double.MAX_VALUE;
    long resumeProbeAt = Long.MAX_VALUE; // when a resumed server is due for its probe
    double warmUpBudget; // setups
    long warmUpBudgetAt;
    double utilization; // demand over capacity in the latest load report
    long reportedAt = NEVER;
    long reportRequestedAt = NEVER;

    /** Whether the latest load report is younger than {@code maxAgeMicros}. */
    boolean hasRecentReport(long now, long maxAgeMicros) {
      return now - reportedAt < maxAgeMicros;
    }

    /** Adds {@code count} connections of a group; returns by how much the number of groups on this server changed. */
    int addConnections(ConnectionGroup group, int count) {
      int before = groupConnections.size();
      if (groupConnections.merge(group, count, Integer::sum) == 0) {
        groupConnections.remove(group);
      }
      return groupConnections.size() - before;
    }

    boolean isProbing(long now) {
      return dropsNewConnections && probeKeptAt < Long.MAX_VALUE && now < probeKeptAt;
    }
  }

  /** The affinity entry of a client. */
  record AffinityEntry(TrackedServer server, long lastUsed) {}

  /** A group of connections, with its recent requests and the offset of its latest request. */
  static final class ConnectionGroup {
    double recentRequests;
    private double offset;

    ConnectionGroup(double offset) {
      this.offset = offset;
    }

    /** Counts one more request and returns its offset, from 0 to 1, one step after the previous one. */
    double countRequest(double step) {
      recentRequests++;
      offset = (offset + step) % 1;
      return offset;
    }
  }

  /** Hashes two names to a number above 0 and below 1 that is the same at every balancer and evenly distributed. */
  static double hashToFraction(String first, String second) {
    long hash = first.hashCode() * 0x9E3779B97F4A7C15L;
    hash ^= second.hashCode() * 0xC2B2AE3D27D4EB4FL;
    hash = (hash ^ hash >>> 29) * 0xBF58476D1CE4E5B9L;
    return Math.max(((hash ^ hash >>> 32) >>> 11) / (double) (1L << 53), 1e-15);
  }

  /** A rate of events per microsecond, averaged with exponential decay. */
  static final class DecayingRate {
    private final double memoryMicros;
    private double perMicro;
    private long updatedAt;

    DecayingRate(double memoryMicros) {
      this.memoryMicros = memoryMicros;
    }

    double valueAt(long now) {
      perMicro *= Math.exp((updatedAt - now) / memoryMicros);
      updatedAt = now;
      return perMicro;
    }

    void add(long now, double count) {
      perMicro = valueAt(now) + count / memoryMicros;
    }
  }

  /** The typical load of the connections of a class, averaged over the loads reported so far. */
  static final class TypicalLoad {
    double mean; // microseconds of work per second
    int samples;

    void add(double load, int maxSamples) {
      samples++;
      mean += (load - mean) / Math.min(samples, maxSamples);
    }
  }

  /** A request from its arrival to the end of its connection. */
  static final class TrackedRequest {
    Request request;
    RequestClass requestClass;
    ConnectionGroup group;
    double load; // microseconds of work per second
    double offset; // among the preferred servers of the group
    boolean loadKnown; // from a load report or from the request's hint
    long arrivedAt;
    long establishedAt;
    int attempts;
    int unendedAttempts; // in flight or established
    boolean established;
    boolean answered;
    boolean ignoresAffinity;
    boolean moved;
    boolean outsidePreferred; // not on a preferred server of its group
    boolean mayHaveRun;
    long mayHaveRunAt;
    Server mayHaveRunOn;
    TrackedServer server;
    TrackedServer failedServer;
    int errors;
    TrackedServer blamedServer; // got a failure recorded for this request's first error
  }
}
