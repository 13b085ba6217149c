package amberhoist.decide;

import java.util.List;
import java.util.Map;

/**
 * The decisions of one balancer for long-lived connections. The owner reports events through this interface and
 * receives actions through the {@link Actions} that it passes to {@link #start}.
 *
 * <p>Time: every event carries the clock time in microseconds, which never runs backwards during the life of a
 * balancer. Durations are in microseconds too. The balancer reads no clock, and its only source of randomness is
 * the seed.
 *
 * <p>Threading: an instance is confined to one thread at a time and shares no state with other instances. Actions
 * are called synchronously from within the event that causes them, in the order in which they take effect. An
 * implementation of {@link Actions} must not call back into the balancer.
 *
 * <p>Ordering: {@link #start} comes once, before any other event ({@link IllegalStateException} otherwise).
 * Requests may arrive before the first server list; they are queued. Events that name a finished or unknown request
 * or server are ignored, because in a proxy they can cross with an action that is already on its way.
 */
public interface Balancer {

  /** Receives the balancer's decisions. Each call takes effect at the time of the event that caused it. */
  interface Actions {
    /**
     * Starts the request's next attempt on a server. Attempts are numbered 0, 1, 2, ... in order. An attempt that has
     * not been established within {@code timeoutMicros}, or by the deadline if that is earlier, must be reported as
     * {@link Outcome#TIMED_OUT}.
     */
    void startAttempt(long requestId, String serverName, long timeoutMicros);

    /**
     * Final answer: the request is rejected, and retrying it is safe. A {@code retryAfterMicros} of 0 means that no
     * retry-after is given.
     */
    void reject(long requestId, long retryAfterMicros);

    /** Final answer: the request failed. Whether it ran on a server is unknown. */
    void fail(long requestId);

    /** Ends an open connection gracefully so that its client reconnects. {@link #onAttemptEnded} still follows. */
    void move(long requestId);

    /** Subscribes to changes of the server list; answered by {@link #onServerList}. */
    void subscribe();

    /** Requests a server's load report; answered by {@link #onLoadReport}, or not at all if no report is available. */
    void requestLoadReport(String serverName);

    /** Schedules a call of {@link Balancer#onTimer} with this token, at the given clock time or shortly after it. */
    void scheduleTimer(long at, long token);

    /** Writes a line to the operator's log. */
    void log(String message);
  }

  /** How often the effect of a request may occur. */
  enum Effect {
    /** The request may be repeated freely. */
    IDEMPOTENT,
    /** A group of servers drops repeats of the request for a limited time. */
    DEDUPLICATED,
    /** The request must not run twice. */
    NON_IDEMPOTENT
  }

  /** Which servers drop repeats of a {@link Effect#DEDUPLICATED} request. */
  enum DedupScope {
    ALL,
    ZONE,
    CELL
  }

  /** How an attempt ended. */
  enum Outcome {
    SERVED(false),
    ERROR(false),
    /** The server rejected the attempt without processing it. */
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    /** The attempt was dropped before it was sent. */
    MOOT(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean neverRan;

    /** Whether a setup with this outcome counts as failed: it was neither served, nor cancelled, nor left unsent. */
    boolean isSetupFailure() {
      return this != SERVED && this != CANCELLED && this != MOOT;
    }

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /** The content of a server list event. */
  enum ListUpdateKind {
    /** Only the servers that changed. */
    CHANGES,
    /** All servers; servers that are missing from the list are gone. */
    FULL,
    /** All servers from a local copy of the list, which may be old. */
    STALE,
    /** A call to the list service failed or the subscription broke; the previous list remains in use. */
    FAILED
  }

  /** Whether a server accepts new connections. */
  enum ServerState {
    READY,
    DRAINING,
    GONE
  }

  /**
   * One server of the list.
   *
   * @param name opaque name, the same at every balancer
   * @param zone the zone in which the server runs
   * @param machineType the machine type
   * @param cell the set of servers that recognize each other's request keys
   * @param relativeCapacity capacity relative to other servers; a value that is not positive means unknown and
   *     is stored as 1
   * @param startedAt clock time of the latest start, 0 if that is long ago
   */
  record Server(String name, String zone, String machineType, int cell, ServerState state, double relativeCapacity,
      long startedAt) {
    /** Throws {@link IllegalArgumentException} if the name or state is missing or the start time is negative. */
    public Server {
      if (name == null || name.isEmpty() || state == null || startedAt < 0) {
        throw new IllegalArgumentException("a server requires a name, a state and a start time that is not negative");
      }
      relativeCapacity = relativeCapacity > 0 ? relativeCapacity : 1;
    }

    /** Returns a copy of this server with another state and start time. */
    Server withState(ServerState newState, long newStartedAt) {
      return new Server(name, zone, machineType, cell, newState, relativeCapacity, newStartedAt);
    }
  }

  /**
   * One request for a connection. Strings are null if absent.
   *
   * @param className name of the request class
   * @param clientKey key of the client, for affinity
   * @param deadline clock time after which the client no longer waits
   * @param loadHint expected load in microseconds of work per second, 0 if unknown
   * @param groupName name of the group; connections of one group share work on a server
   * @param isRetry whether the client has sent this request before
   * @param isReturning whether the client reconnects after an interruption or a move
   */
  record Request(long id, String className, String tenant, String clientKey, long deadline, double loadHint,
      String groupName, boolean isRetry, boolean isReturning) {}

  /**
   * A request class.
   *
   * @param setupTargetMicros target for the setup time of a connection, in microseconds
   * @param dedupWindowMicros for {@link Effect#DEDUPLICATED}: time after the first attempt during which repeats are
   *     dropped, in microseconds
   * @param value value of one request
   * @param messageTargetMicros target for the time of a message on an open connection, in microseconds; 0 if not
   *     specified
   */
  record RequestClass(String name, Effect effect, DedupScope dedupScope, long setupTargetMicros, long dedupWindowMicros,
      double value, double messageTargetMicros) {}

  /**
   * The value of connections, which decides between them when the capacity does not suffice for all.
   *
   * @param growsWithLoad whether the value grows with a connection's load; otherwise all connections of a class
   *     have the same value
   * @param overShareFactor factor from 0 to 1 for the value of connections beyond their tenant's share
   * @param tenantShares open connections that each tenant's share covers, summed over all balancers; a tenant that
   *     is absent has no limit
   */
  record ConnectionValue(boolean growsWithLoad, double overShareFactor, Map<String, Double> tenantShares) {
    /** Equal value for all connections of a class, and no tenant shares. */
    public static final ConnectionValue DEFAULT = new ConnectionValue(false, 1, Map.of());

    /** Throws {@link IllegalArgumentException} if the factor is outside 0 to 1. */
    public ConnectionValue {
      if (!(overShareFactor >= 0 && overShareFactor <= 1)) {
        throw new IllegalArgumentException("worth beyond a share must be from 0 to 1");
      }
      tenantShares = Map.copyOf(tenantShares);
    }
  }

  /**
   * The settings of a balancer. Times are in microseconds.
   *
   * @param zone the balancer's own zone
   * @param balancerIndex the balancer's index among all balancers, from 0
   * @param balancerCount number of balancers
   * @param requestClasses the request classes
   * @param requiresSubscription whether list changes arrive only after {@link Actions#subscribe}
   * @param maxListAgeMicros age up to which the list counts as known without a subscription
   * @param maxAttempts maximum number of attempts of one request; at most one of them is in flight at a time
   * @param maxRetryAfterMicros maximum retry-after that clients honour, 0 if they honour none
   * @param crossZoneCost cost of sending a request to another zone, as a fraction of the request's value
   * @param moveCost cost of moving a connection, in the same unit
   * @param coldCapacityFraction fraction of its capacity that a server has at least when it starts
   * @param warmUpMicros time after its start at which a server is warm
   * @param overloadFactor multiple of its present capacity beyond which load makes a cold server fail
   * @param overloadWindowMicros time for which such load must last to make the server fail
   * @param connectionValue the value of connections
   * @param offersLoadReports whether servers can be asked for load reports
   */
  record Settings(String zone, int balancerIndex, int balancerCount, List<RequestClass> requestClasses,
      boolean requiresSubscription, long maxListAgeMicros, int maxAttempts, long maxRetryAfterMicros,
      double crossZoneCost, double moveCost, double coldCapacityFraction, long warmUpMicros, double overloadFactor,
      long overloadWindowMicros, ConnectionValue connectionValue, boolean offersLoadReports) {
    /** Throws {@link IllegalArgumentException} if a value is missing or out of range, such as a negative time. */
    public Settings {
      if (zone == null || requestClasses == null || balancerCount < 1 || maxAttempts < 1) {
        throw new IllegalArgumentException(
            "settings require a zone, request classes, at least one balancer and at least one attempt");
      }
      if (connectionValue == null) {
        throw new IllegalArgumentException("settings require the value of connections");
      }
      if (maxListAgeMicros < 0 || maxRetryAfterMicros < 0 || warmUpMicros < 0 || overloadWindowMicros < 0) {
        throw new IllegalArgumentException("times must not be negative");
      }
      if (!(coldCapacityFraction >= 0 && coldCapacityFraction <= 1) || !(overloadFactor > 0) || !(crossZoneCost >= 0)
          || !(moveCost >= 0)) {
        throw new IllegalArgumentException(
            "the cold share must be from 0 to 1, the overload factor positive, and prices not negative");
      }
    }
  }

  /** Starts the balancer. */
  void start(long now, Settings settings, long seed, Actions actions);

  /** Replaces the settings. Requests that arrived earlier keep the targets of their class. */
  void configure(long now, Settings settings);

  /** The server list was updated. Updates arrive in order, and none is skipped. */
  void onServerList(long now, ListUpdateKind kind, List<Server> servers);

  /**
   * An operator suspends a server: whatever its state in the list, it gets no new connections until {@link #resume},
   * and its open connections are moved. Suspending it again has no further effect; the server may be unknown.
   */
  void suspend(long now, String serverName);

  /** Resumes a suspended server. It was probably restarted, so it counts as cold and all that was learned is reset. */
  void resume(long now, String serverName);

  /**
   * Adds affinity entries for clients that were connected elsewhere until now and are expected here.
   *
   * @param serverByClient server names by client key; modified, and not to be used by the caller afterwards
   */
  void restoreAffinity(long now, Map<String, String> serverByClient);

  /** A connection was already open on a server at the start; its attempt 0 counts as sent and established. */
  void onHandover(long now, Request request, String serverName);

  /**
   * A new request arrived; it gets one final answer before its deadline.
   *
   * @throws IllegalStateException if the id is still in use
   */
  void onRequest(long now, Request request);

  /** An attempt's connection was established. */
  void onEstablished(long now, long requestId, int attempt, long latencyMicros);

  /**
   * An attempt ended; called exactly once for each {@link Actions#startAttempt}.
   *
   * @param requestFinished whether the request has its final answer, by this outcome or earlier; otherwise the answer
   *     is still due
   */
  void onAttemptEnded(long now, long requestId, int attempt, Outcome outcome, long latencyMicros,
      boolean requestFinished);

  /** The load of an open connection changed; in microseconds of work per second. */
  void onLoad(long now, long requestId, int attempt, double load);

  /** Messages at the server of this connection currently take {@code delayMicros}. */
  void onQueueingDelay(long now, long requestId, int attempt, double delayMicros);

  /**
   * A server's load report arrived, requested by {@link Actions#requestLoadReport}.
   *
   * @param utilization the server's demand over its capacity, not negative; above 1 work queues
   */
  void onLoadReport(long now, String serverName, double utilization);

  /**
   * Returns whether an attempt whose connection is ready should still be sent; if not, it ends as
   * {@link Outcome#MOOT}. Since the decision its server may have been suspended, or the time during which repeats are
   * dropped may have ended.
   */
  boolean shouldSend(long now, long requestId);

  /** Starts no further attempts: queued requests are answered now, and those with an attempt in flight when it ends. */
  void stopAttempts(long now);

  /**
   * The client disconnected, or the time for the answer expired; no answer is due any more. Attempts in flight still
   * end with {@link #onAttemptEnded}.
   */
  void onClientDisconnected(long now, long requestId);

  /** Returns whether a server gets no new connections at present, by its state or by the balancer's own decision. */
  boolean isExcluded(long now, String serverName);

  /** A scheduled timer fired. */
  void onTimer(long now, long token);
}
