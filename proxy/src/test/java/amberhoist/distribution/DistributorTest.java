package amberhoist.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DistributorTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final DistributionSettings SETTINGS = DistributionSettings.of("fleet").withAdmissionsPerSecond(40);
  private static final Document FIRST = Document.of(1, "first");
  private static final PolicyState IN_FORCE = new PolicyState(FIRST, 1, null);
  private static final PolicyState PENDING = new PolicyState(FIRST, 2, Document.of(2, "second"));
  private static final PolicyState CONCLUDED = new PolicyState(Document.of(2, "second"), 2, null);
  private static final PolicyState WITHDRAWN = new PolicyState(FIRST, 2, null);

  private final List<Reply> replies = new ArrayList<>();
  private long now = 100 * SECOND_MICROS;
  private Distributor distributor = newDistributor();

  private Distributor newDistributor() {
    return new Distributor(SETTINGS, now, (to, reply) -> replies.add(reply));
  }

  /** Lets leases granted before the start of the distributor end, and gives it a lease of its own. */
  private void startServing(PolicyState state) {
    distributor.onPolicyState(now, state);
    now += 10 * SECOND_MICROS;
    distributor.extendLease(now + 2 * SECOND_MICROS);
  }

  private void renew(String name, long incarnation, long held, long prepared) {
    distributor.onRequest(now, name, new Renew("fleet", name, incarnation, now, held, prepared));
  }

  private <T extends Reply> List<T> replies(Class<T> type) {
    return replies.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @Test
  void grantsOnlyWithinItsOwnLease() {
    distributor.onPolicyState(now, IN_FORCE);
    renew("a", 1, 1, 0);
    assertEquals(List.of(new Deferred(SETTINGS.renewPeriodMicros(), true)), replies);
    distributor.extendLease(now + SETTINGS.leaseMicros() / 3);
    renew("a", 1, 1, 0);
    assertEquals(SETTINGS.leaseMicros() / 3, replies(Granted.class).get(0).length());
    now += SETTINGS.leaseMicros() / 3;
    renew("a", 1, 1, 0);
    assertEquals(1, replies(Granted.class).size());
  }

  @Test
  void offersVersionInForceInsteadOfLease() {
    startServing(IN_FORCE);
    renew("a", 1, 0, 0);
    Offer offer = replies(Offer.class).get(0);
    assertEquals(1, offer.version());
    assertEquals(offer.length(), offer.first().length, "with the first chunk");
    renew("a", 1, 0, 0);
    assertEquals(0, replies(Offer.class).get(1).first().length, "the first chunk is sent once");
    assertEquals(0, replies(Granted.class).size());
  }

  @Test
  void versionIsPreparedWhenAllPreparedOrLeasesEnded() {
    startServing(IN_FORCE);
    renew("a", 1, 1, 0);
    renew("b", 1, 1, 0);
    distributor.onPolicyState(now, PENDING);
    assertEquals(2, replies(Offer.class).size(), "offered at once");
    distributor.onRequest(now, "a", new Prepared("a", 1, 2));
    assertFalse(distributor.checkPrepared(now));
    long until = now + (long) (SETTINGS.leaseMicros() * (1 + DistributionSettings.MAX_CLOCK_DRIFT));
    assertFalse(distributor.checkPrepared(until));
    assertTrue(distributor.checkPrepared(until + 1));
    distributor.extendLease(until + 2 * SECOND_MICROS);
    now = until + 1;
    int before = replies(Granted.class).size();
    renew("b", 1, 1, 0);
    assertEquals(before, replies(Granted.class).size(), "no lease on the previous version");
    distributor.onPolicyState(now, CONCLUDED);
    renew("b", 1, 2, 0);
    assertEquals(before + 1, replies(Granted.class).size());
  }

  @Test
  void grantsLeasesWhileChangeIsFetchedForALimitedTime() {
    startServing(IN_FORCE);
    renew("a", 1, 1, 0);
    distributor.onPolicyState(now, PENDING);
    renew("a", 1, 1, 0);
    assertEquals(2, replies(Granted.class).size());
    now += SETTINGS.stagingMicros();
    distributor.extendLease(now + SECOND_MICROS);
    renew("a", 1, 1, 0);
    assertEquals(2, replies(Granted.class).size(), "a slow subscriber no longer delays the change");
  }

  @Test
  void grantsLeasesAfterWithdrawnChange() {
    startServing(IN_FORCE);
    renew("a", 1, 1, 0);
    distributor.onPolicyState(now, PENDING);
    distributor.onRequest(now, "a", new Prepared("a", 1, 2));
    distributor.onPolicyState(now, WITHDRAWN);
    renew("a", 1, 1, 2);
    assertEquals(new Message.Status(1, 2, false), replies.get(replies.size() - 1), "gets the status, and has to renew");
    renew("a", 1, 1, 0);
    assertEquals(2, replies(Granted.class).size());
  }

  /** Before a restart the distributor may have granted leases, and may have reported the pending version. */
  @Test
  void restartDuringChangeGrantsNothingAndWaitsForFormerLeases() {
    distributor.onPolicyState(now, PENDING);
    distributor.extendLease(now + 2 * SECOND_MICROS);
    renew("a", 1, 1, 0);
    assertEquals(0, replies(Granted.class).size());
    long maxLeaseMicros = (long) (SETTINGS.leaseMicros() * (1 + DistributionSettings.MAX_CLOCK_DRIFT));
    assertFalse(distributor.checkPrepared(now + maxLeaseMicros));
    assertTrue(distributor.checkPrepared(now + maxLeaseMicros + 1));
  }

  @Test
  void restartedSubscriberCountsWithItsFormerLease() {
    startServing(IN_FORCE);
    renew("a", 1, 1, 0);
    renew("a", 2, 0, 0);
    distributor.onPolicyState(now, PENDING);
    distributor.onRequest(now, "a", new Prepared("a", 2, 2));
    distributor.onRequest(now, "a", new Prepared("a", 1, 2)); // of the former incarnation: ignored
    assertFalse(distributor.checkPrepared(now));
    assertTrue(distributor.checkPrepared(now + 2 * SETTINGS.leaseMicros()));
  }

  @Test
  void rejectsWrongFleetOrSubscriberName() {
    startServing(IN_FORCE);
    distributor.onRequest(now, "a", new Renew("other", "a", 1, now, 1, 0));
    distributor.onRequest(now, "a", new Renew("fleet", "b", 1, now, 1, 0));
    distributor.onRequest(now, "x".repeat(200), new Renew("fleet", "x".repeat(200), 1, now, 1, 0));
    assertEquals(3, replies(Rejected.class).size());
    assertEquals(3, distributor.counters().rejected());
    assertEquals(0, distributor.subscriberCount());
  }

  @Test
  void limitsAdmissionsAndStaggersRetries() {
    startServing(IN_FORCE);
    for (int i = 0; i < 200; i++) {
      renew("p" + i, 1, 1, 0);
    }
    assertTrue(distributor.counters().admitted() <= 40, distributor.counters().admitted() + " at once");
    List<Long> waits = replies(Deferred.class).stream().map(Deferred::after).distinct().toList();
    assertTrue(waits.size() > 100, "retries are spread over time");
    assertTrue(waits.stream().allMatch(wait -> wait <= 10 * SECOND_MICROS));
    renew("p0", 1, 1, 0);
    assertEquals(2, replies(Granted.class).stream().filter(each -> each.askedAt() == now).count()
        - distributor.counters().admitted() + 1, "an admitted subscriber is not deferred");
  }

  /** Subscribers that went elsewhere must not keep their retry slots and so delay those that come much later. */
  @Test
  void unusedRetrySlotsExpire() {
    startServing(IN_FORCE);
    for (int i = 0; i < 400; i++) {
      renew("p" + i, 1, 1, 0);
    }
    now += 30 * SECOND_MICROS;
    distributor.extendLease(now + SECOND_MICROS);
    replies.clear();
    for (int i = 0; i < 11; i++) { // one more than the burst
      renew("q" + i, 1, 1, 0);
    }
    assertEquals(10, replies(Granted.class).size());
    assertTrue(replies(Deferred.class).get(0).after() < SECOND_MICROS / 10, replies(Deferred.class) + "");
  }

  @Test
  void sendsSubscriberThatIsAheadElsewhere() {
    startServing(IN_FORCE);
    renew("a", 1, 2, 0);
    renew("b", 1, 1, 2);
    assertEquals(2, replies(Deferred.class).stream().filter(Deferred::elsewhere).count());
    assertEquals(0, replies(Granted.class).size());
    assertEquals(0, replies(Offer.class).size());
  }

  @Test
  void offersDeltaFromAnEarlierVersion() {
    String oldText = "a".repeat(20_000) + "one" + "b".repeat(20_000);
    String newText = "a".repeat(20_000) + "two" + "b".repeat(20_000);
    distributor.onPolicyState(now, new PolicyState(Document.of(1, oldText), 1, null));
    startServing(new PolicyState(Document.of(2, newText), 2, null));
    renew("a", 1, 1, 0);
    assertEquals(1, replies(Offer.class).get(0).base());
    assertTrue(replies(Offer.class).get(0).length() < 100);
    renew("b", 1, 0, 0);
    assertEquals(0, replies(Offer.class).get(1).base(), "a snapshot, since the base is not kept");
  }

  @Test
  void servesChunksWithinDocumentAndByteRate() {
    byte[] noise = new byte[200_000];
    new java.util.Random(1).nextBytes(noise);
    startServing(new PolicyState(new Document(1, noise), 1, null));
    renew("a", 1, 0, 0);
    for (int offset : new int[] {-1, 1 << 30, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
      distributor.onRequest(now, "a", new Fetch("a", 1, 1, 0, offset));
    }
    distributor.onRequest(now, "a", new Fetch("a", 1, 9, 0, 0));
    distributor.onRequest(now, "a", new Fetch("a", 1, 1, 5, 0));
    distributor.onRequest(now, "unknown", new Fetch("unknown", 1, 1, 0, 0));
    assertEquals(0, replies(Chunk.class).size());
    for (int i = 0; i < 100; i++) {
      distributor.onRequest(now, "a", new Fetch("a", 1, 1, 0, 0));
    }
    int bytes = replies(Chunk.class).stream().mapToInt(chunk -> chunk.bytes().length).sum();
    assertTrue(bytes > 0 && bytes <= Math.max(2 * SETTINGS.maxChunkBytes(), SETTINGS.bytesPerSecond()),
        bytes + " bytes");
  }

  @Test
  void removesSubscribersThatLeaveOrAreSilent() {
    startServing(IN_FORCE);
    renew("a", 1, 1, 0);
    renew("b", 1, 1, 0);
    distributor.onRequest(now, "a", new Leave("a", 1));
    assertEquals(1, distributor.subscriberCount());
    distributor.removeSilent(now + SETTINGS.leaseMicros());
    assertEquals(1, distributor.subscriberCount());
    distributor.removeSilent(now + 10 * SECOND_MICROS);
    assertEquals(0, distributor.subscriberCount());
  }
}
