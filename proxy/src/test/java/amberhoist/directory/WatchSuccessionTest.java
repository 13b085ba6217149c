package amberhoist.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which watches stay open when the directory's address changes. */
class WatchSuccessionTest {
  private final WatchSuccession succession = new WatchSuccession();

  @Test
  void updatingWatchStaysUntilANewerOneHasSentAnUpdate() {
    succession.onOpened(1);
    assertEquals(List.of(), succession.onUpdate(1));
    assertEquals(List.of(), succession.onOpened(2));
    assertEquals(List.of(), succession.onUpdate(1), "the new watch has sent nothing yet");
    assertEquals(List.of(1L), succession.onUpdate(2));
    assertEquals(List.of(2L), succession.openWatches());
  }

  @Test
  void watchThatWaitsLongestStaysThroughAnyNumberOfReloads() {
    succession.onOpened(1);
    succession.onUpdate(1);
    succession.onOpened(2);
    for (long id = 3; id < 20; id++) {
      assertEquals(id == 3 ? List.of() : List.of(id - 1), succession.onOpened(id));
    }
    assertEquals(List.of(1L), succession.onUpdate(2));
    assertEquals(Set.of(2L, 19L), Set.copyOf(succession.openWatches()));
  }

  @Test
  void newestClosesWaitingAndUpdatingOnes() {
    succession.onOpened(1);
    succession.onUpdate(1);
    succession.onOpened(2);
    succession.onOpened(3);
    assertEquals(Set.of(1L, 2L), Set.copyOf(succession.onUpdate(3)));
    assertEquals(List.of(3L), succession.openWatches());
  }

  @Test
  void onlyTheNewestIsReplacedWhenItEnds() {
    succession.onOpened(1);
    succession.onUpdate(1);
    succession.onOpened(2);
    assertFalse(succession.onEnded(1));
    assertTrue(succession.isNewest(2));
    assertTrue(succession.onEnded(2));
    assertFalse(succession.isWatching());
    assertFalse(succession.onEnded(2), "once");
  }

  /** Guards against an answer that is given up while it is written, each time anew. */
  @Test
  void overdueWatchAndTheOneBesideItGoOnUntilOneAnswers() {
    for (long answering : List.of(1L, 2L)) {
      WatchSuccession watches = new WatchSuccession();
      watches.onOpened(1);
      assertEquals(List.of(), watches.onOpenedBeside(2));
      assertEquals(List.of(3 - answering), watches.onUpdate(answering), "the other one is closed");
      assertTrue(watches.isNewest(answering));
      assertEquals(List.of(), watches.onUpdate(answering));
    }
  }

  /** An established watch may be overdue, and the ones beside it, too: the oldest of them stays. */
  @Test
  void oldestOverdueWatchStaysThroughAnyNumberOfCallsBesideIt() {
    succession.onOpened(1);
    succession.onUpdate(1);
    assertEquals(List.of(), succession.onOpenedBeside(2));
    assertEquals(List.of(), succession.onOpenedBeside(3));
    assertEquals(List.of(3L), succession.onOpenedBeside(4));
    assertEquals(Set.of(2L, 4L), Set.copyOf(succession.onUpdate(1)));
    assertTrue(succession.isNewest(1));
    succession.onOpenedBeside(5);
    assertTrue(succession.onEnded(5), "another one is opened beside it");
    succession.onUpdate(1);
    assertTrue(succession.isWatching(), "which is not needed any more");
  }

  /** Any order of events: bounded, and no update of an older watch after one of a newer. */
  @Test
  void openWatchesAreFewAndNeverOlderThanTheLatestUpdate() {
    for (long seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      WatchSuccession watches = new WatchSuccession();
      Set<Long> open = new TreeSet<>();
      long latestUpdate = 0;
      for (long id = 1; id < 40; id++) {
        open.add(id);
        boolean beside = random.nextBoolean() && watches.isWatching();
        open.removeAll(beside ? watches.onOpenedBeside(id) : watches.onOpened(id));
        assertTrue(open.contains(id) && open.size() <= WatchSuccession.MAX_WATCHES, "seed " + seed + ": " + open);
        while (!open.isEmpty() && random.nextInt(3) > 0) {
          long chosen = List.copyOf(open).get(random.nextInt(open.size()));
          if (random.nextBoolean()) {
            assertTrue(chosen >= latestUpdate, "seed " + seed);
            latestUpdate = chosen;
            open.removeAll(watches.onUpdate(chosen));
          } else {
            open.remove(chosen);
            watches.onEnded(chosen);
          }
        }
        assertEquals(open, new TreeSet<>(watches.openWatches()), "seed " + seed);
        assertEquals(open.stream().anyMatch(watches::isNewest), watches.isWatching(), "seed " + seed);
      }
    }
  }
}
