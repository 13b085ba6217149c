package amberhoist.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the simulator adapter by running the command {@code drill} on batches of messages. */
class SimulatorAdapterTest {
  private static final String SETTINGS = "{\"zone\":\"north\",\"balancers\":2,\"odd\":[{}],"
      + "\"lanes\":[{\"name\":\"talk\",\"effect\":\"pure\",\"aim\":300000}],"
      + "\"limits\":{\"max-attempts\":3,\"retry-after\":true,\"max-retry-after\":500000}}";
  private static final String LIST_MESSAGES = "{\"m\":\"Directory\",\"set-id\":3,\"rows\":["
      + "{\"server\":\"oak\",\"rack-zone\":\"north\",\"health\":\"active\",\"size\":1,\"new\":{\"x\":[1]}}]},"
      + "{\"m\":\"PeersKnown\",\"revision\":1,\"mode\":\"C\",\"set-id\":3}";
  private static final String START =
      "{\"m\":\"PowerOn\",\"init-seed\":5,\"settings\":" + SETTINGS + "}," + LIST_MESSAGES;

  private int exitStatus;
  private String errorOutput;

  private String run(String input, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
    PrintStream errorStream = new PrintStream(errors, true, StandardCharsets.UTF_8);
    exitStatus = SimulatorMain.run(args, new ByteArrayInputStream(bytes), out, errorStream);
    errorOutput = errors.toString(StandardCharsets.UTF_8);
    return out.toString(StandardCharsets.UTF_8);
  }

  private String runBatches(String... batches) {
    return run(String.join("\n", batches) + "\n", "drill");
  }

  private static String batch(long now, int instance, String inbox) {
    return "{\"at-time\":" + now + ",\"proxys\":[{\"proxy\":" + instance + ",\"inbox\":[" + inbox + "]}]}";
  }

  private static String request(long id) {
    return "{\"m\":\"Request\",\"ticket\":" + id + ",\"tier-class\":\"talk\",\"affinity\":\"k\","
        + "\"client-deadline\":9000000,\"mystery\":[1,{\"a\":2}]}";
  }

  @Test
  void emptyBatchGetsAnEmptyReply() {
    assertEquals("{\"proxys\":[]}\n{\"proxys\":[]}\n",
        runBatches("{\"at-time\":1,\"proxys\":[]}", "{\"at-time\":2,\"proxys\":[]}"));
    assertEquals(0, exitStatus);
  }

  @Test
  void requestIdIsKeptExactly() {
    String out = runBatches(batch(1, 4, START), batch(2, 4, request(4503599627370495L)));
    String second = out.lines().toList().get(1);
    assertTrue(second.startsWith("{\"proxys\":[{\"proxy\":4,\"cmds\":[{\"m\":\"Deliver\","
        + "\"ticket\":4503599627370495,\"server\":\"oak\",\"within\":"), second);
    assertEquals(0, exitStatus);
  }

  @Test
  void loadReportsAreReadByTheUtilizationField() {
    String startOfMany = START.replace("\"balancers\":2", "\"balancers\":9").replace("\"limits\":{",
        "\"reporting\":{\"fields\":[\"load_share\",\"x0\"],\"source\":\"probe\"},\"limits\":{\"probing\":true,")
        .replace("\"rows\":[", "\"rows\":[{\"server\":\"elm\",\"rack-zone\":\"north\",\"health\":\"active\"},");
    String groupRequest = request(1).replace("\"affinity\"", "\"group\":\"g\",\"affinity\"");
    String out = runBatches(batch(1, 0, startOfMany), batch(2, 0, groupRequest),
        batch(3, 0, "{\"m\":\"Health\",\"server\":\"oak\",\"state-code\":1,\"health-info\":[0.9,0.1]}"),
        batch(4, 0, "{\"m\":\"Health\",\"server\":\"elm\",\"state-code\":1,\"health-info\":[0.1,0.7]}"));
    List<String> replies = out.lines().toList();
    assertTrue(replies.get(1).contains("{\"m\":\"Poll\",\"server\":\"oak\"}"), out);
    assertTrue(replies.get(1).contains("{\"m\":\"Poll\",\"server\":\"elm\"}"), out);
    assertFalse(replies.get(2).contains("Deliver"), out);
    assertTrue(replies.get(3).contains("\"m\":\"Deliver\",\"ticket\":1,\"server\":\"oak\""), out);
    String withoutReport = runBatches(batch(1, 0, startOfMany), batch(2, 0, groupRequest),
        batch(3, 0, "{\"m\":\"Health\",\"server\":\"oak\",\"state-code\":4}"));
    assertFalse(withoutReport.contains("Fault"), withoutReport);
    String withNullReport = runBatches(batch(1, 0, startOfMany), batch(2, 0, groupRequest),
        batch(3, 0, "{\"m\":\"Health\",\"server\":\"oak\",\"state-code\":4,\"health-info\":null}"), batch(4, 0, ""));
    assertEquals(4, withNullReport.lines().count(), withNullReport);
    assertEquals(0, exitStatus);
  }

  @Test
  void retireAndPowerOnInOneBatchResetTheInstance() {
    String out = runBatches(batch(1, 0, START + "," + request(1)), batch(2, 0, "{\"m\":\"Retire\"}," + START),
        batch(3, 0, "{\"m\":\"Ended\",\"ticket\":1,\"send-no\":0,\"server\":\"oak\",\"state-code\":5}"));
    assertEquals("{\"proxys\":[]}", out.lines().toList().get(2), "the restarted instance no longer knows the request");
    assertFalse(out.contains("Fault"), out);
  }

  @Test
  void instancesShareNoState() {
    String alone = runBatches(batch(1, 1, START), batch(3, 1, request(2)));
    String both = runBatches(batch(1, 0, START + "," + request(1)), batch(1, 1, START), batch(3, 1, request(2)));
    assertEquals(alone.lines().toList().get(1), both.lines().toList().get(2));
    String neverStarted = runBatches(batch(1, 0, START), batch(2, 1, request(1)));
    assertEquals("{\"proxys\":[]}", neverStarted.lines().toList().get(1),
        "an instance that was never started does nothing");
  }

  @Test
  void malformedLineIsReportedAndEndsTheRun() {
    runBatches("{\"at-time\":1,\"proxys\":[]}", "{\"at-time\":2,\"proxys\":[}");
    assertEquals(1, exitStatus);
    assertTrue(errorOutput.startsWith("line 2: "), errorOutput);
    assertEquals(1, errorOutput.lines().count(), errorOutput);
  }

  @Test
  void unknownMessageIsReportedAndEndsTheRun() {
    runBatches(batch(1, 0, "{\"m\":\"Riddle\"}"));
    assertEquals(1, exitStatus);
    assertTrue(errorOutput.startsWith("line 1: ") && errorOutput.contains("Riddle"), errorOutput);
  }

  @Test
  void exceptionOfTheBalancerIsReportedAsFault() {
    String out = runBatches(batch(1, 0, START + ",{\"m\":\"Ended\",\"ticket\":1,\"state-code\":99}"));
    assertTrue(out.contains("\"m\":\"Fault\"") && out.contains("state-code 99"), out);
  }

  @Test
  void missingOrUnknownCommandPrintsUsage() {
    assertEquals("", run(""));
    assertEquals(2, exitStatus);
    assertTrue(errorOutput.contains("usage: "), errorOutput);
    run("", "dance");
    assertEquals(2, exitStatus);
    assertTrue(errorOutput.contains("dance"), errorOutput);
  }

  @Test
  void endOfInputEndsTheRun() {
    assertEquals("", run("", "drill"));
    assertEquals(0, exitStatus);
  }

  @Test
  void overShareFactorAboveOneIsRejected() {
    runBatches(batch(5_000_000, 0, START.replace("500000}}}", "500000},\"over-share-worth\":2}}")));
    assertTrue(errorOutput.contains("worth beyond a share"), errorOutput);
  }
}
