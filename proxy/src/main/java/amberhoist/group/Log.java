package amberhoist.group;

import amberhoist.group.Frames.Frame;
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
 * What a member must not forget: its vote, its term, the entries it has acknowledged, the latest snapshot. A method
 * named for it returns only once that outlives a crash; after a fault the log takes nothing more.
 */
public final class Log implements RaftStore {
  private static final int SELF = 1;
  private static final int INITIAL = 2;
  private static final int TERM = 3;
  private static final int ENTRY = 4;
  private static final int CHUNK = 5;
  private static final int DROP_FROM = 6;
  private static final int DROP_UNTIL = 7;
  private static final int DROP_CHUNKS = 8;
  private static final int LEAST_REWRITE = 64 << 10; // bytes: a smaller file is not worth it

  private final Codec codec = new Codec();
  private final Disk disk;
  private final List<byte[]> waiting = new ArrayList<>();
  private RaftEndpointPersistentState self;
  private RaftGroupMembersView initial;
  private RaftTermPersistentState term = codec.models.createRaftTermPersistentStateBuilder().setTerm(0).build();
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, Map<Integer, SnapshotChunk>> chunks = new TreeMap<>(); // by index
  private long written; // bytes in the file
  private long live; // of them at the last rewrite
  private IOException fault;

  /**
   * Reads what is there, and cuts off what a crash tore.
   *
   * @throws DamagedLogException when it must not be trusted
   */
  public Log(Disk disk) throws IOException {
    this.disk = disk;
    byte[] file = disk.read();
    Frames.Content content = Frames.read(file);
    for (Frame frame : content.frames()) {
      take(frame);
    }
    written = content.sound();
    if (content.sound() < file.length) {
      rewrite();
    }
  }

  private void take(Frame frame) throws IOException {
    byte[] payload = frame.payload();
    switch (frame.kind()) {
      case SELF -> self = Codec.of(payload, in -> codec.models.createRaftEndpointPersistentStateBuilder()
          .setLocalEndpoint(Codec.member(in)).setVoting(in.readBoolean()).build());
      case INITIAL -> initial = Codec.of(payload, codec::view);
      case TERM -> term = Codec.of(payload, in -> codec.models.createRaftTermPersistentStateBuilder()
          .setTerm(in.readInt()).setVotedFor(Codec.member(in)).build());
      case ENTRY -> {
        LogEntry entry = Codec.of(payload, codec::entry);
        entries.put(entry.getIndex(), entry);
      }
      case CHUNK -> {
        SnapshotChunk chunk = Codec.of(payload, codec::chunk);
        chunks.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
      }
      case DROP_FROM -> entries.tailMap(Codec.of(payload, in -> in.readLong()), true).clear();
      case DROP_UNTIL -> entries.headMap(Codec.of(payload, in -> in.readLong()), true).clear();
      case DROP_CHUNKS -> chunks.remove(Codec.of(payload, in -> in.readLong()));
      default -> throw new IOException("a frame of kind " + frame.kind() + ", by a later version");
    }
  }

  private List<SnapshotChunk> snapshot() {
    List<SnapshotChunk> whole = List.of();
    for (Map<Integer, SnapshotChunk> some : chunks.values()) {
      SnapshotChunk any = some.values().iterator().next();
      whole = some.size() == any.getSnapshotChunkCount() ? List.copyOf(some.values()) : whole;
    }
    return whole;
  }

  /** The index up to which the latest snapshot goes, 0 where there is none. */
  long covered() {
    List<SnapshotChunk> whole = snapshot();
    return whole.isEmpty() ? 0 : whole.get(0).getIndex();
  }

  /** Whether this entry is here: two of one index and term are the same. */
  boolean holds(LogEntry entry) {
    LogEntry here = entries.get(entry.getIndex());
    return here != null && here.getTerm() == entry.getTerm();
  }

  /** Whether another entry is here in its place. */
  boolean differs(LogEntry entry) {
    return entries.containsKey(entry.getIndex()) && !holds(entry);
  }

  /** The library's messages are made by this. */
  RaftModelFactory models() {
    return codec.models;
  }

  /** What a member starts again with, or null when it has never started. */
  public RestoredRaftState restored() {
    if (self == null || initial == null) {
      return null;
    }
    List<SnapshotChunk> whole = snapshot();
    long covered = covered();
    return new RestoredRaftState(self, initial, term, whole.isEmpty() ? null : codec.models.createSnapshotEntryBuilder()
        .setIndex(covered).setTerm(whole.get(0).getTerm()).setSnapshotChunks(whole)
        .setGroupMembersView(whole.get(0).getGroupMembersView()).build(),
        List.copyOf(entries.tailMap(covered, false).values()));
  }

  private void put(int kind, Codec.Writer payload) throws IOException {
    byte[] bytes = Codec.bytes(payload);
    take(new Frame(kind, bytes));
    waiting.add(Frames.frame(kind, bytes));
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    put(SELF, out -> {
      Codec.member(out, state.getLocalEndpoint());
      out.writeBoolean(state.isVoting());
    });
    flush();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    put(INITIAL, out -> codec.view(out, members));
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    put(TERM, out -> {
      out.writeInt(state.getTerm());
      Codec.member(out, state.getVotedFor());
    });
    flush();
  }

  @Override
  public void persistLogEntries(List<LogEntry> added) throws IOException {
    for (LogEntry entry : added) {
      put(ENTRY, out -> codec.entry(out, entry));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    put(CHUNK, out -> codec.chunk(out, chunk));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    put(DROP_FROM, out -> out.writeLong(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    put(DROP_UNTIL, out -> out.writeLong(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    put(DROP_CHUNKS, out -> out.writeLong(index));
  }

  @Override
  public void flush() throws IOException {
    if (fault != null) {
      throw new IOException("the log takes nothing more since: " + fault.getMessage(), fault);
    }
    if (waiting.isEmpty()) {
      return;
    }
    try {
      byte[] bytes = Frames.join(waiting);
      waiting.clear();
      disk.append(bytes);
      disk.force();
      written += bytes.length;
      if (written > LEAST_REWRITE && written > 2 * live) {
        rewrite();
      }
    } catch (IOException failed) {
      fault = failed; // what the disk holds is not known any more
      throw failed;
    }
  }

  /** Whether all that was asked of it so far has been done. */
  public boolean sound() {
    return fault == null;
  }

  /** Writes what still counts into the file's place. */
  private void rewrite() throws IOException {
    if (self != null) {
      persistLater(SELF, out -> {
        Codec.member(out, self.getLocalEndpoint());
        out.writeBoolean(self.isVoting());
      });
    }
    if (initial != null) {
      persistLater(INITIAL, out -> codec.view(out, initial));
    }
    persistLater(TERM, out -> {
      out.writeInt(term.getTerm());
      Codec.member(out, term.getVotedFor());
    });
    for (Map<Integer, SnapshotChunk> some : chunks.values()) {
      for (SnapshotChunk chunk : some.values()) {
        persistLater(CHUNK, out -> codec.chunk(out, chunk));
      }
    }
    for (LogEntry entry : entries.values()) {
      persistLater(ENTRY, out -> codec.entry(out, entry));
    }
    byte[] all = Frames.join(waiting);
    waiting.clear();
    disk.replace(all);
    written = all.length;
    live = all.length;
  }

  private void persistLater(int kind, Codec.Writer payload) throws IOException {
    waiting.add(Frames.frame(kind, Codec.bytes(payload)));
  }
}
