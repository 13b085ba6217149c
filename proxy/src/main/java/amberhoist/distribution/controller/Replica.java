package amberhoist.distribution.controller;

import amberhoist.distribution.Document;
import amberhoist.distribution.PolicyState;
import amberhoist.distribution.Transfer;
import amberhoist.distribution.controller.PeerMessage.LeaseRequest;
import amberhoist.distribution.controller.PeerMessage.StateUpdate;
import java.util.List;
import java.util.zip.DataFormatException;

/**
 * The replicated state at a controller that is no member of the group, as updated by leaders. Each update is the state
 * after a prefix of the one log, so the update with the highest index wins, whichever leader sent it. Nothing is stored
 * on disk.
 */
final class Replica implements ReplicatedState {
  private final List<String> voters;
  private int voterIndex;
  private String leader;
  private boolean isAnswered = true;
  private long appliedIndex;
  private PolicyState state = PolicyState.EMPTY;
  private boolean hasPrepared;

  /**
   * Creates a replica that asks the voters in turn until one of them is the leader.
   *
   * @param first index of the first one asked, modulo their number
   */
  Replica(List<String> voters, int first) {
    this.voters = List.copyOf(voters);
    voterIndex = first;
  }

  @Override
  public String leader() {
    return leader != null ? leader : voters.get(Math.floorMod(voterIndex, voters.size()));
  }

  @Override
  public long appliedIndex() {
    return appliedIndex;
  }

  @Override
  public PolicyState state() {
    return state;
  }

  @Override
  public boolean hasPrepared() {
    return hasPrepared;
  }

  /** Returns the next lease request. It goes to the next voter if the one before was not answered. */
  LeaseRequest nextRequest(long now) {
    if (!isAnswered) {
      leader = null;
      voterIndex++;
    }
    isAnswered = false;
    return new LeaseRequest(now, state.inForce().version(), state.latestVersion(), true);
  }

  /** The leader has answered the request. */
  void onAnswered(String controller) {
    isAnswered = true;
    leader = controller;
  }

  /** The voter that was asked is not the leader; {@code newLeader} is the leader that it knows of, or null. */
  void onRedirected(String newLeader) {
    isAnswered = newLeader != null && voters.contains(newLeader);
    leader = isAnswered ? newLeader : null;
  }

  /**
   * Applies an update. Returns false if it is outdated or does not apply to the documents here; then it is ignored, and
   * the next request names the versions that this replica has.
   */
  boolean apply(StateUpdate update) {
    if (update.index() <= appliedIndex) {
      return false;
    }
    Document inForce = document(update.inForceVersion(), update.transferToInForce(), state.inForce());
    Document pending = !update.isPending() ? null
        : document(update.latestVersion(), update.transferToPending(), inForce);
    if (inForce == null || update.isPending() && pending == null) {
      return false;
    }
    appliedIndex = update.index();
    state = new PolicyState(inForce, update.latestVersion(), pending);
    hasPrepared = update.hasPrepared();
    return true;
  }

  /** Returns the document of this version, from the transfer if there is one; null if it is missing or invalid. */
  private Document document(long version, Transfer transfer, Document base) {
    if (transfer == null) {
      return findDocument(version);
    }
    try {
      Document document = base == null ? null : transfer.apply(base);
      return document != null && document.checksum() == transfer.checksum() ? document : null;
    } catch (DataFormatException invalid) {
      return null;
    }
  }

  /** Returns the document of this version if the replica has it, otherwise null. */
  private Document findDocument(long version) {
    if (state.isPending(version)) {
      return state.pending();
    }
    return state.inForce().version() == version ? state.inForce() : null;
  }
}
