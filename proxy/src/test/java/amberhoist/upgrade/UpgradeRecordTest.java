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
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The record that the processes of an upgrade share, and its file. */
class UpgradeRecordTest {
  private static final UpgradeRecord RECORD = new UpgradeRecord(Set.of("s-1", "s \"2\" \u00e9"),
      List.of(new Member("a", 11, true, 40), new Member("b", 12, false, 0)), Map.of("k1", "s-1", "k\"", "s-2"));

  @TempDir
  Path folder;

  private final List<String> told = new ArrayList<>();

  private UpgradeRecordFile file() {
    return new UpgradeRecordFile(folder, told::add);
  }

  private Path path() {
    return folder.resolve("amberhoist.handover");
  }

  @Test
  void aRecordIsReadAsItWasWritten() throws Exception {
    assertEquals(RECORD, UpgradeRecordCodec.decode(UpgradeRecordCodec.encode(RECORD)));
    assertEquals(UpgradeRecord.EMPTY, UpgradeRecordCodec.decode(UpgradeRecordCodec.encode(UpgradeRecord.EMPTY)));
  }

  @Test
  void whatIsCutShortAnywhereIsNoRecord() {
    byte[] whole = UpgradeRecordCodec.encode(RECORD);
    for (int length = 0; length < whole.length; length++) {
      byte[] part = Arrays.copyOf(whole, length);
      assertThrows(UnreadableRecordException.class, () -> UpgradeRecordCodec.decode(part),
          new String(part, StandardCharsets.UTF_8));
    }
    for (String text : List.of("[]", "{\"suspended\":[]}", "{\"version\":1,\"more\":[1]}", "{\"version\":1}x",
        "{\"version\":1,\"suspended\":[3]}", "{\"version\":1,\"members\":[{\"pid\":1}]}", "{\"version\":\"1\"}",
        "{\"version\":1,\"bindings\":{\"k\":3}}", "{\"version\":1,\"bindings\":[]}")) {
      assertThrows(UnreadableRecordException.class,
          () -> UpgradeRecordCodec.decode(text.getBytes(StandardCharsets.UTF_8)), text);
    }
  }

  @Test
  void aProcessThatStartedLaterAndServesIsASuccessor() {
    assertFalse(RECORD.hasSuccessor("a"), "the later one does not serve yet");
    UpgradeRecord ready = RECORD.with(new Member("b", 12, true, 9));
    assertTrue(ready.hasSuccessor("a"));
    assertFalse(ready.hasSuccessor("b"), "the one before it is none");
    assertFalse(ready.filterMembers(member -> member.pid() != 12).hasSuccessor("a"), "one that died is none");
  }

  @Test
  void changesOfTwoProcessesAreBothKept() throws Exception {
    UpgradeRecordFile first = file();
    UpgradeRecordFile second = file();
    first.update(record -> record.with("x", true));
    assertEquals(Set.of("x"), second.read().suspended());
    second.update(record -> record.with("y", true));
    first.update(record -> record.with("x", false));
    assertEquals(Set.of("y"), second.read().suspended());
    assertEquals(Set.of("y"), first.read().suspended());
    assertEquals(List.of(), told);
  }

  /** Guards against calling back what was taken out because a file was spoilt or lost. */
  @Test
  void aSpoiltOrLostFileLeavesAllAsItWasAndIsTold() throws Exception {
    UpgradeRecordFile file = file();
    file.update(record -> record.with("x", true));
    Files.writeString(path(), "{\"version\":1,\"susp");
    assertEquals(Set.of("x"), file.read().suspended());
    assertEquals(1, told.size());
    Files.delete(path());
    assertEquals(Set.of("x"), file.read().suspended());
    assertEquals(Set.of("x", "y"), file.update(record -> record.with("y", true)).suspended());
    assertEquals(Set.of("x", "y"), file().read().suspended());
  }

  @Test
  void aFileOfANewerVersionIsLeftAndOneOfAnOlderIsReplaced() throws Exception {
    Files.writeString(path(), "{\"version\":2,\"all\":\"different\"}");
    UpgradeRecordFile file = file();
    assertEquals(UpgradeRecord.EMPTY, file.read());
    assertThrows(IOException.class, () -> file.update(record -> record.with("x", true)));
    assertTrue(Files.readString(path()).contains("different"));
    Files.writeString(path(), "{\"version\":0}");
    assertEquals(Set.of("x"), file.update(record -> record.with("x", true)).suspended());
  }

  @Test
  void aFolderThatCannotBeWrittenIsAFaultAndNothingElse() {
    UpgradeRecordFile file = new UpgradeRecordFile(folder.resolve("nowhere"), told::add);
    assertEquals(UpgradeRecord.EMPTY, file.read());
    assertThrows(IOException.class, () -> file.update(record -> record));
  }
}
