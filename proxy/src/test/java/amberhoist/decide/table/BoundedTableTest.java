package amberhoist.decide.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Checks that names which clients choose cannot make a table grow. */
class BoundedTableTest {
  private static final int NAME_LENGTH = 4;

  private final BoundedTable<String> table = new BoundedTable<>(10 * (BoundedTable.ENTRY_BYTES + NAME_LENGTH));

  private static String name(int index) {
    return "n" + (100 + index);
  }

  @Test
  void dropsTheNamesThatHaveNotBeenUsedForTheLongestTime() {
    table.put(name(0), "value", 0);
    for (int i = 1; i < 800; i++) {
      table.put(name(i), "value", 0);
      assertEquals(Math.min(i + 1, 10), table.size());
      assertNotNull(table.get(name(0)), "used each time, so kept");
    }
    assertNotNull(table.get(name(791)));
    assertNull(table.get(name(790)));
  }

  @Test
  void longNamesAndLargeValuesCountByTheirBytes() {
    for (int i = 0; i < 10; i++) {
      table.put(name(i), "value", 0);
    }
    table.put("x".repeat(BoundedTable.ENTRY_BYTES), "long", 0);
    assertEquals(9, table.size(), "two short names for the long one");
    table.put(name(9), "large", 5 * BoundedTable.ENTRY_BYTES);
    assertEquals(4, table.size());
    table.put("huge", "kept all the same", Integer.MAX_VALUE);
    assertEquals(1, table.size());
    assertNotNull(table.get("huge"));
  }

  @Test
  void removedAndReplacedEntriesFreeTheirBytes() {
    for (int i = 0; i < 1000; i++) {
      table.put(name(0), "replaced", 8 * BoundedTable.ENTRY_BYTES);
      table.remove(name(0));
      table.put(name(1), "other", 0);
      table.removeIf("other"::equals);
      table.put(name(2), "cleared", 0);
      table.clear();
    }
    for (int i = 0; i < 10; i++) {
      assertEquals("value", table.computeIfAbsent(name(i), () -> "value"));
    }
    assertEquals(10, table.size());
  }
}
