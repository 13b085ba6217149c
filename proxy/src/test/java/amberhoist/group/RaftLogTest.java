package amberhoist.group;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.group.disk.FileLogStorage;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RaftLogTest {
  private static final LogPayloadCodec CODEC = new LogPayloadCodec();
  private static final List<RaftEndpoint> MEMBERS = List.of(new MemberId("a"), new MemberId("b"), new MemberId("c"));

  /** Storage in memory that counts calls and can fail. */
  private static final class MemoryStorage implements LogStorage {
    private byte[] file = new byte[0];
    private int forceCount;
    private int compactions;
    private boolean isFull;

    @Override
    public byte[] readAll() {
      return file;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      if (isFull) {
        throw new IOException("full");
      }
      int before = file.length;
      file = Arrays.copyOf(file, before + bytes.length);
      System.arraycopy(bytes, 0, file, before, bytes.length);
    }

    @Override
    public void force() {
      forceCount++;
    }

    @Override
    public void replace(byte[] bytes) {
      compactions++;
      file = bytes.clone();
    }
  }

  private static RaftGroupMembersView view() {
    return CODEC.modelFactory.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(MEMBERS)
        .setVotingMembers(MEMBERS).build();
  }

  private static LogEntry entry(long index, int term, int size) {
    return CODEC.modelFactory.createLogEntryBuilder().setIndex(index).setTerm(term).setOperation(new byte[size])
        .build();
  }

  private static void vote(RaftLog log, int term, String member) throws IOException {
    log.persistAndFlushTerm(CODEC.modelFactory.createRaftTermPersistentStateBuilder().setTerm(term)
        .setVotedFor(member == null ? null : new MemberId(member)).build());
  }

  /** Returns a log with a member, a vote and three entries. */
  private static RaftLog startedLog(LogStorage storage) throws IOException {
    RaftLog log = new RaftLog(storage);
    log.persistAndFlushLocalEndpoint(CODEC.modelFactory.createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(MEMBERS.get(0)).setVoting(true).build());
    log.persistAndFlushInitialGroupMembers(view());
    vote(log, 4, "b");
    log.persistLogEntries(List.of(entry(1, 3, 5), entry(2, 4, 0), entry(3, 4, 7)));
    log.flush();
    return log;
  }

  private static List<Long> indexes(RestoredRaftState state) {
    return state.getLogEntries().stream().map(LogEntry::getIndex).toList();
  }

  @Test
  void recoversFlushedState() throws IOException {
    MemoryStorage storage = new MemoryStorage();
    startedLog(storage);
    RestoredRaftState again = new RaftLog(storage).restoredState();
    assertEquals(MEMBERS.get(0), again.getLocalEndpointPersistentState().getLocalEndpoint());
    assertEquals(MEMBERS, List.copyOf(again.getInitialGroupMembers().getMembers()));
    assertEquals(4, again.getTermPersistentState().getTerm());
    assertEquals(new MemberId("b"), again.getTermPersistentState().getVotedFor());
    assertEquals(List.of(1L, 2L, 3L), indexes(again));
    assertArrayEquals(new byte[7], (byte[]) again.getLogEntries().get(2).getOperation());
    assertNull(new RaftLog(new MemoryStorage()).restoredState(), "never started");
  }

  @Test
  void flushesEachVoteButNoEntryBeforeFlush() throws IOException {
    MemoryStorage storage = new MemoryStorage();
    RaftLog log = startedLog(storage);
    int before = storage.forceCount;
    vote(log, 5, null);
    assertEquals(before + 1, storage.forceCount);
    assertNull(new RaftLog(storage).restoredState().getTermPersistentState().getVotedFor());
    log.persistLogEntries(List.of(entry(4, 5, 1)));
    assertEquals(List.of(1L, 2L, 3L), indexes(new RaftLog(storage).restoredState()), "not durable before the flush");
  }

  @Test
  void recoversFromTornWriteAtAnyByte() throws IOException {
    MemoryStorage whole = new MemoryStorage();
    RaftLog log = startedLog(whole);
    int before = whole.file.length;
    vote(log, 9, "c");
    for (int length = before; length < whole.file.length; length++) {
      for (boolean grown : List.of(false, true)) { // the file may have grown before its data was written
        MemoryStorage torn = new MemoryStorage();
        torn.file = Arrays.copyOf(Arrays.copyOf(whole.file, length), grown ? whole.file.length + 100 : length);
        if (grown && length > before) {
          continue; // a frame of full length with wrong content: tested below
        }
        RaftLog again = new RaftLog(torn);
        assertEquals(4, again.restoredState().getTermPersistentState().getTerm(), "torn at " + length);
        vote(again, 7, "a");
        assertEquals(7, new RaftLog(torn).restoredState().getTermPersistentState().getTerm(),
            "writable after recovery");
      }
    }
  }

  @Test
  void reportsAnyFlippedBitAsCorruption() throws IOException {
    MemoryStorage whole = new MemoryStorage();
    startedLog(whole);
    for (int bit = 0; bit < 8 * whole.file.length; bit++) {
      MemoryStorage flipped = new MemoryStorage();
      flipped.file = whole.file.clone();
      flipped.file[bit / 8] ^= (byte) (1 << bit % 8);
      CorruptLogException thrown = assertThrows(CorruptLogException.class, () -> new RaftLog(flipped));
      assertTrue(thrown.getMessage().contains("corrupt at byte"), thrown.getMessage());
    }
  }

  @Test
  void truncatedEntriesStayTruncated() throws IOException {
    MemoryStorage storage = new MemoryStorage();
    RaftLog log = startedLog(storage);
    log.truncateLogEntriesFrom(3);
    log.persistLogEntries(List.of(entry(3, 5, 1), entry(4, 5, 1)));
    log.truncateLogEntriesUntil(1);
    log.flush();
    assertEquals(List.of(2L, 3L, 4L), indexes(new RaftLog(storage).restoredState()));
    assertEquals(5, new RaftLog(storage).restoredState().getLogEntries().get(1).getTerm());
  }

  @Test
  void usesSnapshotOnceAllChunksAreThere() throws IOException {
    MemoryStorage storage = new MemoryStorage();
    RaftLog log = startedLog(storage);
    for (int part = 0; part < 2; part++) {
      log.persistSnapshotChunk(CODEC.modelFactory.createSnapshotChunkBuilder().setIndex(2).setTerm(4)
          .setSnapshotChunkIndex(part).setSnapshotChunkCount(2).setOperation(new byte[] {1})
          .setGroupMembersView(view()).build());
      log.flush();
      RestoredRaftState again = new RaftLog(storage).restoredState();
      assertEquals(part == 1, again.getSnapshotEntry() != null && again.getSnapshotEntry().getIndex() == 2);
      assertEquals(part == 1 ? List.of(3L) : List.of(1L, 2L, 3L), indexes(again));
    }
    log.deleteSnapshotChunks(2, 2);
    log.flush();
    assertEquals(List.of(1L, 2L, 3L), indexes(new RaftLog(storage).restoredState()));
  }

  @Test
  void compactsFileWhenMostOfItIsObsolete() throws IOException {
    MemoryStorage storage = new MemoryStorage();
    RaftLog log = startedLog(storage);
    for (long index = 4; index < 500; index++) {
      log.persistLogEntries(List.of(entry(index, 5, 1000)));
      log.truncateLogEntriesUntil(index - 1);
      log.flush();
    }
    assertTrue(storage.compactions > 2, storage.compactions + " compactions");
    assertTrue(storage.file.length < 200_000, storage.file.length + " bytes, of half a million written");
    RestoredRaftState again = new RaftLog(storage).restoredState();
    assertEquals(List.of(499L), indexes(again));
    assertEquals(4, again.getTermPersistentState().getTerm());
  }

  @Test
  void rejectsWritesAfterFailedWrite() throws IOException {
    MemoryStorage storage = new MemoryStorage();
    RaftLog log = startedLog(storage);
    storage.isFull = true;
    assertThrows(IOException.class, () -> vote(log, 5, "c"));
    storage.isFull = false;
    assertFalse(log.isHealthy());
    assertThrows(IOException.class, () -> vote(log, 6, "c"));
    assertEquals(4, new RaftLog(storage).restoredState().getTermPersistentState().getTerm());
  }

  @Test
  void recoversFromCompactedFile(@TempDir Path folder) throws IOException {
    try (FileLogStorage storage = new FileLogStorage(folder.resolve("m"))) {
      RaftLog log = startedLog(storage);
      for (long index = 4; index < 200; index++) {
        log.persistLogEntries(List.of(entry(index, 5, 1000)));
        log.truncateLogEntriesUntil(index - 1);
        log.flush();
      }
    }
    Path file = folder.resolve("m/group.log");
    assertTrue(Files.size(file) < 200_000);
    Files.write(folder.resolve("m/group.log.new"), new byte[9]); // left by a crash before it was renamed
    try (FileLogStorage storage = new FileLogStorage(folder.resolve("m"))) {
      assertEquals(List.of(199L), indexes(new RaftLog(storage).restoredState()));
      assertFalse(Files.exists(folder.resolve("m/group.log.new")));
    }
  }
}
