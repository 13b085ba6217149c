package amberhoist.group;

import amberhoist.rollout.Rollout;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
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
 * One member of the group: agreement by the library, over a transport, an executor, a clock and a log from outside. All
 * that the executor runs belongs to one thread at a time.
 */
public final class GroupMember {
  private static final RaftConfig TIMES = RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(1000)
      .setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(3).setCommitCountToTakeSnapshot(64)
      .setMaxPendingLogEntryCount(1024).setAppendEntriesRequestBatchSize(64)
      .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(60).build();

  /** Is told what a member has learned, in the log's order. */
  public interface Listener {
    /** This command stands at this index of the log; of a change that it proposes, that became. */
    void applied(long index, byte[] command, Verdict verdict);

    /** The member goes on from a snapshot up to this index. */
    void installed(long index);
  }

  private final RaftNode node;
  private final Log log;
  private final Rollout rollout;
  private long applied;
  private boolean stuck;

  /**
   * A member that goes on by this log, or begins with it when it is empty.
   *
   * @param all the members that the group began with, this one among them
   * @param rollout one with nothing in it, which the log leads on from its beginning or its snapshot
   */
  public GroupMember(Member self, Collection<Member> all, Log log, Rollout rollout, Transport transport,
      RaftNodeExecutor executor, Clock clock, long seed, Listener listener) {
    this.rollout = rollout;
    this.log = log;
    RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId("policy").setConfig(TIMES).setStore(log)
        .setTransport(new Gate(transport)).setExecutor(executor).setClock(clock).setRandom(new Random(seed))
        .setStateMachine(new Machine(listener));
    RestoredRaftState restored = log.restored();
    if (restored == null) {
      List<RaftEndpoint> endpoints = List.copyOf(all);
      builder.setLocalEndpoint(self).setInitialGroupMembers(endpoints);
    } else {
      builder.setRestoredState(restored);
    }
    node = builder.build();
  }

  /** Begins to take part. */
  public void start() {
    node.start();
  }

  /**
   * A message of another member has come.
   *
   * @throws IOException when the log has failed
   */
  public void handle(RaftMessage message) throws IOException {
    if (stuck) {
      return;
    }
    if (message instanceof AppendEntriesRequest request && request.getTerm() >= term()
        && request.getPreviousLogIndex() > 0 && request.getPreviousLogIndex() == log.covered()) {
      follow(request);
    } else {
      if (message instanceof PreVoteResponse response && !response.isGranted() && response.getTerm() > term() + 1) {
        catchUp(response);
      }
      node.handle(message);
    }
  }

  /**
   * Goes on to the term of one that is ahead. The library does not when its pre-vote is rejected for its term: a member
   * with the longest log and the lowest term then never wins, and the others with shorter logs neither. A request for a
   * vote, by an empty log, brings the term with it; the vote, where it is given, is one that the other may have.
   */
  private void catchUp(PreVoteResponse ahead) {
    node.handle(log.models().createVoteRequestBuilder().setGroupId(ahead.getGroupId()).setSender(ahead.getSender())
        .setTerm(ahead.getTerm()).setLastLogTerm(0).setLastLogIndex(0).setSticky(false).build());
  }

  /**
   * Takes entries that follow right behind the latest snapshot while there are entries here, too. The library looks for
   * the entry before them, which only the snapshot has, and would refuse them for ever. So those that are here already
   * are left out. Where the first is another than the one here, what stands here from there on was never decided, since
   * a leader has all that was: it is dropped, and the member has to be started anew.
   */
  private void follow(AppendEntriesRequest request) throws IOException {
    List<LogEntry> entries = request.getLogEntries();
    int same = 0;
    while (same < entries.size() && log.holds(entries.get(same))) {
      same++;
    }
    if (same > 0) {
      LogEntry last = entries.get(same - 1);
      node.handle(log.models().createAppendEntriesRequestBuilder().setGroupId(request.getGroupId())
          .setSender(request.getSender()).setTerm(request.getTerm()).setPreviousLogIndex(last.getIndex())
          .setPreviousLogTerm(last.getTerm()).setCommitIndex(request.getCommitIndex())
          .setLogEntries(entries.subList(same, entries.size())).setQuerySequenceNumber(request.getQuerySequenceNumber())
          .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber()).build());
    } else if (!entries.isEmpty() && log.differs(entries.get(0))) {
      log.truncateLogEntriesFrom(entries.get(0).getIndex());
      log.flush();
      stuck = true;
    } else {
      node.handle(request);
    }
  }

  /** Whether it can go on only after a new start by its log. */
  public boolean stuck() {
    return stuck;
  }

  /** Asks the group for a change; fails where this member does not lead, or cannot tell what became of it. */
  public CompletableFuture<Ordered<Verdict>> change(Change change) {
    return checked(node.replicate(Rollout.propose(change)));
  }

  /** Asks the group to take one of the other commands of {@link Rollout}. */
  public CompletableFuture<Ordered<Object>> command(byte[] command) {
    return checked(node.replicate(command));
  }

  /** Ends well once a majority has confirmed, after this call, that this member leads; with the index known by then. */
  public CompletableFuture<Ordered<Object>> confirm() {
    return checked(node.query(new byte[0], QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()));
  }

  private <T> CompletableFuture<T> checked(CompletableFuture<T> answer) {
    return answer.thenApply(decided -> {
      checkLog();
      return decided;
    });
  }

  /** How far it has followed the log. */
  public long applied() {
    return applied;
  }

  /** Where the log has led it. */
  public Rollout rollout() {
    return rollout;
  }

  /** Whether its log has taken all so far. One whose log has failed is to be ended: it says and learns nothing more. */
  public boolean sound() {
    return log.sound();
  }

  /** Whether memory and disk agree: the library's memory outlives a failed write, and what {@link #follow} drops. */
  private boolean trusted() {
    return log.sound() && !stuck;
  }

  private void checkLog() {
    if (!trusted()) {
      throw new IllegalStateException("the log has failed, or is to be read anew");
    }
  }

  /**
   * Lets nothing out once the log has failed or is to be read anew. Guards against the library, which goes on in memory
   * and would vote and acknowledge by what no disk holds.
   */
  private final class Gate implements Transport {
    private final Transport to;

    Gate(Transport to) {
      this.to = to;
    }

    @Override
    public void send(RaftEndpoint member, RaftMessage message) {
      if (trusted()) {
        to.send(member, message);
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint member) {
      return to.isReachable(member);
    }
  }

  /** The member that leads, as far as this one knows, or null. */
  public Member leader() {
    return (Member) node.getTerm().getLeaderEndpoint();
  }

  /** The term that this member is in. */
  public int term() {
    return node.getTerm().getTerm();
  }

  /** What the log leads to. */
  private final class Machine implements StateMachine {
    private final Listener listener;

    Machine(Listener listener) {
      this.listener = listener;
    }

    @Override
    public Object runOperation(long index, Object operation) {
      checkLog();
      byte[] command = (byte[]) operation;
      applied = Math.max(applied, index);
      if (command.length == 0) {
        return null; // the first entry of a new term, or a question
      }
      Verdict verdict = rollout.take(command);
      listener.applied(index, command, verdict);
      return verdict;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
      chunks.accept(rollout.snapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
      rollout.install((byte[]) chunks.get(0));
      applied = Math.max(applied, index);
      listener.installed(index);
    }

    @Override
    public Object getNewTermOperation() {
      return new byte[0];
    }
  }
}
