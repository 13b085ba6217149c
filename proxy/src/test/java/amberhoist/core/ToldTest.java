package amberhoist.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/**
 * Failure met: LOAD lines with the milliseconds of a hung provider's messages were taken for loads; the
 * module never heard that it was crowded, and a fleet day kept 0.68.
 */
public class ToldTest {
  private final Told told = new Told();

  @Test
  public void aRunOnceASecondIsADelayAndGivesTheLoadBack() {
    assertFalse(told.delay(1_000_000, 33_000));
    assertFalse("the first cannot be told from a load", told.delay(6_270_000, 8462.479));
    assertTrue(told.delay(7_271_000, 9462.479));
    assertEquals(33_000, told.load(), 0);
    assertTrue("and the last of the run, back under", told.delay(8_270_000, 12.3));
    assertFalse("a load between two beats", told.delay(8_700_000, 41_000));
    assertEquals(41_000, told.load(), 0);
  }

  @Test
  public void loadsThatMeetTheBeatByChanceStayLoads() {
    assertFalse(told.delay(1_000_000, 33_000));
    assertFalse(told.delay(2_000_000, 55_000));
    assertFalse("told again unchanged", told.delay(3_000_000, 55_000));
    assertFalse("off the beat", told.delay(4_100_000, 300));
    assertFalse("near, but no hang", told.delay(5_100_000, 4100));
    assertFalse("a second fleet day moved clients over this", told.delay(6_100_000, 4354.62));
    assertEquals(4354.62, told.load(), 0);
  }
}
