package amberhoist.distribution.controller;

import amberhoist.distribution.Document;
import amberhoist.distribution.PolicyState;
import amberhoist.distribution.Transfer;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import java.util.List;
import java.util.zip.DataFormatException;

/**
 * What a controller that is no member of the group knows of its log, as leaders have told it. Each update is a prefix
 * of the one log, so the one with the highest index counts, whoever sent it. It keeps nothing on disk.
 */
final class Replica implements Follower {
  private final List<String> voters;
  private int asked;
  private String leader;
  private boolean answered = true;
  private long applied;
  private PolicyState state = PolicyState.EMPTY;
  private boolean prepared;

  /** A replica that asks these members in turn until one leads. */
  Replica(List<String> voters, int first) {
    this.voters = List.copyOf(voters);
    asked = first;
  }

  @Override
  public String leader() {
    return leader != null ? leader : voters.get(Math.floorMod(asked, voters.size()));
  }

  @Override
  public long applied() {
    return applied;
  }

  @Override
  public PolicyState state() {
    return state;
  }

  @Override
  public boolean prepared() {
    return prepared;
  }

  /** The next request for a lease; where the one before had no answer the next member is asked. */
  LeaseRequest request(long now) {
    if (!answered) {
      leader = null;
      asked++;
    }
    answered = false;
    return new LeaseRequest(now, state.inForce().version(), state.latest(), true);
  }

  void answered(String by) {
    answered = true;
    leader = by;
  }

  /** The member that was asked does not lead. */
  void redirected(String to) {
    answered = to != null && voters.contains(to);
    leader = answered ? to : null;
  }

  /** Takes an update; whether it led on. One that does not fit what is held is left out; the next request says so. */
  boolean take(StateUpdate update) {
    if (update.index() <= applied) {
      return false;
    }
    Document inForce = document(update.inForce(), update.toInForce(), state.inForce());
    Document pending = !update.pending() ? null : document(update.latest(), update.toPending(), inForce);
    if (inForce == null || update.pending() && pending == null) {
      return false;
    }
    applied = update.index();
    state = new PolicyState(inForce, update.latest(), pending);
    prepared = update.prepared();
    return true;
  }

  /** The document of this version: one that is held, or where the transfer leads from this base. */
  private Document document(long version, Transfer transfer, Document base) {
    if (transfer == null) {
      return held(version);
    }
    try {
      Document document = base == null ? null : transfer.apply(base);
      return document != null && document.checksum() == transfer.checksum() ? document : null;
    } catch (DataFormatException unfit) {
      return null;
    }
  }

  private Document held(long version) {
    if (state.isPending(version)) {
      return state.pending();
    }
    return state.inForce().version() == version ? state.inForce() : null;
  }
}
