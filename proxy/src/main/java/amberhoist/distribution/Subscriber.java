package amberhoist.distribution;

import amberhoist.distribution.Message.Chunk;
import amberhoist.distribution.Message.Deferred;
import amberhoist.distribution.Message.Fetch;
import amberhoist.distribution.Message.Granted;
import amberhoist.distribution.Message.Leave;
import amberhoist.distribution.Message.Offer;
import amberhoist.distribution.Message.Prepared;
import amberhoist.distribution.Message.Rejected;
import amberhoist.distribution.Message.Renew;
import amberhoist.distribution.Message.Reply;
import amberhoist.distribution.Message.Request;
import amberhoist.distribution.Message.Status;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import java.util.zip.DataFormatException;

/**
 * A proxy's part in the fleet's policy: holds the document in force and a lease on it, from one distributor at a time.
 * It decides by its document only while it holds a lease and has prepared no newer version, and its version never goes
 * back, whichever distributor it meets.
 */
public class Subscriber {
  private static final int MISSED_RENEWALS = 2; // in a row without an answer, then the next distributor is asked
  private static final int OVERHEAD = 64; // bytes of a message beside its chunk
  private static final long NEVER = Long.MIN_VALUE;

  private final DistributionSettings settings;
  private final String name;
  private final long incarnation;
  private final List<String> distributors;
  private final BiConsumer<String, Request> link;
  private final Backoff backoff;
  private final TokenBucket budget;
  private int target; // index of the distributor that is asked
  private boolean answered; // by the target, since it was chosen
  private String former; // distributor before, that may count a lease of this subscriber still, or null
  private int missed;
  private long renewAt;
  private long returnAt;
  private Document held = Document.NONE;
  private Document staged; // the prepared document
  private long leaseUntil = NEVER;
  private long askedSince = NEVER; // grants for what was asked earlier are void
  private Download download;
  private long fetchAt = Long.MAX_VALUE;
  private boolean needsSnapshot;
  private long corrupt;
  private long moves;

  /**
   * A subscriber that starts now.
   *
   * @param distributors in the order of {@link DistributorOrder}
   * @param link sends a request to a distributor
   */
  public Subscriber(DistributionSettings settings, String name, long incarnation, List<String> distributors,
      RandomGenerator random, long now, BiConsumer<String, Request> link) {
    this.settings = settings;
    this.name = name;
    this.incarnation = incarnation;
    this.distributors = List.copyOf(distributors);
    this.link = link;
    backoff = new Backoff(now, settings.backoffFirst(), settings.backoffMost(), random);
    budget = new TokenBucket(now, settings.bytesPerSecond(), Math.max(2 * settings.chunk(), settings.bytesPerSecond()));
    renewAt = now + (long) (settings.renewEvery() * random.nextDouble());
    returnAt = now + backoff.jitter(settings.returnEvery());
  }

  /** The version to decide by now, or -1: without a lease, or with a change pending, nothing new is decided. */
  public long decides(long now) {
    return staged == null && now < leaseUntil ? held.version() : -1;
  }

  /** The document in force, as far as this subscriber knows. */
  public Document held() {
    return held;
  }

  /** Micros that are left of the lease, 0 where there is none. */
  public long leaseLeft(long now) {
    return leaseUntil == NEVER ? 0 : Math.max(0, leaseUntil - now);
  }

  /** The distributor that is asked. */
  public String distributor() {
    return distributors.get(target);
  }

  /** Transfers that did not have the checksum that was offered. */
  public long corrupt() {
    return corrupt;
  }

  /** How often it has gone to another distributor. */
  public long moves() {
    return moves;
  }

  /** When {@link #step} is to be called next. */
  public long nextStep() {
    return Math.min(renewAt, fetchAt);
  }

  /** Does what is due. */
  public void step(long now) {
    if (now >= renewAt) {
      if (missed >= MISSED_RENEWALS) {
        moveOn(now, 0);
      } else {
        missed++;
        renew(now, distributor());
      }
    }
    if (now >= fetchAt) {
      fetch(now);
    }
    if (target != 0 && now >= returnAt) {
      returnAt = now + backoff.jitter(settings.returnEvery());
      send(distributors.get(0), renewal(now)); // an answer brings the subscriber back there
    }
  }

  private void renew(long now, String distributor) {
    renewAt = now + settings.renewEvery();
    send(distributor, renewal(now));
  }

  private Renew renewal(long now) {
    long version = needsSnapshot ? 0 : held.version();
    return new Renew(settings.fleet(), name, incarnation, now, version, staged == null ? 0 : staged.version());
  }

  private void send(String distributor, Request request) {
    link.accept(distributor, request);
  }

  /** Asks the next distributor, after a wait of at least this. */
  private void moveOn(long now, long least) {
    ask((target + 1) % distributors.size());
    missed = 0;
    answered = false;
    fetchAt = Long.MAX_VALUE;
    renewAt = now + Math.max(least, backoff.failed(now));
  }

  private void ask(int next) {
    former = distributor();
    target = next;
    moves++;
  }

  /** Tells the distributor before that its lease is not relied on any more, so that no change waits for its end. */
  private void leaveFormer() {
    if (former != null && !former.equals(distributor())) {
      send(former, new Leave(name, incarnation));
    }
    former = null;
  }

  /** The connection to this distributor has ended. */
  public void disconnected(long now, String distributor) {
    if (distributor.equals(distributor())) {
      moveOn(now, 0);
    }
  }

  /** Ends in good order. */
  public void leave() {
    leaseUntil = NEVER;
    send(distributor(), new Leave(name, incarnation));
  }

  /** A distributor has sent this, in so many bytes. */
  public void receive(long now, String distributor, Reply reply, int bytes) {
    boolean refused = reply instanceof Deferred || reply instanceof Rejected;
    if (!distributor.equals(distributor())) {
      if (refused || !distributor.equals(distributors.get(0)) || target == 0) {
        return; // of a distributor that was left
      }
      ask(0);
    }
    budget.spend(now, bytes);
    missed = 0;
    if (refused) {
      refused(now, reply);
      return;
    }
    if (!answered) {
      answered = true;
      backoff.succeeded();
    }
    if (reply instanceof Status status) {
      status(now, status);
    } else if (reply instanceof Offer offer) {
      offer(now, offer);
    } else if (reply instanceof Chunk chunk) {
      chunk(now, chunk);
    } else if (reply instanceof Granted granted) {
      granted(now, granted);
    }
  }

  private void refused(long now, Reply reply) {
    if (reply instanceof Deferred deferred && !deferred.elsewhere()) {
      renewAt = now + Math.min(deferred.after(), 2 * settings.backoffMost());
    } else {
      moveOn(now, reply instanceof Rejected ? settings.backoffMost() : 0);
    }
  }

  private void granted(long now, Granted granted) {
    boolean current = granted.askedAt() >= askedSince && granted.askedAt() <= now;
    if (staged == null && current && granted.version() == held.version()) {
      long length = Math.min(granted.length(), settings.lease());
      long end = granted.askedAt() + (long) (length * (1 - DistributionSettings.DRIFT));
      if (end >= leaseUntil) {
        leaseUntil = end;
        leaveFormer();
      }
    }
  }

  /** Guards against a distributor that is behind: what it has not heard of has not been withdrawn. */
  private void status(long now, Status status) {
    if (staged == null || status.latest() < staged.version()
        || status.pending() && status.latest() == staged.version()) {
      return;
    }
    Document prepared = staged;
    staged = null;
    if (status.inForce() == prepared.version()) {
      install(now, prepared);
    } else {
      renew(now, distributor());
    }
  }

  /** Whether this version goes on from what is held. */
  protected boolean advances(long version) {
    return version > held.version();
  }

  private void install(long now, Document document) {
    if (!advances(document.version())) {
      return;
    }
    held = document;
    dropLease(now);
    if (staged != null && staged.version() <= document.version()) {
      staged = null;
    }
    renew(now, distributor());
  }

  /** Guards against a lease that was asked for before: it is on another version, or was counted as given up. */
  private void dropLease(long now) {
    leaseUntil = NEVER;
    askedSince = now;
  }

  private void offer(long now, Offer offer) {
    if (!advances(offer.version()) || offer.length() < 0 || offer.length() > Transfer.LARGEST) {
      return;
    }
    if (staged != null && offer.version() <= staged.version()) {
      if (offer.version() == staged.version()) {
        take(now, staged, offer.pending());
      }
      return;
    }
    if (download != null && download.continues(offer)) {
      download.renew(offer);
    } else {
      download = new Download(offer);
    }
    advance(now);
  }

  private void chunk(long now, Chunk chunk) {
    if (download != null && download.take(chunk)) {
      advance(now);
    }
  }

  private void advance(long now) {
    if (!download.complete()) {
      fetchAt = now + budget.microsUntil(now, settings.chunk() + OVERHEAD);
      return;
    }
    Download complete = download;
    download = null;
    fetchAt = Long.MAX_VALUE;
    try {
      Document document = complete.transfer().apply(held);
      if (sound(document, complete.offer().checksum())) {
        needsSnapshot = false;
        take(now, document, complete.offer().pending());
        return;
      }
    } catch (DataFormatException unfit) {
      // counted below
    }
    corrupt++;
    needsSnapshot = true;
  }

  /** Whether the document is the one that was offered. */
  protected boolean sound(Document document, long checksum) {
    return document.checksum() == checksum;
  }

  /** Asks for the next chunk, and again where none comes. */
  private void fetch(long now) {
    if (download == null || download.complete()) {
      fetchAt = Long.MAX_VALUE;
      return;
    }
    Offer offer = download.offer();
    fetchAt = now + 2 * settings.renewEvery();
    send(distributor(), new Fetch(name, incarnation, offer.version(), offer.base(), download.received()));
  }

  /** Takes a complete document: holds one in force; prepares a pending one and decides nothing until it ends. */
  private void take(long now, Document document, boolean pending) {
    if (!pending) {
      install(now, document);
      return;
    }
    if (staged == null || staged.version() < document.version()) {
      staged = document;
      dropLease(now);
      leaveFormer();
    }
    send(distributor(), new Prepared(name, incarnation, document.version()));
  }
}
