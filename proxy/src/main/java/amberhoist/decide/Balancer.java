package amberhoist.decide;

import java.util.List;
import java.util.Map;

/**
 * The decisions of one balancer for long-lived connections: events go in through this interface, actions come
 * out through the {@link Actions} sink handed to {@link #start}.
 *
 * <p>Time: every event carries the clock in microseconds; it never runs backwards within one life of a
 * balancer. Durations are microseconds too. The balancer reads no clock of its own and draws randomness only
 * from the seed.
 *
 * <p>Threading: one instance belongs to one thread at a time and shares nothing with others. Actions are
 * called synchronously, from within the event that caused them, in the order in which they are to take
 * effect. An implementation of {@code Actions} must not call back into the balancer.
 *
 * <p>Ordering: {@link #start} comes once, before anything else ({@link IllegalStateException} otherwise).
 * Requests may arrive before the first list; they are held. Events that name a finished or unknown request or
 * server are ignored, because in a real proxy they cross with the answer on their way.
 */
public interface Balancer {

  /** What the balancer wants done. Each call takes effect at the time of the event that caused it. */
  interface Actions {
    /**
     * Starts the request's next attempt (numbered 0, 1, 2, ... in this order) on a server. It is to be
     * reported as {@link Outcome#TIMED_OUT} when it has not opened within {@code timeout}, at the latest at
     * the deadline.
     */
    void send(long request, String server, long timeout);

    /** Final answer: refused, trying again is harmless; {@code retryAfter} 0 gives no advice. */
    void refuse(long request, long retryAfter);

    /** Final answer: failed. Promises nothing about what has run. */
    void fail(long request);

    /** Ends an open connection politely, so that its client connects anew. Its {@link #ended} still comes. */
    void move(long request);

    /** Asks the list service for changes from now on; answered by {@link #members}. */
    void subscribe();

    /** Asks a server for its load report; answered by {@link #report}, unless none can be had. */
    void ask(String server);

    /** Wants {@link #timer} called with this token at the given clock time or soon after. */
    void timer(long at, long token);

    /** A line for the operator's log. */
    void log(String message);
  }

  /** How often an effect may happen. */
  enum Effect {
    /** May be repeated at will. */
    SAFE,
    /** Repeats are dropped by a group of servers, for a time. */
    KEYED,
    /** Must not run twice. */
    UNSAFE
  }

  /** Which servers drop the repeats of a {@link Effect#KEYED} request. */
  enum Scope {
    ALL,
    ZONE,
    CELL
  }

  /** How an attempt or a probe ended. */
  enum Outcome {
    SERVED(false),
    ERROR(false),
    /** Turned away unseen. */
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    /** Never sent. */
    MOOT(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean neverRan;

    /** Whether a set-up that ended so has failed: not where it was served, or given up for no fault of the server. */
    boolean failsSetUp() {
      return this != SERVED && this != CANCELLED && this != MOOT;
    }

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /** What a list event brings. */
  enum ListKind {
    /** Only the servers that changed. */
    CHANGES,
    /** All servers; those missing are gone. */
    FULL,
    /** All servers as last known here, perhaps long ago. */
    STALE,
    /** A call to the list service failed or the subscription broke; the old list still holds. */
    FAILED
  }

  /** Whether a server takes work. */
  enum State {
    READY,
    DRAINING,
    GONE
  }

  /**
   * One server of the list.
   *
   * @param name opaque, the same at every balancer
   * @param zone where it stands
   * @param kind the machine kind
   * @param cell the set of servers that remember each other's keys
   * @param size a figure to compare servers by; one that is not positive means unknown and counts as 1
   * @param since clock time of its latest start, 0 when long ago
   */
  record Server(String name, String zone, String kind, int cell, State state, double size, long since) {
    /** Refuses a server without a name or state, or with a start before the clock began. */
    public Server {
      if (name == null || name.isEmpty() || state == null || since < 0) {
        throw new IllegalArgumentException("a server needs a name, a state and a start that is not negative");
      }
      size = size > 0 ? size : 1;
    }

    /** The same server in another state and with another start. */
    Server as(State other, long start) {
      return new Server(name, zone, kind, cell, other, size, start);
    }
  }

  /**
   * One request for a connection. Texts may be null where absent.
   *
   * @param deadline clock time at which the client gives up
   * @param hint expected load in microseconds of work a second, 0 when unknown
   * @param group connections of one group share work on a server
   * @param returning the client is back after a break or a move
   */
  record Request(long id, String type, String tenant, String client, long deadline, double hint, String group,
      boolean retry, boolean returning) {}

  /**
   * A request class.
   *
   * @param aim set up within this time
   * @param window for {@link Effect#KEYED}: how long repeats are dropped after the first attempt
   * @param worth what one request is worth
   * @param messageAim a message of an open connection is wanted within this time, 0 when unstated
   */
  record RequestClass(String name, Effect effect, Scope scope, long aim, long window, double worth,
      double messageAim) {}

  /**
   * What connections are worth, for when there is not room for all.
   *
   * @param byWork worth grows with a connection's load; otherwise all of one class are worth the same
   * @param overShare the part, from 0 to 1, that is left of it beyond a tenant's share
   * @param shares open connections by tenant, over all balancers together, that its share covers; no limit where absent
   */
  record Value(boolean byWork, double overShare, Map<String, Double> shares) {
    public static final Value NONE = new Value(false, 1, Map.of());

    /** Refuses a part that is not from 0 to 1. */
    public Value {
      if (!(overShare >= 0 && overShare <= 1)) {
        throw new IllegalArgumentException("worth beyond a share is a part from 0 to 1");
      }
      shares = Map.copyOf(shares);
    }
  }

  /**
   * What is fixed for the balancer's life.
   *
   * @param zone the balancer's own zone
   * @param index its number among {@code balancers}, from 0
   * @param subscribe whether list changes come only after {@link Actions#subscribe}
   * @param askWithin without a subscription, the list counts as known when it is this old
   * @param maxAttempts the most attempts of one request; two are never out together
   * @param maxRetryAfter the longest advice that clients honour, 0 for none
   * @param crossZonePrice what crossing zones with a request costs, as a part of its worth
   * @param movePrice what moving a connection costs, in the same unit
   * @param coldShare a server starts at this share of its capacity, or higher
   * @param coldTime and is warm after this time
   * @param coldMultiple sent more than this multiple of its present capacity ...
   * @param coldWindow ... for this long, it falls over
   * @param value what connections are worth
   * @param reports whether servers may be asked for their load reports
   */
  record Settings(String zone, int index, int balancers, List<RequestClass> classes, boolean subscribe,
      long askWithin, int maxAttempts, long maxRetryAfter, double crossZonePrice, double movePrice,
      double coldShare, long coldTime, double coldMultiple, long coldWindow, Value value, boolean reports) {
    /** Refuses what no deployment can mean, such as negative times or a cold multiple of 0. */
    public Settings {
      if (zone == null || classes == null || balancers < 1 || maxAttempts < 1) {
        throw new IllegalArgumentException("a zone, classes, a balancer and an attempt are needed");
      }
      if (value == null) {
        throw new IllegalArgumentException("worths are needed, or NONE");
      }
      if (askWithin < 0 || maxRetryAfter < 0 || coldTime < 0 || coldWindow < 0) {
        throw new IllegalArgumentException("times must not be negative");
      }
      if (!(coldShare >= 0 && coldShare <= 1) || !(coldMultiple > 0) || !(crossZonePrice >= 0)
          || !(movePrice >= 0)) {
        throw new IllegalArgumentException("cold share from 0 to 1, cold multiple over 0, prices from 0 on");
      }
    }
  }

  /** Begins the balancer's life. */
  void start(long now, Settings settings, long seed, Actions actions);

  /** Other settings, from now on; requests that came before keep the aims of their class. */
  void configure(long now, Settings settings);

  /** News of the server list, in order and with none skipped. */
  void members(long now, ListKind kind, List<Server> servers);

  /**
   * A server is taken out by hand: whatever the list says of it, it gets nothing new until {@link #resume}, and what
   * stands there is moved. Twice out is out once; the server may be unknown so far.
   */
  void suspend(long now, String server);

  /** A server taken out is called back, most likely restarted: it is cold, and nothing known of it holds. */
  void resume(long now, String server);

  /** These clients, by their keys, stood at these servers until now and are about to come here. The map is used up. */
  void bind(long now, Map<String, String> clients);

  /** A connection already open on {@code server} at the start; attempt 0 counts as sent and open. */
  void handover(long now, Request request, String server);

  /**
   * A new request; from here on one final answer is owed before its deadline. An id still in use is refused
   * ({@link IllegalStateException}).
   */
  void request(long now, Request request);

  /** An attempt's connection stands. */
  void opened(long now, long request, int attempt, long latency);

  /**
   * An attempt ended; comes exactly once for each {@link Actions#send}.
   *
   * @param closed the request is finished, by this outcome or earlier; otherwise the answer is still owed
   */
  void ended(long now, long request, int attempt, Outcome outcome, long latency, boolean closed);

  /** An open connection's load is now this much, in microseconds of work a second. */
  void load(long now, long request, int attempt, double load);

  /** Messages at the server of this connection now take {@code micros}. */
  void delay(long now, long request, int attempt, double micros);

  /**
   * A server's load report, asked for by {@link Actions#ask}.
   *
   * @param heat the load asked of it over what it can do, from 0 on; over 1 work piles up
   */
  void report(long now, String server, double heat);

  /**
   * Whether an attempt whose connection has come up is still to be sent; where not, it ends as {@link Outcome#MOOT}.
   * Time has passed since it was decided on: its server may have been taken out, or the window of repeats be over.
   */
  boolean confirms(long now, long request);

  /** No more attempts are to be made: what is held is answered now, and what is out when it ends. */
  void close(long now);

  /** The client has left, or the answer is overdue; none is owed any more. Attempts still out still end. */
  void departed(long now, long request);

  /** Whether this server gets nothing new now, by its state or by the balancer's own choice. */
  boolean avoids(long now, String server);

  /** A timer asked for is due. */
  void timer(long now, long token);
}
