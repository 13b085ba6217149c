package amberhoist.distribution;

import amberhoist.distribution.Message.Chunk;
import amberhoist.distribution.Message.Deferred;
import amberhoist.distribution.Message.Fetch;
import amberhoist.distribution.Message.Granted;
import amberhoist.distribution.Message.Leave;
import amberhoist.distribution.Message.Prepared;
import amberhoist.distribution.Message.Rejected;
import amberhoist.distribution.Message.Renew;
import amberhoist.distribution.Message.Reply;
import amberhoist.distribution.Message.Request;
import amberhoist.distribution.Message.Status;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Serves the policy to subscribers: documents in chunks, and leases that end before the distributor's own lease from
 * the leader. It reports a pending version as prepared once each of its subscribers has prepared it or can no longer
 * hold a lease. Nothing is queued for a subscriber: each chunk is requested.
 */
public class Distributor {
  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_MISSED_RENEWALS = 4; // then the session is removed

  /** The session of an admitted subscriber. */
  protected static final class Session {
    private final long incarnation;
    private final TokenBucket byteBudget;
    private long heldVersion;
    private long preparedVersion;
    private long leaseUntil = Long.MIN_VALUE; // until when it may hold a lease, by this distributor's clock
    private long lastHeardAt;
    private long offeredVersion; // version whose first chunk was sent last

    Session(long incarnation, TokenBucket byteBudget) {
      this.incarnation = incarnation;
      this.byteBudget = byteBudget;
    }
  }

  private final DistributionSettings settings;
  private final BiConsumer<String, Reply> sender;
  private final Map<String, Session> sessions = new HashMap<>();
  private final TransferCache transfers = new TransferCache();
  private final Admission admission;
  private final DistributorCounters counters = new DistributorCounters();
  private final long startedAt;
  private PolicyState state = PolicyState.EMPTY;
  private long leaseUntil = Long.MIN_VALUE;
  private boolean hadLease;
  private long pendingSince;
  private boolean leasesStopped; // the pending version may be reported as prepared: no lease on the version before
  private long formerLeasesUntil = Long.MIN_VALUE; // until when replaced sessions may hold leases

  /**
   * Creates a distributor that starts now.
   *
   * @param sender sends a reply to the subscriber of this name
   */
  public Distributor(DistributionSettings settings, long now, BiConsumer<String, Reply> sender) {
    this.settings = settings;
    this.sender = sender;
    admission = new Admission(now, settings.admissionsPerSecond());
    startedAt = now;
  }

  /** Updates the policy after each step of the replicated log, before a lease that requires it is passed in. */
  public void onPolicyState(long now, PolicyState newState) {
    boolean changeBegins = newState.pending() != null && !state.isPending(newState.latestVersion());
    boolean changeEnds = state.pending() != null && !newState.isPending(state.latestVersion());
    state = newState;
    transfers.keepBase(newState.inForce());
    if (changeBegins) {
      pendingSince = now;
      leasesStopped = !hadLease; // this distributor may have reported it before a restart
    }
    if (changeBegins || changeEnds) {
      sessions.forEach((name, session) -> notifySubscriber(name, session, changeEnds));
    }
  }

  private void notifySubscriber(String name, Session session, boolean concluded) {
    if (concluded) {
      sender.accept(name, status());
    }
    if (state.pending() != null && session.preparedVersion != state.latestVersion()) {
      offer(name, session, state.pending(), true);
    }
  }

  private Status status() {
    return new Status(state.inForce().version(), state.latestVersion(), state.pending() != null);
  }

  /** The leader's lease is valid until then; the log that it requires has been passed to {@link #onPolicyState}. */
  public void extendLease(long leaseEnd) {
    leaseUntil = Math.max(leaseUntil, leaseEnd);
    hadLease = true;
  }

  /**
   * Handles a request of a subscriber.
   *
   * @param name the name under which the subscriber's connection was established
   */
  public void onRequest(long now, String name, Request request) {
    if (request instanceof Renew renew) {
      renew(now, name, renew);
    } else if (request instanceof Fetch fetch) {
      fetch(now, name, fetch);
    } else if (request instanceof Prepared prepared) {
      Session session = touchSession(now, name, prepared.incarnation());
      if (session != null && state.isPending(prepared.version())) {
        session.preparedVersion = prepared.version();
      }
    } else if (request instanceof Leave leave && touchSession(now, name, leave.incarnation()) != null) {
      sessions.remove(name);
    }
  }

  /** Returns the session of this incarnation, and marks it as heard from; null if there is none. */
  private Session touchSession(long now, String name, long incarnation) {
    Session session = sessions.get(name);
    if (session == null || session.incarnation != incarnation) {
      return null;
    }
    session.lastHeardAt = now;
    return session;
  }

  private void renew(long now, String name, Renew renew) {
    if (!settings.fleet().equals(renew.fleet()) || !name.equals(renew.subscriber())
        || name.length() > MAX_NAME_LENGTH) {
      counters.rejected++;
      sender.accept(name, new Rejected("not of this fleet"));
      return;
    }
    if (!hasLease(now)) {
      sender.accept(name, new Deferred(settings.renewPeriodMicros(), true));
      return;
    }
    Session session = findOrAdmit(now, name, renew.incarnation());
    if (session != null) {
      session.heldVersion = renew.held();
      session.preparedVersion = state.isPending(renew.prepared()) ? renew.prepared() : session.preparedVersion;
      replyToRenewal(now, name, session, renew);
    }
  }

  /** Returns the session of this incarnation, a new one if it can be admitted now, otherwise null. */
  private Session findOrAdmit(long now, String name, long incarnation) {
    Session existing = touchSession(now, name, incarnation);
    if (existing != null) {
      return existing;
    }
    Session former = sessions.get(name);
    if (former == null && sessions.size() >= settings.maxSubscribers()) {
      sender.accept(name, new Deferred(settings.maxBackoffMicros(), true));
      return null;
    }
    if (!tryAdmit(now)) {
      counters.deferred++;
      sender.accept(name, new Deferred(admission.retryAfterMicros(now), false));
      return null;
    }
    if (former != null && !state.isPending(former.preparedVersion)) {
      formerLeasesUntil = Math.max(formerLeasesUntil, former.leaseUntil);
    }
    counters.admitted++;
    int burst = Math.max(2 * settings.maxChunkBytes(), settings.bytesPerSecond());
    Session session = new Session(incarnation, new TokenBucket(now, settings.bytesPerSecond(), burst));
    session.lastHeardAt = now;
    sessions.put(name, session);
    return session;
  }

  private void replyToRenewal(long now, String name, Session session, Renew renew) {
    if (isAhead(renew)) {
      sender.accept(name, new Deferred(settings.renewPeriodMicros(), true));
      return;
    }
    if (renew.prepared() != 0) {
      sender.accept(name, status()); // even while it is pending: without a reply the subscriber changes the distributor
    }
    boolean current = renew.held() == state.inForce().version();
    if (!current) {
      offer(name, session, state.inForce(), false);
    } else if (state.pending() != null && session.preparedVersion != state.latestVersion()) {
      offer(name, session, state.pending(), true);
    }
    if (current && renew.prepared() == 0 && mayGrantLease(now, session)) {
      grant(now, name, session, renew.askedAt());
    }
  }

  /** Whether the subscriber has seen a later version than this distributor. */
  protected boolean isAhead(Renew renew) {
    return renew.held() > state.inForce().version() || renew.prepared() > state.latestVersion();
  }

  private void offer(String name, Session session, Document document, boolean pending) {
    int first = session.offeredVersion == document.version() ? 0 : settings.maxChunkBytes();
    session.offeredVersion = document.version();
    sender.accept(name, transferTo(document, session.heldVersion).offer(pending, first));
  }

  /** Returns the transfer to the target document for a subscriber that has the other version. */
  protected Transfer transferTo(Document target, long heldVersion) {
    return transfers.transferTo(target, heldVersion);
  }

  private void grant(long now, String name, Session session, long askedAt) {
    long durationMicros = leaseMicrosAt(now);
    session.leaseUntil = Math.max(session.leaseUntil,
        now + (long) (durationMicros * (1 + DistributionSettings.MAX_CLOCK_DRIFT)));
    counters.granted++;
    sender.accept(name, new Granted(askedAt, state.inForce().version(), durationMicros));
  }

  /** Returns the duration of a lease granted now, in microseconds: it ends no later than the distributor's own. */
  protected long leaseMicrosAt(long now) {
    return Math.min(settings.leaseMicros(), leaseUntil - now);
  }

  /** Whether this distributor has a lease from the leader. */
  protected boolean hasLease(long now) {
    return now < leaseUntil;
  }

  /** Whether one more subscriber is admitted now. */
  protected boolean tryAdmit(long now) {
    return admission.tryAdmit(now);
  }

  /** Whether this subscriber, which has the version in force, may get a lease on it. */
  protected boolean mayGrantLease(long now, Session session) {
    return state.pending() == null
        || !leasesStopped && session.preparedVersion != state.latestVersion()
        && now < pendingSince + settings.stagingMicros();
  }

  private void fetch(long now, String name, Fetch fetch) {
    Session session = touchSession(now, name, fetch.incarnation());
    boolean pending = state.isPending(fetch.version());
    if (session == null || !pending && fetch.version() != state.inForce().version()) {
      return;
    }
    Transfer transfer = transfers.transferFrom(fetch.base(), pending ? state.pending() : state.inForce());
    if (transfer == null || fetch.offset() < 0 || fetch.offset() >= transfer.body().length) {
      return;
    }
    int end = Math.min(transfer.body().length, fetch.offset() + settings.maxChunkBytes());
    byte[] bytes = Arrays.copyOfRange(transfer.body(), fetch.offset(), end);
    // above the rate limit there is no reply; the subscriber retries
    if (session.byteBudget.tryTake(now, bytes.length)) {
      sender.accept(name, new Chunk(fetch.version(), fetch.base(), fetch.offset(), bytes));
    }
  }

  /**
   * Whether the pending version can be reported as prepared for all subscribers of this distributor. Once it can, no
   * lease is granted on the version before.
   */
  public boolean checkPrepared(long now) {
    if (state.pending() == null || now <= startedAt + maxLeaseMicros()) {
      return false; // leases granted before a restart may still be valid
    }
    leasesStopped |= allPrepared(now);
    return leasesStopped;
  }

  private long maxLeaseMicros() {
    return (long) (settings.leaseMicros() * (1 + DistributionSettings.MAX_CLOCK_DRIFT));
  }

  /** Whether no subscriber can hold a lease on the version before the pending one. */
  protected boolean allPrepared(long now) {
    return now > formerLeasesUntil && sessions.values().stream()
        .allMatch(session -> session.preparedVersion == state.latestVersion() || now > session.leaseUntil);
  }

  /** Removes sessions that are silent and without a lease; to be called about once a second. */
  public void removeSilent(long now) {
    long timeout = MAX_MISSED_RENEWALS * settings.renewPeriodMicros();
    sessions.values().removeIf(session -> now > session.leaseUntil && now - session.lastHeardAt > timeout);
  }

  /** Returns the number of subscribers. */
  public int subscriberCount() {
    return sessions.size();
  }

  /** Returns the counters. */
  public DistributorCounters counters() {
    return counters;
  }
}
