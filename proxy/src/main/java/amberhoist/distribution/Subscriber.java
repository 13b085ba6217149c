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
 * A proxy's copy of the fleet's policy: the document in force and a lease on it, from one distributor at a time. The
 * document may be used only while the lease is valid and no newer version is prepared. The version never decreases,
 * whichever distributor the subscriber changes to.
 */
public class Subscriber {
  private static final int MAX_MISSED_RENEWALS = 2; // in a row; then it changes to the next distributor
  private static final int MESSAGE_OVERHEAD_BYTES = 64; // of a message with a chunk
  private static final long NEVER = Long.MIN_VALUE;

  private final DistributionSettings settings;
  private final String name;
  private final long incarnation;
  private final List<String> distributors;
  private final BiConsumer<String, Request> sender;
  private final Backoff backoff;
  private final TokenBucket byteBudget;
  private int currentIndex; // of the current distributor
  private boolean hasCurrentAnswered; // whether the current distributor has replied
  private String formerDistributor; // the distributor before, which may still count a lease of this subscriber; or null
  private int missedRenewals;
  private long renewAt;
  private long returnAt;
  private Document inForce = Document.EMPTY;
  private Document preparedDocument; // null if none
  private long leaseUntil = NEVER;
  private long grantsValidFrom = NEVER; // grants for earlier requests are ignored
  private Download download;
  private long fetchAt = Long.MAX_VALUE;
  private boolean needsSnapshot;
  private long corruptTransfers;
  private long distributorChanges;

  /**
   * Creates a subscriber that starts now.
   *
   * @param distributors names of the distributors, in the order of {@link DistributorOrder}
   * @param sender sends a request to the distributor of this name
   */
  public Subscriber(DistributionSettings settings, String name, long incarnation, List<String> distributors,
      RandomGenerator random, long now, BiConsumer<String, Request> sender) {
    this.settings = settings;
    this.name = name;
    this.incarnation = incarnation;
    this.distributors = List.copyOf(distributors);
    this.sender = sender;
    backoff = new Backoff(now, settings.minBackoffMicros(), settings.maxBackoffMicros(), random);
    byteBudget = new TokenBucket(now, settings.bytesPerSecond(),
        Math.max(2 * settings.maxChunkBytes(), settings.bytesPerSecond()));
    renewAt = now + (long) (settings.renewPeriodMicros() * random.nextDouble());
    returnAt = now + backoff.withJitter(settings.returnPeriodMicros());
  }

  /** Returns the policy version that decisions may use now, or -1 without a lease or with a change pending. */
  public long usableVersion(long now) {
    return preparedDocument == null && now < leaseUntil ? inForce.version() : -1;
  }

  /** Returns the document in force, as far as this subscriber knows. */
  public Document inForce() {
    return inForce;
  }

  /** Returns the remaining time of the lease in microseconds, 0 where there is none. */
  public long leaseLeftMicros(long now) {
    return leaseUntil == NEVER ? 0 : Math.max(0, leaseUntil - now);
  }

  /** Returns the name of the current distributor. */
  public String currentDistributor() {
    return distributors.get(currentIndex);
  }

  /** Returns the number of transfers that were invalid or did not match the checksum of their offer. */
  public long corruptTransfers() {
    return corruptTransfers;
  }

  /** Returns the number of changes to another distributor. */
  public long distributorChanges() {
    return distributorChanges;
  }

  /** Returns when {@link #step} is to be called next. */
  public long nextStepAt() {
    return Math.min(renewAt, fetchAt);
  }

  /** Sends the requests that are due. */
  public void step(long now) {
    if (now >= renewAt) {
      if (missedRenewals >= MAX_MISSED_RENEWALS) {
        changeToNext(now, 0);
      } else {
        missedRenewals++;
        renew(now, currentDistributor());
      }
    }
    if (now >= fetchAt) {
      fetchNextChunk(now);
    }
    if (currentIndex != 0 && now >= returnAt) {
      returnAt = now + backoff.withJitter(settings.returnPeriodMicros());
      send(distributors.get(0), renewal(now)); // on a reply the subscriber changes back to it
    }
  }

  private void renew(long now, String distributor) {
    renewAt = now + settings.renewPeriodMicros();
    send(distributor, renewal(now));
  }

  private Renew renewal(long now) {
    long version = needsSnapshot ? 0 : inForce.version();
    return new Renew(settings.fleet(), name, incarnation, now, version,
        preparedDocument == null ? 0 : preparedDocument.version());
  }

  private void send(String distributor, Request request) {
    sender.accept(distributor, request);
  }

  /** Changes to the next distributor, and asks it after the backoff or {@code minDelay}, whichever is longer. */
  private void changeToNext(long now, long minDelay) {
    changeTo((currentIndex + 1) % distributors.size());
    missedRenewals = 0;
    hasCurrentAnswered = false;
    fetchAt = Long.MAX_VALUE;
    renewAt = now + Math.max(minDelay, backoff.delayAfterFailure(now));
  }

  private void changeTo(int next) {
    formerDistributor = currentDistributor();
    currentIndex = next;
    distributorChanges++;
  }

  /** Notifies the former distributor that its lease is no longer used, so that no change waits for the lease's end. */
  private void releaseFormerLease() {
    if (formerDistributor != null && !formerDistributor.equals(currentDistributor())) {
      send(formerDistributor, new Leave(name, incarnation));
    }
    formerDistributor = null;
  }

  /** The connection to this distributor was closed. */
  public void onDisconnected(long now, String distributor) {
    if (distributor.equals(currentDistributor())) {
      changeToNext(now, 0);
    }
  }

  /** Stops, and gives up the lease. */
  public void leave() {
    leaseUntil = NEVER;
    send(currentDistributor(), new Leave(name, incarnation));
  }

  /** Handles a reply of a distributor, and charges the length of its message to the byte budget. */
  public void onReply(long now, String distributor, Reply reply, int messageBytes) {
    boolean isRejection = reply instanceof Deferred || reply instanceof Rejected;
    if (!distributor.equals(currentDistributor())) {
      if (isRejection || !distributor.equals(distributors.get(0)) || currentIndex == 0) {
        return; // from a former distributor, or a rejection from the preferred one
      }
      changeTo(0);
    }
    byteBudget.charge(now, messageBytes);
    missedRenewals = 0;
    if (isRejection) {
      onRejection(now, reply);
      return;
    }
    if (!hasCurrentAnswered) {
      hasCurrentAnswered = true;
      backoff.onSuccess();
    }
    if (reply instanceof Status status) {
      onStatus(now, status);
    } else if (reply instanceof Offer offer) {
      onOffer(now, offer);
    } else if (reply instanceof Chunk chunk) {
      onChunk(now, chunk);
    } else if (reply instanceof Granted granted) {
      onGranted(now, granted);
    }
  }

  private void onRejection(long now, Reply reply) {
    if (reply instanceof Deferred deferred && !deferred.elsewhere()) {
      renewAt = now + Math.min(deferred.after(), 2 * settings.maxBackoffMicros());
    } else {
      changeToNext(now, reply instanceof Rejected ? settings.maxBackoffMicros() : 0);
    }
  }

  private void onGranted(long now, Granted granted) {
    boolean isCurrent = granted.askedAt() >= grantsValidFrom && granted.askedAt() <= now;
    if (preparedDocument == null && isCurrent && granted.version() == inForce.version()) {
      long durationMicros = Math.min(granted.length(), settings.leaseMicros());
      long end = granted.askedAt() + (long) (durationMicros * (1 - DistributionSettings.MAX_CLOCK_DRIFT));
      if (end >= leaseUntil) {
        leaseUntil = end;
        releaseFormerLease();
      }
    }
  }

  /**
   * Concludes the prepared version by a status. A status that has not reached that version is ignored, since it comes
   * from a distributor that is behind, and does not mean that the change was withdrawn.
   */
  private void onStatus(long now, Status status) {
    if (preparedDocument == null || status.latest() < preparedDocument.version()
        || status.pending() && status.latest() == preparedDocument.version()) {
      return;
    }
    Document prepared = preparedDocument;
    preparedDocument = null;
    if (status.inForce() == prepared.version()) {
      install(now, prepared);
    } else {
      renew(now, currentDistributor());
    }
  }

  /** Whether this version is later than the one in force here. */
  protected boolean isNewer(long version) {
    return version > inForce.version();
  }

  private void install(long now, Document document) {
    if (!isNewer(document.version())) {
      return;
    }
    inForce = document;
    dropLease(now);
    if (preparedDocument != null && preparedDocument.version() <= document.version()) {
      preparedDocument = null;
    }
    renew(now, currentDistributor());
  }

  /** Drops the lease, and ignores grants for earlier requests: they are on another version, or counted as given up. */
  private void dropLease(long now) {
    leaseUntil = NEVER;
    grantsValidFrom = now;
  }

  private void onOffer(long now, Offer offer) {
    if (!isNewer(offer.version()) || offer.length() < 0 || offer.length() > Transfer.MAX_DOCUMENT_BYTES) {
      return;
    }
    if (preparedDocument != null && offer.version() <= preparedDocument.version()) {
      if (offer.version() == preparedDocument.version()) {
        acceptDocument(now, preparedDocument, offer.pending());
      }
      return;
    }
    if (download != null && download.matches(offer)) {
      download.resume(offer);
    } else {
      download = new Download(offer);
    }
    continueDownload(now);
  }

  private void onChunk(long now, Chunk chunk) {
    if (download != null && download.append(chunk)) {
      continueDownload(now);
    }
  }

  private void continueDownload(long now) {
    if (!download.isComplete()) {
      fetchAt = now + byteBudget.microsUntil(now, settings.maxChunkBytes() + MESSAGE_OVERHEAD_BYTES);
      return;
    }
    Download complete = download;
    download = null;
    fetchAt = Long.MAX_VALUE;
    try {
      Document document = complete.transfer().apply(inForce);
      if (hasChecksum(document, complete.offer().checksum())) {
        needsSnapshot = false;
        acceptDocument(now, document, complete.offer().pending());
        return;
      }
    } catch (DataFormatException invalid) {
      // counted as corrupt below
    }
    corruptTransfers++;
    needsSnapshot = true;
  }

  /** Whether the document has the checksum of its offer. */
  protected boolean hasChecksum(Document document, long checksum) {
    return document.checksum() == checksum;
  }

  /** Requests the next chunk, and again later if it does not arrive. */
  private void fetchNextChunk(long now) {
    if (download == null || download.isComplete()) {
      fetchAt = Long.MAX_VALUE;
      return;
    }
    Offer offer = download.offer();
    fetchAt = now + 2 * settings.renewPeriodMicros();
    send(currentDistributor(), new Fetch(name, incarnation, offer.version(), offer.base(), download.receivedBytes()));
  }

  /** Installs a document in force, or prepares a pending one; none may be used then until the change is concluded. */
  private void acceptDocument(long now, Document document, boolean pending) {
    if (!pending) {
      install(now, document);
      return;
    }
    if (preparedDocument == null || preparedDocument.version() < document.version()) {
      preparedDocument = document;
      dropLease(now);
      releaseFormerLease();
    }
    send(currentDistributor(), new Prepared(name, incarnation, document.version()));
  }
}
