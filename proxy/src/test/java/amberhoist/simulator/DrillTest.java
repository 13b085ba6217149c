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

class DrillTest {
  private static final String SETTINGS = "{\"zone\":\"north\",\"balancers\":2,\"odd\":[{}],"
      + "\"lanes\":[{\"name\":\"talk\",\"effect\":\"pure\",\"aim\":300000}],"
      + "\"limits\":{\"max-attempts\":3,\"retry-after\":true,\"max-retry-after\":500000}}";
  private static final String LIST = "{\"m\":\"Directory\",\"set-id\":3,\"rows\":["
      + "{\"server\":\"oak\",\"rack-zone\":\"north\",\"health\":\"active\",\"size\":1,\"new\":{\"x\":[1]}}]},"
      + "{\"m\":\"PeersKnown\",\"revision\":1,\"mode\":\"C\",\"set-id\":3}";
  private static final String ON =
      "{\"m\":\"PowerOn\",\"init-seed\":5,\"settings\":" + SETTINGS + "}," + LIST;

  private int code;
  private String err;

  private String run(String input, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
    PrintStream err = new PrintStream(errors, true, StandardCharsets.UTF_8);
    code = Main.run(args, new ByteArrayInputStream(bytes), out, err);
    this.err = errors.toString(StandardCharsets.UTF_8);
    return out.toString(StandardCharsets.UTF_8);
  }

  private String drill(String... batches) {
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
        drill("{\"at-time\":1,\"proxys\":[]}", "{\"at-time\":2,\"proxys\":[]}"));
    assertEquals(0, code);
  }

  @Test
  void requestIsDeliveredWithItsExactNumber() {
    String out = drill(batch(1, 4, ON), batch(2, 4, request(4503599627370495L)));
    String second = out.lines().toList().get(1);
    assertTrue(second.startsWith("{\"proxys\":[{\"proxy\":4,\"cmds\":[{\"m\":\"Deliver\","
        + "\"ticket\":4503599627370495,\"server\":\"oak\",\"within\":"), second);
    assertEquals(0, code);
  }

  @Test
  void whereServersMayBeAskedTheirReportsAreReadByTheFieldThatSaysTheLoad() {
    String many = ON.replace("\"balancers\":2", "\"balancers\":9").replace("\"limits\":{",
        "\"reporting\":{\"fields\":[\"load_share\",\"x0\"],\"source\":\"probe\"},\"limits\":{\"probing\":true,")
        .replace("\"rows\":[", "\"rows\":[{\"server\":\"elm\",\"rack-zone\":\"north\",\"health\":\"active\"},");
    String asking = request(1).replace("\"affinity\"", "\"group\":\"g\",\"affinity\"");
    String out = drill(batch(1, 0, many), batch(2, 0, asking),
        batch(3, 0, "{\"m\":\"Health\",\"server\":\"oak\",\"state-code\":1,\"health-info\":[0.9,0.1]}"),
        batch(4, 0, "{\"m\":\"Health\",\"server\":\"elm\",\"state-code\":1,\"health-info\":[0.1,0.7]}"));
    List<String> replies = out.lines().toList();
    assertTrue(replies.get(1).contains("{\"m\":\"Poll\",\"server\":\"oak\"}"), out);
    assertTrue(replies.get(1).contains("{\"m\":\"Poll\",\"server\":\"elm\"}"), out);
    assertFalse(replies.get(2).contains("Deliver"), out);
    assertTrue(replies.get(3).contains("\"m\":\"Deliver\",\"ticket\":1,\"server\":\"oak\""), out);
    String none = drill(batch(1, 0, many), batch(2, 0, asking),
        batch(3, 0, "{\"m\":\"Health\",\"server\":\"oak\",\"state-code\":4}"));
    assertFalse(none.contains("Fault"), none);
    String empty = drill(batch(1, 0, many), batch(2, 0, asking),
        batch(3, 0, "{\"m\":\"Health\",\"server\":\"oak\",\"state-code\":4,\"health-info\":null}"), batch(4, 0, ""));
    assertEquals(4, empty.lines().count(), empty);
    assertEquals(0, code);
  }

  @Test
  void retireAndPowerOnInOneBatchStartAfresh() {
    String out = drill(batch(1, 0, ON + "," + request(1)), batch(2, 0, "{\"m\":\"Retire\"}," + ON),
        batch(3, 0, "{\"m\":\"Ended\",\"ticket\":1,\"send-no\":0,\"server\":\"oak\",\"state-code\":5}"));
    assertEquals("{\"proxys\":[]}", out.lines().toList().get(2), "the old request is forgotten");
    assertFalse(out.contains("Fault"), out);
  }

  @Test
  void instancesShareNothing() {
    String alone = drill(batch(1, 1, ON), batch(3, 1, request(2)));
    String both = drill(batch(1, 0, ON + "," + request(1)), batch(1, 1, ON), batch(3, 1, request(2)));
    assertEquals(alone.lines().toList().get(1), both.lines().toList().get(2));
    String silent = drill(batch(1, 0, ON), batch(2, 1, request(1)));
    assertEquals("{\"proxys\":[]}", silent.lines().toList().get(1), "never started: does nothing");
  }

  @Test
  void malformedLineIsNamedAndEndsTheRun() {
    drill("{\"at-time\":1,\"proxys\":[]}", "{\"at-time\":2,\"proxys\":[}");
    assertEquals(1, code);
    assertTrue(err.startsWith("line 2: "), err);
    assertEquals(1, err.lines().count(), err);
  }

  @Test
  void unknownMessageIsNamedAndEndsTheRun() {
    drill(batch(1, 0, "{\"m\":\"Riddle\"}"));
    assertEquals(1, code);
    assertTrue(err.startsWith("line 1: ") && err.contains("Riddle"), err);
  }

  @Test
  void exceptionOfTheModuleBecomesAFault() {
    String out = drill(batch(1, 0, ON + ",{\"m\":\"Ended\",\"ticket\":1,\"state-code\":99}"));
    assertTrue(out.contains("\"m\":\"Fault\"") && out.contains("state-code 99"), out);
  }

  @Test
  void missingOrUnknownCommandPrintsUsage() {
    assertEquals("", run(""));
    assertEquals(2, code);
    assertTrue(err.contains("usage: "), err);
    run("", "dance");
    assertEquals(2, code);
    assertTrue(err.contains("dance"), err);
  }

  @Test
  void endOfInputEndsTheRun() {
    assertEquals("", run("", "drill"));
    assertEquals(0, code);
  }

  @Test
  void worthBeyondAShareIsNotOverTheWholeOfIt() {
    drill(batch(5_000_000, 0, ON.replace("500000}}}", "500000},\"over-share-worth\":2}}")));
    assertTrue(err.contains("worth beyond a share"), err);
  }
}
