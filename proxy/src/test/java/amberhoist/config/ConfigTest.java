package amberhoist.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import amberhoist.clock.Clock;
import amberhoist.config.Config.BadConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.Test;

/** A configuration that nothing can be started with is told in one plain line. */
public class ConfigTest {
  private static Config load(String text, Map<String, String> more) throws Exception {
    Path file = Files.createTempFile("config", ".json");
    Files.writeString(file, text);
    Map<String, String> environment = new java.util.HashMap<>(more);
    environment.put("LB_CONFIG", file.toString());
    try {
      return Config.load(environment, new Clock());
    } finally {
      Files.delete(file);
    }
  }

  @Test
  public void badFilesAreToldInOneLine() throws Exception {
    String good = "\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"settings\":{}";
    for (String text : List.of("", "[]", "{", "{}", "{" + good, "{" + good.replace(":1", ":x") + "}",
        "{" + good + ",\"seed\":\"xyz\"}", "{" + good + ",\"limits\":{\"sockets\":0}}",
        "{" + good + ",\"known\":{\"index\":1}}", "{" + good + ",\"limits\":3}")) {
      try {
        load(text, Map.of());
        fail("taken: " + text);
      } catch (BadConfig fault) {
        assertEquals(fault.getMessage(), 1, fault.getMessage().lines().count());
      }
    }
    try {
      Config.load(Map.of(), new Clock());
      fail("no file");
    } catch (BadConfig fault) {
      assertTrue(fault.getMessage().contains("LB_CONFIG"));
    }
  }

  @Test
  public void theEnvironmentGoesBeforeTheFile() throws Exception {
    Map<String, String> told = Map.of("LB_LISTEN", "127.0.0.2:9", "LB_NAME", "b");
    Config config = load("{\"name\":\"a\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
        + "\"settings\":{\"limits\":{\"dial-timeout\":7}}}", told);
    assertEquals("b", config.name());
    assertEquals(9, config.listen().getPort());
    assertEquals(2, config.discovery().getPort());
    assertEquals(7, config.limits().connectTimeoutMicros());
  }
}
