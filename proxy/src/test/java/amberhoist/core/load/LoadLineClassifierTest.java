package amberhoist.core.load;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/**
 * Prevents LOAD lines that carry the message delay of a hung provider, in milliseconds, from being taken for loads.
 * The decision module then never learned that the provider was overloaded, and a fleet day kept only 0.68.
 */
public class LoadLineClassifierTest {
  private final LoadLineClassifier classifier = new LoadLineClassifier(new LoadLineClassifier.DelaySchedule());

  @Test
  public void linesOncePerSecondAreDelaysAndTheEarlierLoadIsRestored() {
    assertFalse(classifier.recordAndTestDelay(1_000_000, 33_000));
    assertFalse("the first delay looks like a load", classifier.recordAndTestDelay(6_270_000, 8462.479));
    assertTrue(classifier.recordAndTestDelay(7_271_000, 9462.479));
    assertEquals(33_000, classifier.load(), 0);
    assertTrue("the last delay of the run, small again", classifier.recordAndTestDelay(8_270_000, 12.3));
    assertFalse("a load between two delays", classifier.recordAndTestDelay(8_700_000, 41_000));
    assertEquals(41_000, classifier.load(), 0);
  }

  @Test
  public void loadsThatArriveOnScheduleByChanceStayLoads() {
    assertFalse(classifier.recordAndTestDelay(1_000_000, 33_000));
    assertFalse(classifier.recordAndTestDelay(2_000_000, 55_000));
    assertFalse("the same load again", classifier.recordAndTestDelay(3_000_000, 55_000));
    assertFalse("off schedule", classifier.recordAndTestDelay(4_100_000, 2300));
    assertFalse("nearly on schedule, but no growth of a hang", classifier.recordAndTestDelay(5_100_000, 4100));
    assertFalse("a load; as a delay it moved clients on a second fleet day",
        classifier.recordAndTestDelay(6_100_000, 4354.62));
    assertEquals(4354.62, classifier.load(), 0);
  }

  /**
   * Prevents proxies from taking the first delay of each run and connection for a load: they then sent clients to an
   * overloaded provider.
   */
  @Test
  public void delayScheduleOfAProviderIsKeptAcrossConnections() {
    LoadLineClassifier.DelaySchedule schedule = new LoadLineClassifier.DelaySchedule();
    LoadLineClassifier firstConnection = new LoadLineClassifier(schedule);
    assertFalse(firstConnection.recordAndTestDelay(1_157_000, 207));
    assertTrue(firstConnection.recordAndTestDelay(2_157_000, 864));
    LoadLineClassifier nextConnection = new LoadLineClassifier(schedule);
    assertTrue("the run continues on another connection", nextConnection.recordAndTestDelay(3_152_000, 1243));
    LoadLineClassifier laterConnection = new LoadLineClassifier(schedule);
    assertFalse("off schedule", laterConnection.recordAndTestDelay(9_400_000, 300));
    assertFalse("on schedule, but too large for a delay", laterConnection.recordAndTestDelay(10_152_000, 33_000));
    assertTrue("the first line of a later run", laterConnection.recordAndTestDelay(20_153_000, 300));
    assertEquals(33_000, laterConnection.load(), 0);
    LoadLineClassifier otherProvider = new LoadLineClassifier(new LoadLineClassifier.DelaySchedule());
    assertFalse("another provider has its own schedule", otherProvider.recordAndTestDelay(21_152_000, 300));
  }

  /**
   * Prevents a provider with a delay of 1.4 s from going unnoticed: loads arrived between its delays, and no run of
   * delays could begin above 1 s.
   */
  @Test
  public void loadBetweenTwoDelaysDoesNotHideTheSecond() {
    assertFalse(classifier.recordAndTestDelay(1_570_000, 1310));
    assertFalse(classifier.recordAndTestDelay(1_790_000, 4813));
    assertTrue(classifier.recordAndTestDelay(2_570_000, 1267));
    assertEquals("the load reported in between", 4813, classifier.load(), 0);
  }

  /**
   * Prevents the loss of a second with the first line of each run, in which 14 proxies went on sending clients to the
   * provider.
   */
  @Test
  public void firstLineFarBelowTheLastLoadIsADelay() {
    assertFalse(classifier.recordAndTestDelay(1_000_000, 33_000));
    assertFalse("a load may fall", classifier.recordAndTestDelay(3_400_000, 2_000));
    assertFalse(classifier.recordAndTestDelay(4_900_000, 33_000));
    assertTrue("but hardly by a factor of 100", classifier.recordAndTestDelay(6_270_000, 312));
    assertEquals(33_000, classifier.load(), 0);
    assertFalse("no earlier load to compare with",
        new LoadLineClassifier(new LoadLineClassifier.DelaySchedule()).recordAndTestDelay(6_270_000, 312));
  }
}
