package amberhoist.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.upgrade.UpgradeRecord.Member;
import amberhoist.upgrade.UpgradeRecordCodec.UnreadableRecordException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The upgrade record shared by processes, its encoding and its file. */
class UpgradeRecordTest {
  private static final UpgradeRecord RECORD = new UpgradeRecord(Set.of("s-1", "s \"2\" \u00e9"),
      List.of(new Member("a", 11, true, 40), new Member("b", 12, false, 0)), Map.of("k1", "s-1", "k\"", "s-2"));

  @TempDir
  Path folder;

  private final List<String> problems = new ArrayList<>();

  private UpgradeRecordFile file() {
    return new UpgradeRecordFile(folder, problems::add);
  }

  private Path recordPath() {
    return folder.resolve("amberhoist.handover");
  }

  @Test
  void decodesWhatItEncodes() throws Exception {
    assertEquals(RECORD, UpgradeRecordCodec.decode(UpgradeRecordCodec.encode(RECORD)));
    assertEquals(UpgradeRecord.EMPTY, UpgradeRecordCodec.decode(UpgradeRecordCodec.encode(UpgradeRecord.EMPTY)));
  }

  @Test
  void rejectsTruncatedAndInvalidRecords() {
    byte[] encoded = UpgradeRecordCodec.encode(RECORD);
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThrows(UnreadableRecordException.class, () -> UpgradeRecordCodec.decode(truncated),
          new String(truncated, StandardCharsets.UTF_8));
    }
    for (String text : List.of("[]", "{\"suspended\":[]}", "{\"version\":1,\"more\":[1]}", "{\"version\":1}x",
        "{\"version\":1,\"suspended\":[3]}", "{\"version\":1,\"members\":[{\"pid\":1}]}", "{\"version\":\"1\"}",
        "{\"version\":1,\"bindings\":{\"k\":3}}", "{\"version\":1,\"bindings\":[]}")) {
      assertThrows(UnreadableRecordException.class,
          () -> UpgradeRecordCodec.decode(text.getBytes(StandardCharsets.UTF_8)), text);
    }
  }

  @Test
  void laterReadyProcessIsASuccessor() {
    assertFalse(RECORD.hasSuccessor("a"), "the later process does not serve yet");
    UpgradeRecord ready = RECORD.with(new Member("b", 12, true, 9));
    assertTrue(ready.hasSuccessor("a"));
    assertFalse(ready.hasSuccessor("b"), "an earlier process is no successor");
    assertFalse(ready.filterMembers(member -> member.pid() != 12).hasSuccessor("a"),
        "a process that ended is no successor");
  }

  @Test
  void keepsChangesOfBothProcesses() throws Exception {
    UpgradeRecordFile first = file();
    UpgradeRecordFile second = file();
    first.update(record -> record.with("x", true));
    assertEquals(Set.of("x"), second.read().suspended());
    second.update(record -> record.with("y", true));
    first.update(record -> record.with("x", false));
    assertEquals(Set.of("y"), second.read().suspended());
    assertEquals(Set.of("y"), first.read().suspended());
    assertEquals(List.of(), problems);
  }

  /** A corrupt or deleted file must not resume suspended providers. */
  @Test
  void corruptOrDeletedFileKeepsTheRecordAndIsReported() throws Exception {
    UpgradeRecordFile file = file();
    file.update(record -> record.with("x", true));
    Files.writeString(recordPath(), "{\"version\":1,\"susp");
    assertEquals(Set.of("x"), file.read().suspended());
    assertEquals(1, problems.size());
    Files.delete(recordPath());
    assertEquals(Set.of("x"), file.read().suspended());
    assertEquals(Set.of("x", "y"), file.update(record -> record.with("y", true)).suspended());
    assertEquals(Set.of("x", "y"), file().read().suspended());
  }

  @Test
  void keepsAFileOfANewerVersionAndReplacesAnOlderOne() throws Exception {
    Files.writeString(recordPath(), "{\"version\":2,\"all\":\"different\"}");
    UpgradeRecordFile file = file();
    assertEquals(UpgradeRecord.EMPTY, file.read());
    assertThrows(IOException.class, () -> file.update(record -> record.with("x", true)));
    assertTrue(Files.readString(recordPath()).contains("different"));
    Files.writeString(recordPath(), "{\"version\":0}");
    assertEquals(Set.of("x"), file.update(record -> record.with("x", true)).suspended());
  }

  /** Guards against a change that leaves the file's time, size and key as they were, within one tick of file times. */
  @Test
  void readsAChangeThatLeavesTimeSizeAndKeyOfTheFile() throws Exception {
    UpgradeRecordFile file = file();
    Files.write(recordPath(), UpgradeRecordCodec.encode(UpgradeRecord.EMPTY.with("x", true)));
    FileTime time = FileTime.from(Instant.now().plusSeconds(60)); // recent, however long this test is held up
    Files.setLastModifiedTime(recordPath(), time);
    assertEquals(Set.of("x"), file.read().suspended());
    Files.write(recordPath(), UpgradeRecordCodec.encode(UpgradeRecord.EMPTY.with("y", true)));
    Files.setLastModifiedTime(recordPath(), time);
    assertEquals(Set.of("y"), file.read().suspended());
  }

  @Test
  void missingFolderFailsOnlyUpdates() {
    UpgradeRecordFile file = new UpgradeRecordFile(folder.resolve("nowhere"), problems::add);
    assertEquals(UpgradeRecord.EMPTY, file.read());
    assertThrows(IOException.class, () -> file.update(record -> record));
  }
}
