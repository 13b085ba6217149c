package amberhoist.group;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.group.disk.FileDisk;
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

class LogTest {
  private static final Codec CODEC = new Codec();
  private static final List<RaftEndpoint> MEMBERS = List.of(new Member("a"), new Member("b"), new Member("c"));

  /** A disk in memory, which counts what it is asked for and can fail. */
  private static final class Memory implements Disk {
    private byte[] file = new byte[0];
    private int forced;
    private int replaced;
    private boolean full;

    @Override
    public byte[] read() {
      return file;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      if (full) {
        throw new IOException("full");
      }
      int before = file.length;
      file = Arrays.copyOf(file, before + bytes.length);
      System.arraycopy(bytes, 0, file, before, bytes.length);
    }

    @Override
    public void force() {
      forced++;
    }

    @Override
    public void replace(byte[] bytes) {
      replaced++;
      file = bytes.clone();
    }
  }

  private static RaftGroupMembersView view() {
    return CODEC.models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(MEMBERS)
        .setVotingMembers(MEMBERS).build();
  }

  private static LogEntry entry(long index, int term, int size) {
    return CODEC.models.createLogEntryBuilder().setIndex(index).setTerm(term).setOperation(new byte[size]).build();
  }

  private static void vote(Log log, int term, String member) throws IOException {
    log.persistAndFlushTerm(CODEC.models.createRaftTermPersistentStateBuilder().setTerm(term)
        .setVotedFor(member == null ? null : new Member(member)).build());
  }

  /** A log with a member, a vote and three entries. */
  private static Log begun(Disk disk) throws IOException {
    Log log = new Log(disk);
    log.persistAndFlushLocalEndpoint(CODEC.models.createRaftEndpointPersistentStateBuilder()
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
  void whatWasForcedIsThereAgain() throws IOException {
    Memory disk = new Memory();
    begun(disk);
    RestoredRaftState again = new Log(disk).restored();
    assertEquals(MEMBERS.get(0), again.getLocalEndpointPersistentState().getLocalEndpoint());
    assertEquals(MEMBERS, List.copyOf(again.getInitialGroupMembers().getMembers()));
    assertEquals(4, again.getTermPersistentState().getTerm());
    assertEquals(new Member("b"), again.getTermPersistentState().getVotedFor());
    assertEquals(List.of(1L, 2L, 3L), indexes(again));
    assertArrayEquals(new byte[7], (byte[]) again.getLogEntries().get(2).getOperation());
    assertNull(new Log(new Memory()).restored(), "never started");
  }

  @Test
  void eachVoteIsForcedBeforeItCounts() throws IOException {
    Memory disk = new Memory();
    Log log = begun(disk);
    int before = disk.forced;
    vote(log, 5, null);
    assertEquals(before + 1, disk.forced);
    assertNull(new Log(disk).restored().getTermPersistentState().getVotedFor());
    log.persistLogEntries(List.of(entry(4, 5, 1)));
    assertEquals(List.of(1L, 2L, 3L), indexes(new Log(disk).restored()), "not before it is flushed");
  }

  @Test
  void anEndThatWasTornIsCutWhereverItTore() throws IOException {
    Memory whole = new Memory();
    Log log = begun(whole);
    int before = whole.file.length;
    vote(log, 9, "c");
    for (int length = before; length < whole.file.length; length++) {
      for (boolean grown : List.of(false, true)) { // the file may have grown before the bytes were there
        Memory torn = new Memory();
        torn.file = Arrays.copyOf(Arrays.copyOf(whole.file, length), grown ? whole.file.length + 100 : length);
        if (grown && length > before) {
          continue; // within a frame that is whole by its length: the next test
        }
        Log again = new Log(torn);
        assertEquals(4, again.restored().getTermPersistentState().getTerm(), "torn at " + length);
        vote(again, 7, "a");
        assertEquals(7, new Log(torn).restored().getTermPersistentState().getTerm(), "and goes on");
      }
    }
  }

  @Test
  void oneFlippedBitAnywhereIsRefusedAndNamed() throws IOException {
    Memory whole = new Memory();
    begun(whole);
    for (int bit = 0; bit < 8 * whole.file.length; bit++) {
      Memory flipped = new Memory();
      flipped.file = whole.file.clone();
      flipped.file[bit / 8] ^= (byte) (1 << bit % 8);
      DamagedLogException refused = assertThrows(DamagedLogException.class, () -> new Log(flipped));
      assertTrue(refused.getMessage().contains("damaged at byte"), refused.getMessage());
    }
  }

  @Test
  void droppedEntriesStayDropped() throws IOException {
    Memory disk = new Memory();
    Log log = begun(disk);
    log.truncateLogEntriesFrom(3);
    log.persistLogEntries(List.of(entry(3, 5, 1), entry(4, 5, 1)));
    log.truncateLogEntriesUntil(1);
    log.flush();
    assertEquals(List.of(2L, 3L, 4L), indexes(new Log(disk).restored()));
    assertEquals(5, new Log(disk).restored().getLogEntries().get(1).getTerm());
  }

  @Test
  void aSnapshotCountsOnceAllItsPartsAreThere() throws IOException {
    Memory disk = new Memory();
    Log log = begun(disk);
    for (int part = 0; part < 2; part++) {
      log.persistSnapshotChunk(CODEC.models.createSnapshotChunkBuilder().setIndex(2).setTerm(4)
          .setSnapshotChunkIndex(part).setSnapshotChunkCount(2).setOperation(new byte[] {1})
          .setGroupMembersView(view()).build());
      log.flush();
      RestoredRaftState again = new Log(disk).restored();
      assertEquals(part == 1, again.getSnapshotEntry() != null && again.getSnapshotEntry().getIndex() == 2);
      assertEquals(part == 1 ? List.of(3L) : List.of(1L, 2L, 3L), indexes(again));
    }
    log.deleteSnapshotChunks(2, 2);
    log.flush();
    assertEquals(List.of(1L, 2L, 3L), indexes(new Log(disk).restored()));
  }

  @Test
  void theFileIsWrittenAnewWhenMostOfItIsDead() throws IOException {
    Memory disk = new Memory();
    Log log = begun(disk);
    for (long index = 4; index < 500; index++) {
      log.persistLogEntries(List.of(entry(index, 5, 1000)));
      log.truncateLogEntriesUntil(index - 1);
      log.flush();
    }
    assertTrue(disk.replaced > 2, disk.replaced + " times");
    assertTrue(disk.file.length < 200_000, disk.file.length + " bytes of half a million");
    RestoredRaftState again = new Log(disk).restored();
    assertEquals(List.of(499L), indexes(again));
    assertEquals(4, again.getTermPersistentState().getTerm());
  }

  @Test
  void afterAFailedWriteNothingMoreIsTaken() throws IOException {
    Memory disk = new Memory();
    Log log = begun(disk);
    disk.full = true;
    assertThrows(IOException.class, () -> vote(log, 5, "c"));
    disk.full = false;
    assertFalse(log.sound());
    assertThrows(IOException.class, () -> vote(log, 6, "c"));
    assertEquals(4, new Log(disk).restored().getTermPersistentState().getTerm());
  }

  @Test
  void aFileHoldsWhatMemoryDoes(@TempDir Path folder) throws IOException {
    try (FileDisk disk = new FileDisk(folder.resolve("m"))) {
      Log log = begun(disk);
      for (long index = 4; index < 200; index++) {
        log.persistLogEntries(List.of(entry(index, 5, 1000)));
        log.truncateLogEntriesUntil(index - 1);
        log.flush();
      }
    }
    Path file = folder.resolve("m/group.log");
    assertTrue(Files.size(file) < 200_000);
    Files.write(folder.resolve("m/group.log.new"), new byte[9]); // a crash before it was in place
    try (FileDisk disk = new FileDisk(folder.resolve("m"))) {
      assertEquals(List.of(199L), indexes(new Log(disk).restored()));
      assertFalse(Files.exists(folder.resolve("m/group.log.new")));
    }
  }
}
