package amberhoist.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.Test;

/** Tests {@link PlatformConfig}: problems are reported in a single line, and the environment overrides the file. */
public class PlatformConfigTest {
  private static PlatformConfig load(String text, Map<String, String> variables) throws Exception {
    Path file = Files.createTempFile("config", ".json");
    Files.writeString(file, text);
    Map<String, String> environment = new java.util.HashMap<>(variables);
    environment.put("LB_CONFIG", file.toString());
    try {
      return PlatformConfig.load(environment, new Clock());
    } finally {
      Files.delete(file);
    }
  }

  @Test
  public void invalidFilesAreReportedInOneLine() throws Exception {
    String complete = "\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"settings\":{}";
    for (String text : List.of("", "[]", "{", "{}", "{" + complete, "{" + complete.replace(":1", ":x") + "}",
        "{" + complete + ",\"seed\":\"xyz\"}", "{" + complete + ",\"limits\":{\"sockets\":0}}",
        "{" + complete + ",\"known\":{\"index\":1}}", "{" + complete + ",\"limits\":3}")) {
      try {
        load(text, Map.of());
        fail("accepted: " + text);
      } catch (InvalidConfigException fault) {
        assertEquals(fault.getMessage(), 1, fault.getMessage().lines().count());
      }
    }
    try {
      PlatformConfig.load(Map.of(), new Clock());
      fail("accepted without a file");
    } catch (InvalidConfigException fault) {
      assertTrue(fault.getMessage().contains("LB_CONFIG"));
    }
  }

  @Test
  public void environmentOverridesFile() throws Exception {
    Map<String, String> variables = Map.of("LB_LISTEN", "127.0.0.2:9", "LB_NAME", "b");
    PlatformConfig config = load("{\"name\":\"a\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
        + "\"settings\":{\"limits\":{\"dial-timeout\":7}}}", variables);
    assertEquals("b", config.name());
    assertEquals(9, config.listenAddress().getPort());
    assertEquals(2, config.directoryAddress().getPort());
    assertEquals(7, config.limits().connectTimeoutMicros());
  }

  @Test
  public void drainLimitCountsForTheDirectoryOnlyWhereListsArePushed() throws Exception {
    String text = "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"settings\":{\"discovery\":\"MODE\","
        + "\"rules\":{\"stop-sending-within\":400000}}}";
    assertEquals(400_000, load(text.replace("MODE", "automatic"), Map.of()).pushedDrainLimitMicros());
    assertEquals(0, load(text.replace("MODE", "subscribe"), Map.of()).pushedDrainLimitMicros());
  }
}
