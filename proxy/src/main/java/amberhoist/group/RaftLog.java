package amberhoist.group;

import amberhoist.group.FrameCodec.Frame;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The durable Raft state of a member: vote, term, log entries and the latest snapshot. {@link #flush} and the methods
 * with {@code Flush} in their names return only once everything persisted so far is durable. After a failed write every
 * further flush fails, since the content of the storage is unknown.
 */
public final class RaftLog implements RaftStore {
  private static final int LOCAL_ENDPOINT = 1;
  private static final int INITIAL_MEMBERS = 2;
  private static final int TERM = 3;
  private static final int ENTRY = 4;
  private static final int SNAPSHOT_CHUNK = 5;
  private static final int TRUNCATE_FROM = 6;
  private static final int TRUNCATE_UNTIL = 7;
  private static final int DELETE_SNAPSHOT = 8;
  private static final int MIN_COMPACTION_BYTES = 64 << 10; // a smaller file is never compacted

  private final LogPayloadCodec codec = new LogPayloadCodec();
  private final LogStorage storage;
  private final List<byte[]> pendingFrames = new ArrayList<>();
  private RaftEndpointPersistentState localEndpoint;
  private RaftGroupMembersView initialMembers;
  private RaftTermPersistentState term = codec.modelFactory.createRaftTermPersistentStateBuilder().setTerm(0).build();
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, Map<Integer, SnapshotChunk>> chunks = new TreeMap<>(); // by log index, then chunk index
  private long fileBytes;
  private long bytesAfterCompaction;
  private IOException failure;

  /**
   * Recovers the state from the storage, and removes a torn write at its end.
   *
   * @throws CorruptLogException for a log that is corrupt in any other way
   * @throws IOException when the storage fails, or holds a frame of an unknown kind
   */
  public RaftLog(LogStorage storage) throws IOException {
    this.storage = storage;
    byte[] file = storage.readAll();
    FrameCodec.DecodedFrames content = FrameCodec.decode(file);
    for (Frame frame : content.frames()) {
      apply(frame);
    }
    fileBytes = content.validBytes();
    if (content.validBytes() < file.length) {
      compact();
    }
  }

  private void apply(Frame frame) throws IOException {
    byte[] payload = frame.payload();
    switch (frame.kind()) {
      case LOCAL_ENDPOINT -> localEndpoint = LogPayloadCodec.decode(payload,
          in -> codec.modelFactory.createRaftEndpointPersistentStateBuilder()
              .setLocalEndpoint(LogPayloadCodec.member(in)).setVoting(in.readBoolean()).build());
      case INITIAL_MEMBERS -> initialMembers = LogPayloadCodec.decode(payload, codec::membersView);
      case TERM -> term = LogPayloadCodec.decode(payload,
          in -> codec.modelFactory.createRaftTermPersistentStateBuilder()
              .setTerm(in.readInt()).setVotedFor(LogPayloadCodec.member(in)).build());
      case ENTRY -> {
        LogEntry entry = LogPayloadCodec.decode(payload, codec::entry);
        entries.put(entry.getIndex(), entry);
      }
      case SNAPSHOT_CHUNK -> {
        SnapshotChunk chunk = LogPayloadCodec.decode(payload, codec::chunk);
        chunks.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
      }
      case TRUNCATE_FROM -> entries.tailMap(LogPayloadCodec.decode(payload, in -> in.readLong()), true).clear();
      case TRUNCATE_UNTIL -> entries.headMap(LogPayloadCodec.decode(payload, in -> in.readLong()), true).clear();
      case DELETE_SNAPSHOT -> chunks.remove(LogPayloadCodec.decode(payload, in -> in.readLong()));
      default -> throw new IOException("unknown frame kind " + frame.kind() + ", written by a later version");
    }
  }

  /** Returns the chunks of the latest complete snapshot, empty where there is none. */
  private List<SnapshotChunk> latestSnapshot() {
    List<SnapshotChunk> latest = List.of();
    for (Map<Integer, SnapshotChunk> candidate : chunks.values()) {
      SnapshotChunk first = candidate.values().iterator().next();
      latest = candidate.size() == first.getSnapshotChunkCount() ? List.copyOf(candidate.values()) : latest;
    }
    return latest;
  }

  /** Returns the last index that the latest snapshot includes, 0 where there is none. */
  long snapshotIndex() {
    List<SnapshotChunk> snapshotChunks = latestSnapshot();
    return snapshotChunks.isEmpty() ? 0 : snapshotChunks.get(0).getIndex();
  }

  /** Whether the log contains this entry: entries of the same index and term are equal. */
  boolean contains(LogEntry entry) {
    LogEntry existing = entries.get(entry.getIndex());
    return existing != null && existing.getTerm() == entry.getTerm();
  }

  /** Whether the log contains another entry at this entry's index. */
  boolean conflictsWith(LogEntry entry) {
    return entries.containsKey(entry.getIndex()) && !contains(entry);
  }

  /** Returns the factory of the library's messages. */
  RaftModelFactory modelFactory() {
    return codec.modelFactory;
  }

  /** Returns the state to restart the member with, or null when it has never started. */
  public RestoredRaftState restoredState() {
    if (localEndpoint == null || initialMembers == null) {
      return null;
    }
    List<SnapshotChunk> snapshotChunks = latestSnapshot();
    long snapshotIndex = snapshotIndex();
    return new RestoredRaftState(localEndpoint, initialMembers, term,
        snapshotChunks.isEmpty() ? null : codec.modelFactory.createSnapshotEntryBuilder().setIndex(snapshotIndex)
            .setTerm(snapshotChunks.get(0).getTerm()).setSnapshotChunks(snapshotChunks)
            .setGroupMembersView(snapshotChunks.get(0).getGroupMembersView()).build(),
        List.copyOf(entries.tailMap(snapshotIndex, false).values()));
  }

  /** Applies a record to the state in memory and enqueues it for the next flush. */
  private void applyAndEnqueue(int kind, LogPayloadCodec.Writer payload) throws IOException {
    byte[] bytes = LogPayloadCodec.encode(payload);
    apply(new Frame(kind, bytes));
    pendingFrames.add(FrameCodec.encode(kind, bytes));
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    applyAndEnqueue(LOCAL_ENDPOINT, out -> {
      LogPayloadCodec.member(out, state.getLocalEndpoint());
      out.writeBoolean(state.isVoting());
    });
    flush();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    applyAndEnqueue(INITIAL_MEMBERS, out -> codec.membersView(out, members));
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    applyAndEnqueue(TERM, out -> {
      out.writeInt(state.getTerm());
      LogPayloadCodec.member(out, state.getVotedFor());
    });
    flush();
  }

  @Override
  public void persistLogEntries(List<LogEntry> added) throws IOException {
    for (LogEntry entry : added) {
      applyAndEnqueue(ENTRY, out -> codec.entry(out, entry));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    applyAndEnqueue(SNAPSHOT_CHUNK, out -> codec.chunk(out, chunk));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    applyAndEnqueue(TRUNCATE_FROM, out -> out.writeLong(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    applyAndEnqueue(TRUNCATE_UNTIL, out -> out.writeLong(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    applyAndEnqueue(DELETE_SNAPSHOT, out -> out.writeLong(index));
  }

  @Override
  public void flush() throws IOException {
    if (failure != null) {
      throw new IOException("the log is closed after a failed write: " + failure.getMessage(), failure);
    }
    if (pendingFrames.isEmpty()) {
      return;
    }
    try {
      byte[] bytes = FrameCodec.concatenate(pendingFrames);
      pendingFrames.clear();
      storage.append(bytes);
      storage.force();
      fileBytes += bytes.length;
      if (fileBytes > MIN_COMPACTION_BYTES && fileBytes > 2 * bytesAfterCompaction) {
        compact();
      }
    } catch (IOException exception) {
      failure = exception; // the content of the storage is unknown from here on
      throw exception;
    }
  }

  /** Whether no write has failed so far. */
  public boolean isHealthy() {
    return failure == null;
  }

  /** Compacts the log: replaces the file by one with the current state only. */
  private void compact() throws IOException {
    if (localEndpoint != null) {
      enqueue(LOCAL_ENDPOINT, out -> {
        LogPayloadCodec.member(out, localEndpoint.getLocalEndpoint());
        out.writeBoolean(localEndpoint.isVoting());
      });
    }
    if (initialMembers != null) {
      enqueue(INITIAL_MEMBERS, out -> codec.membersView(out, initialMembers));
    }
    enqueue(TERM, out -> {
      out.writeInt(term.getTerm());
      LogPayloadCodec.member(out, term.getVotedFor());
    });
    for (Map<Integer, SnapshotChunk> snapshot : chunks.values()) {
      for (SnapshotChunk chunk : snapshot.values()) {
        enqueue(SNAPSHOT_CHUNK, out -> codec.chunk(out, chunk));
      }
    }
    for (LogEntry entry : entries.values()) {
      enqueue(ENTRY, out -> codec.entry(out, entry));
    }
    byte[] state = FrameCodec.concatenate(pendingFrames);
    pendingFrames.clear();
    storage.replace(state);
    fileBytes = state.length;
    bytesAfterCompaction = state.length;
  }

  /** Enqueues a record for the next write, without applying it. */
  private void enqueue(int kind, LogPayloadCodec.Writer payload) throws IOException {
    pendingFrames.add(FrameCodec.encode(kind, LogPayloadCodec.encode(payload)));
  }
}
