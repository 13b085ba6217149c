package amberhoist.distribution;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.distribution.Message.Chunk;
import amberhoist.distribution.Message.Deferred;
import amberhoist.distribution.Message.Fetch;
import amberhoist.distribution.Message.Granted;
import amberhoist.distribution.Message.Leave;
import amberhoist.distribution.Message.Offer;
import amberhoist.distribution.Message.Prepared;
import amberhoist.distribution.Message.Renew;
import amberhoist.distribution.Message.Reply;
import amberhoist.distribution.Message.Request;
import amberhoist.distribution.Message.Status;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SubscriberTest {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final DistributionSettings SETTINGS = DistributionSettings.of("fleet");
  private static final Document FIRST = Document.of(1, "first");
  private static final Document SECOND = Document.of(2, "second");

  private record Sent(long at, String to, Request request) {}

  private final List<Sent> sent = new ArrayList<>();
  private long now = 10_000_000;
  private final Subscriber subscriber = new Subscriber(SETTINGS, "p", 1, List.of("near", "far", "farther"),
      new Random(1), now, (to, request) -> sent.add(new Sent(this.now, to, request)));

  private void advance(long micros) {
    long end = now + micros;
    while (subscriber.nextStepAt() <= end) {
      now = Math.max(now, subscriber.nextStepAt());
      subscriber.step(now);
    }
    now = end;
  }

  private void receive(Reply reply) {
    subscriber.onReply(now, subscriber.currentDistributor(), reply, 64);
  }

  private static Offer snapshotOffer(Document document, boolean pending) {
    return Transfer.between(Document.EMPTY, document).offer(pending, SETTINGS.maxChunkBytes());
  }

  private void grant(long version) {
    receive(new Granted(now, version, SETTINGS.leaseMicros()));
  }

  private void installWithLease(Document document) {
    receive(snapshotOffer(document, false));
    grant(document.version());
    assertEquals(document.version(), subscriber.usableVersion(now));
  }

  private <T extends Request> List<T> requests(Class<T> type) {
    return sent.stream().map(Sent::request).filter(type::isInstance).map(type::cast).toList();
  }

  @Test
  void versionIsUsableWithLeaseCountedFromItsRequest() {
    receive(snapshotOffer(FIRST, false));
    assertEquals(-1, subscriber.usableVersion(now), "no lease yet");
    long askedAt = now;
    now += 400 * MICROS_PER_MILLI;
    receive(new Granted(askedAt, 1, SETTINGS.leaseMicros()));
    long end = askedAt + (long) (SETTINGS.leaseMicros() * (1 - DistributionSettings.MAX_CLOCK_DRIFT));
    assertEquals(1, subscriber.usableVersion(end - 1));
    assertEquals(-1, subscriber.usableVersion(end));
  }

  @Test
  void ignoresInvalidGrantsAndCapsTheLease() {
    receive(snapshotOffer(FIRST, false));
    receive(new Granted(now + 1, 1, SETTINGS.leaseMicros()));
    receive(new Granted(now, 2, SETTINGS.leaseMicros()));
    assertEquals(-1, subscriber.usableVersion(now));
    receive(new Granted(now, 1, Long.MAX_VALUE / 4));
    assertEquals(-1, subscriber.usableVersion(now + SETTINGS.leaseMicros()));
  }

  @Test
  void noVersionIsUsableFromPreparedUntilConcluded() {
    installWithLease(FIRST);
    receive(snapshotOffer(SECOND, true));
    assertEquals(List.of(new Prepared("p", 1, 2)), requests(Prepared.class));
    assertEquals(-1, subscriber.usableVersion(now));
    receive(new Granted(now - 1, 1, SETTINGS.leaseMicros())); // in flight when the version was prepared
    receive(new Status(1, 2, true)); // still pending
    assertEquals(-1, subscriber.usableVersion(now));
    receive(new Status(2, 2, false));
    assertEquals(-1, subscriber.usableVersion(now), "the lease is on the previous version");
    grant(2);
    assertEquals(2, subscriber.usableVersion(now));
    assertArrayEquals(SECOND.bytes(), subscriber.inForce().bytes());
  }

  /** The distributor counts a lease as given up once the subscriber has prepared, so it must not be used again. */
  @Test
  void leaseFromBeforeAWithdrawnChangeIsNotUsed() {
    installWithLease(FIRST);
    long askedAt = now;
    now += 10 * MICROS_PER_MILLI;
    receive(snapshotOffer(SECOND, true));
    now += 10 * MICROS_PER_MILLI;
    receive(new Status(1, 2, false));
    assertEquals(-1, subscriber.usableVersion(now));
    receive(new Granted(askedAt, 1, SETTINGS.leaseMicros()));
    assertEquals(-1, subscriber.usableVersion(now), "requested before the version was prepared");
    grant(1);
    assertEquals(1, subscriber.usableVersion(now));
  }

  @Test
  void distributorBehindNeitherWithdrawsNorRevertsAVersion() {
    installWithLease(FIRST);
    receive(snapshotOffer(SECOND, true));
    receive(new Status(1, 1, false)); // a distributor that does not know the change yet
    assertEquals(-1, subscriber.usableVersion(now), "still prepared");
    advance(SETTINGS.leaseMicros());
    List<Renew> renewals = requests(Renew.class);
    assertEquals(1, renewals.get(renewals.size() - 1).held());
    assertEquals(2, renewals.get(renewals.size() - 1).prepared());
    receive(new Status(2, 2, false));
    grant(2);
    receive(snapshotOffer(FIRST, false));
    assertEquals(2, subscriber.usableVersion(now));
    assertEquals(2, subscriber.inForce().version());
  }

  @Test
  void preparedVersionIsInstalledWithoutAnotherTransfer() {
    installWithLease(FIRST);
    receive(snapshotOffer(SECOND, true));
    receive(Transfer.between(FIRST, SECOND).offer(false, 0)); // without a first chunk
    assertEquals(2, subscriber.inForce().version());
    assertEquals(List.of(), requests(Fetch.class));
  }

  private static Document largeDocument() {
    byte[] bytes = new byte[40_000];
    new Random(3).nextBytes(bytes);
    return new Document(7, bytes);
  }

  @Test
  void resumesTransferAtAnotherDistributor() {
    Transfer transfer = Transfer.between(Document.EMPTY, largeDocument());
    receive(transfer.offer(false, SETTINGS.maxChunkBytes()));
    advance(MICROS_PER_MILLI);
    assertEquals(SETTINGS.maxChunkBytes(), requests(Fetch.class).get(0).offset());
    subscriber.onDisconnected(now, "near");
    assertEquals("far", subscriber.currentDistributor());
    advance(SETTINGS.maxBackoffMicros());
    receive(transfer.offer(false, SETTINGS.maxChunkBytes()));
    for (int fetches = 1; subscriber.inForce().version() != 7; fetches++) {
      advance(SETTINGS.renewPeriodMicros());
      Fetch fetch = requests(Fetch.class).get(requests(Fetch.class).size() - 1);
      assertTrue(fetch.offset() >= SETTINGS.maxChunkBytes(), "the bytes received are kept");
      int end = Math.min(transfer.body().length, fetch.offset() + SETTINGS.maxChunkBytes());
      receive(new Chunk(7, 0, fetch.offset(), Arrays.copyOfRange(transfer.body(), fetch.offset(), end)));
      assertTrue(fetches < 100, "the transfer ends");
    }
    assertArrayEquals(largeDocument().bytes(), subscriber.inForce().bytes());
  }

  @Test
  void transferKeepsToTheByteRate() {
    Transfer transfer = Transfer.between(Document.EMPTY, largeDocument());
    long from = now;
    subscriber.onReply(now, "near", transfer.offer(false, SETTINGS.maxChunkBytes()), SETTINGS.maxChunkBytes());
    while (subscriber.inForce().version() != 7) {
      int before = requests(Fetch.class).size();
      advance(10 * MICROS_PER_MILLI);
      if (requests(Fetch.class).size() > before) {
        Fetch fetch = requests(Fetch.class).get(before);
        int end = Math.min(transfer.body().length, fetch.offset() + SETTINGS.maxChunkBytes());
        byte[] bytes = Arrays.copyOfRange(transfer.body(), fetch.offset(), end);
        subscriber.onReply(now, subscriber.currentDistributor(), new Chunk(7, 0, fetch.offset(), bytes), bytes.length);
      }
      if (subscriber.distributorChanges() == 0) {
        receive(new Status(0, 7, false)); // a reply, so that it does not change the distributor
      }
    }
    double seconds = (now - from) / 1e6;
    double burst = SETTINGS.bytesPerSecond();
    assertTrue(transfer.body().length <= burst + SETTINGS.bytesPerSecond() * seconds + SETTINGS.maxChunkBytes(),
        transfer.body().length + " bytes in " + seconds + " s");
  }

  @Test
  void requestsSnapshotAfterChecksumMismatch() {
    installWithLease(FIRST);
    Transfer valid = Transfer.between(FIRST, SECOND);
    receive(new Transfer(2, 1, valid.from(), valid.removed(), valid.checksum() + 1, valid.body()).offer(false, 4096));
    assertEquals(1, subscriber.inForce().version());
    assertEquals(1, subscriber.corruptTransfers());
    sent.clear();
    advance(SETTINGS.renewPeriodMicros());
    assertEquals(0, requests(Renew.class).get(0).held(), "requests a snapshot");
    receive(snapshotOffer(SECOND, false));
    assertEquals(2, subscriber.inForce().version());
  }

  @Test
  void changesDistributorWithBackoffWhenUnanswered() {
    advance(60_000 * MICROS_PER_MILLI);
    List<String> asked = sent.stream().map(Sent::to).distinct().toList();
    assertEquals(List.of("near", "far", "farther"), asked);
    assertTrue(sent.size() < 60, sent.size() + " requests in a minute without a reply");
    assertTrue(sent.size() > 15, sent.size() + " requests in a minute: keeps retrying");
  }

  @Test
  void followsDeferredReplies() {
    advance(SETTINGS.renewPeriodMicros());
    sent.clear();
    receive(new Deferred(3_000 * MICROS_PER_MILLI, false));
    advance(2_900 * MICROS_PER_MILLI);
    assertEquals(0, sent.size());
    advance(200 * MICROS_PER_MILLI);
    assertEquals("near", sent.get(0).to());
    receive(new Deferred(100 * MICROS_PER_MILLI, true));
    assertEquals("far", subscriber.currentDistributor());
  }

  @Test
  void returnsToThePreferredDistributorWhenItAnswers() {
    subscriber.onDisconnected(now, "near");
    installWithLease(FIRST);
    sent.clear();
    for (int i = 0; i < 120 && sent.stream().noneMatch(each -> each.to().equals("near")); i++) {
      advance(SETTINGS.renewPeriodMicros());
      grant(1);
    }
    subscriber.onReply(now, "near", new Deferred(MICROS_PER_MILLI, true), 64);
    assertEquals("far", subscriber.currentDistributor(), "not while it defers");
    subscriber.onReply(now, "near", new Status(1, 1, false), 64);
    assertEquals("near", subscriber.currentDistributor());
    assertEquals(1, subscriber.usableVersion(now), "the lease stays valid");
    assertEquals(0, requests(Leave.class).size(), "the lease is that of the former distributor, which must count it");
    now += 100 * MICROS_PER_MILLI;
    grant(1);
    assertEquals("far", sent.get(sent.size() - 1).to());
    assertEquals(List.of(new Leave("p", 1)), requests(Leave.class));
  }
}
