package amberhoist.group;

import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import amberhoist.rollout.Rollout;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNode.RaftNodeBuilder;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A member of the group: a Raft node of the MicroRaft library whose state machine is the rollout of the policy.
 * Transport, executor, clock and log are passed in. Everything that the executor runs is confined to one thread at a
 * time.
 */
public final class GroupMember {
  private static final RaftConfig RAFT_CONFIG = RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(1000)
      .setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(3).setCommitCountToTakeSnapshot(64)
      .setMaxPendingLogEntryCount(1024).setAppendEntriesRequestBatchSize(64)
      .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(60).build();

  /** Gets a callback for each step of the state machine, in the order of the log. */
  public interface Listener {
    /**
     * A committed command was applied.
     *
     * @param index the command's log index
     * @param result the result of the change that the command proposes, null for other commands
     */
    void onApplied(long index, byte[] command, ChangeResult result);

    /** A snapshot that includes the log up to this index has replaced the state. */
    void onSnapshotInstalled(long index);
  }

  private final RaftNode node;
  private final RaftLog log;
  private final Rollout rollout;
  private long appliedIndex;
  private boolean needsRestart;

  /**
   * Creates a member that restarts from the log, or starts for the first time when the log is empty.
   *
   * @param initialMembers the initial members of the group, including this one
   * @param rollout the state machine in its initial state; the member applies the snapshot and the log to it
   * @param seed of the random election timeouts
   */
  public GroupMember(MemberId self, Collection<MemberId> initialMembers, RaftLog log, Rollout rollout,
      Transport transport, RaftNodeExecutor executor, Clock clock, long seed, Listener listener) {
    this.rollout = rollout;
    this.log = log;
    RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId("policy").setConfig(RAFT_CONFIG).setStore(log)
        .setTransport(new FencedTransport(transport)).setExecutor(executor).setClock(clock).setRandom(new Random(seed))
        .setStateMachine(new RolloutStateMachine(listener));
    RestoredRaftState restored = log.restoredState();
    if (restored == null) {
      List<RaftEndpoint> endpoints = List.copyOf(initialMembers);
      builder.setLocalEndpoint(self).setInitialGroupMembers(endpoints);
    } else {
      builder.setRestoredState(restored);
    }
    node = builder.build();
  }

  /** Starts the Raft node. */
  public void start() {
    node.start();
  }

  /**
   * Handles a message from another member.
   *
   * @throws IOException when writing the log fails
   */
  public void handle(RaftMessage message) throws IOException {
    if (needsRestart) {
      return;
    }
    if (message instanceof AppendEntriesRequest request && request.getTerm() >= term()
        && request.getPreviousLogIndex() > 0 && request.getPreviousLogIndex() == log.snapshotIndex()) {
      appendAfterSnapshot(request);
    } else {
      if (message instanceof PreVoteResponse response && !response.isGranted() && response.getTerm() > term() + 1) {
        adoptTerm(response);
      }
      node.handle(message);
    }
  }

  /**
   * Adopts the term of a member that is ahead. The library does not adopt it from a rejected pre-vote. So the member
   * with the longest log but the lowest term would never win an election, and neither would the others with their
   * shorter logs. A vote request in the sender's name with an empty log makes the node adopt the term; if the node
   * grants the vote, that is safe, since the sender may have it.
   */
  private void adoptTerm(PreVoteResponse rejection) {
    node.handle(log.modelFactory().createVoteRequestBuilder().setGroupId(rejection.getGroupId())
        .setSender(rejection.getSender()).setTerm(rejection.getTerm()).setLastLogTerm(0).setLastLogIndex(0)
        .setSticky(false).build());
  }

  /**
   * Handles entries that directly follow the latest snapshot while this log has entries there, too. The library looks
   * up the entry before them, which only the snapshot includes, and would reject the request forever. So the entries
   * that this log already contains are left out of the request. If the first entry conflicts with the one in this log,
   * the log's entries from there on were never committed, since a leader has all committed entries: they are truncated,
   * and the member has to be restarted.
   */
  private void appendAfterSnapshot(AppendEntriesRequest request) throws IOException {
    List<LogEntry> entries = request.getLogEntries();
    int matching = 0;
    while (matching < entries.size() && log.contains(entries.get(matching))) {
      matching++;
    }
    if (matching > 0) {
      LogEntry last = entries.get(matching - 1);
      node.handle(log.modelFactory().createAppendEntriesRequestBuilder().setGroupId(request.getGroupId())
          .setSender(request.getSender()).setTerm(request.getTerm()).setPreviousLogIndex(last.getIndex())
          .setPreviousLogTerm(last.getTerm()).setCommitIndex(request.getCommitIndex())
          .setLogEntries(entries.subList(matching, entries.size()))
          .setQuerySequenceNumber(request.getQuerySequenceNumber())
          .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber()).build());
    } else if (!entries.isEmpty() && log.conflictsWith(entries.get(0))) {
      log.truncateLogEntriesFrom(entries.get(0).getIndex());
      log.flush();
      needsRestart = true;
    } else {
      node.handle(request);
    }
  }

  /** Whether the member handles nothing more until it is restarted from its log. */
  public boolean needsRestart() {
    return needsRestart;
  }

  /** Proposes a change to the group; fails where this member is not the leader, or when the result is unknown. */
  public CompletableFuture<Ordered<ChangeResult>> propose(PolicyChange change) {
    return failIfLogFailed(node.replicate(Rollout.proposeCommand(change)));
  }

  /** Replicates another command of {@link Rollout}; fails as {@link #propose} does. */
  public CompletableFuture<Ordered<Object>> replicate(byte[] command) {
    return failIfLogFailed(node.replicate(command));
  }

  /**
   * Completes once a quorum has confirmed, after this call, that this member is the leader. The result has the commit
   * index of that moment.
   */
  public CompletableFuture<Ordered<Object>> confirmLeadership() {
    return failIfLogFailed(node.query(new byte[0], QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()));
  }

  private <T> CompletableFuture<T> failIfLogFailed(CompletableFuture<T> future) {
    return future.thenApply(result -> {
      checkLog();
      return result;
    });
  }

  /** Returns the index of the last log entry applied, or included in the snapshot installed. */
  public long appliedIndex() {
    return appliedIndex;
  }

  /** Returns the state machine, as of {@link #appliedIndex}. */
  public Rollout rollout() {
    return rollout;
  }

  /** Whether no write to the log has failed. If one has, the member sends and applies nothing more: terminate it. */
  public boolean isLogHealthy() {
    return log.isHealthy();
  }

  /**
   * Whether the library's state in memory matches the log. It does not after a failed write, nor after
   * {@link #appendAfterSnapshot} has truncated the log.
   */
  private boolean stateMatchesLog() {
    return log.isHealthy() && !needsRestart;
  }

  private void checkLog() {
    if (!stateMatchesLog()) {
      throw new IllegalStateException("the log has failed, or the member has to be restarted from it");
    }
  }

  /**
   * Drops all outgoing messages once the state in memory no longer matches the log. The library would go on with its
   * state in memory, and would send votes and acknowledgements that are not durable.
   */
  private final class FencedTransport implements Transport {
    private final Transport delegate;

    FencedTransport(Transport delegate) {
      this.delegate = delegate;
    }

    @Override
    public void send(RaftEndpoint member, RaftMessage message) {
      if (stateMatchesLog()) {
        delegate.send(member, message);
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint member) {
      return delegate.isReachable(member);
    }
  }

  /** Returns the leader that this member knows of, or null. */
  public MemberId leader() {
    return (MemberId) node.getTerm().getLeaderEndpoint();
  }

  /** Returns the term of this member. */
  public int term() {
    return node.getTerm().getTerm();
  }

  /** Applies committed commands to the rollout. */
  private final class RolloutStateMachine implements StateMachine {
    private final Listener listener;

    RolloutStateMachine(Listener listener) {
      this.listener = listener;
    }

    @Override
    public Object runOperation(long index, Object operation) {
      checkLog();
      byte[] command = (byte[]) operation;
      appliedIndex = Math.max(appliedIndex, index);
      if (command.length == 0) {
        return null; // the first entry of a new term, or a linearizable query
      }
      ChangeResult result = rollout.apply(command);
      listener.onApplied(index, command, result);
      return result;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
      chunks.accept(rollout.snapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
      rollout.installSnapshot((byte[]) chunks.get(0));
      appliedIndex = Math.max(appliedIndex, index);
      listener.onSnapshotInstalled(index);
    }

    @Override
    public Object getNewTermOperation() {
      return new byte[0];
    }
  }
}
