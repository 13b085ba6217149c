package amberhoist.distribution.controller;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.distribution.Document;
import amberhoist.distribution.PolicyState;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicaTest {
  private static final Document FIRST = Document.of(1, "first");
  private static final Document SECOND = Document.of(2, "second");
  private static final PolicyState IN_FORCE = new PolicyState(FIRST, 1, null);
  private static final PolicyState PENDING = new PolicyState(FIRST, 2, SECOND);
  private static final PolicyState CONCLUDED = new PolicyState(SECOND, 2, null);

  private final Replica replica = new Replica(List.of("a", "b", "c"), 0);
  private final ReplicaFeed feed = new ReplicaFeed();

  private StateUpdate update(long index, PolicyState state) {
    feed.onRequest("r", replica.nextRequest(0));
    return feed.updateFor("r", index, state, false);
  }

  @Test
  void appliesUpdatesOfAChange() {
    assertTrue(replica.apply(update(1, IN_FORCE)));
    assertTrue(replica.apply(update(2, PENDING)));
    assertArrayEquals(SECOND.bytes(), replica.state().pending().bytes());
    StateUpdate concluded = update(3, CONCLUDED);
    assertEquals(null, concluded.transferToInForce(), "the replica has the pending document already");
    assertTrue(replica.apply(concluded));
    assertEquals(2, replica.state().inForce().version());
    assertEquals(null, replica.state().pending());
  }

  @Test
  void newReplicaCatchesUpWithOneUpdate() {
    assertTrue(replica.apply(update(9, PENDING)));
    assertEquals(1, replica.state().inForce().version());
    assertEquals(2, replica.state().latestVersion());
  }

  /** Updates arrive out of order when messages are reordered, or when a former leader was paused while sending. */
  @Test
  void ignoresOlderUpdate() {
    StateUpdate older = update(1, IN_FORCE);
    assertTrue(replica.apply(update(5, CONCLUDED)));
    assertFalse(replica.apply(older));
    assertEquals(2, replica.state().inForce().version());
    assertEquals(5, replica.appliedIndex());
  }

  @Test
  void ignoresUpdateWithoutItsBaseAndRequestsFromWhatItHas() {
    replica.apply(update(1, IN_FORCE));
    StateUpdate pending = update(2, PENDING);
    // as sent to a replica that has applied the update before
    StateUpdate concluded = new StateUpdate(3, 2, 2, false, null, null, false);
    assertFalse(replica.apply(concluded));
    assertEquals(1, replica.appliedIndex(), "a lease at index 3 must not be valid yet");
    LeaseRequest request = replica.nextRequest(0);
    assertEquals(1, request.latestVersion());
    assertTrue(replica.apply(pending));
  }

  @Test
  void asksVotersInTurnUntilOneIsLeader() {
    replica.nextRequest(0);
    assertEquals("a", replica.leader());
    replica.nextRequest(0);
    assertEquals("b", replica.leader(), "no answer");
    replica.onRedirected("c");
    assertEquals("c", replica.leader());
    replica.nextRequest(0);
    replica.onAnswered("c");
    replica.nextRequest(0);
    assertEquals("c", replica.leader(), "keeps the leader that answers");
    replica.onRedirected("nobody");
    replica.nextRequest(0);
    assertTrue(List.of("a", "b", "c").contains(replica.leader()), "only voters are asked");
  }
}
