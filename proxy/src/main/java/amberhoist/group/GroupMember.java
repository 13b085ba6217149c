package amberhoist.group;

import amberhoist.rollout.Sequence;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import io.microraft.Ordered;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNode.RaftNodeBuilder;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.Collection;
import java.util.List;
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
    /** This change stands at this index of the log, that became of it, and this is the latest version now. */
    void applied(long index, Change change, Verdict verdict, long version);

    /** The member goes on from a snapshot up to this index. */
    void installed(long index, long version);
  }

  private final RaftNode node;
  private final Log log;
  private final Sequence sequence;

  /**
   * A member that goes on by this log, or begins with it when it is empty.
   *
   * @param all the members that the group began with, this one among them
   * @param sequence an empty one, which the log leads on from its beginning or its snapshot
   */
  public GroupMember(Member self, Collection<Member> all, Log log, Sequence sequence, Transport transport,
      RaftNodeExecutor executor, Clock clock, long seed, Listener listener) {
    this.sequence = sequence;
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

  /** Takes part no more. */
  public void stop() {
    node.terminate();
  }

  /** A message of another member has come. */
  public void handle(RaftMessage message) {
    node.handle(message);
  }

  /** Asks the group for a change; fails where this member does not lead, or cannot tell what became of it. */
  public CompletableFuture<Ordered<Verdict>> change(Change change) {
    CompletableFuture<Ordered<Verdict>> answer = node.replicate(change.bytes());
    return answer.thenApply(decided -> {
      checkLog();
      return decided;
    });
  }

  /** Whether its log has taken all so far. One whose log has failed is to be ended: it says and learns nothing more. */
  public boolean sound() {
    return log.sound();
  }

  private void checkLog() {
    if (!log.sound()) {
      throw new IllegalStateException("the log has failed");
    }
  }

  /**
   * Lets nothing out once the log has failed. Guards against the library, which goes on in memory after a failed write
   * and would vote and acknowledge by what no disk holds.
   */
  private final class Gate implements Transport {
    private final Transport to;

    Gate(Transport to) {
      this.to = to;
    }

    @Override
    public void send(RaftEndpoint member, RaftMessage message) {
      if (log.sound()) {
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

  /** The latest version that this member has learned of. */
  public long version() {
    return sequence.version();
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
      if (command.length == 0) {
        return null; // the first entry of a new term
      }
      Change change = Change.of(command);
      Verdict verdict = sequence.take(change);
      listener.applied(index, change, verdict, sequence.version());
      return verdict;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
      chunks.accept(sequence.snapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
      sequence.install((byte[]) chunks.get(0));
      listener.installed(index, sequence.version());
    }

    @Override
    public Object getNewTermOperation() {
      return new byte[0];
    }
  }
}
