package amberhoist.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import amberhoist.config.ProxyConfig.ConfigSources;
import amberhoist.config.ProxyConfig.OperatorConfigResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the merging and validation of the configuration from all sources, and the generated reference pages. */
class ProxyConfigTest {
  private static final String PLATFORM = "{\"name\":\"json\",\"listen\":\"127.0.0.1:1\",\"discovery\":"
      + "\"127.0.0.1:2\",\"limits\":{\"sockets\":300},\"settings\":{}}";

  @TempDir
  private Path folder;

  private Path file(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  private List<String> problems(String text) throws IOException {
    Path file = file("bad.toml", text);
    return ProxyConfig.readOperatorKeys(new ConfigSources(file, Map.of(), Map.of()), false).problems().stream()
        .map(problem -> problem.toString().replace(folder + "/", "")).toList();
  }

  @Test
  void allProblemsAreReportedWithLineAndExpectedValue() throws IOException {
    List<String> problems = problems("""
        [log]
        levl = "info"
        rate = "5"
        level = "loud"

        [stop]
        routed = 5        # a time without a unit
        hold = "20s"
        [sockets]
        queue = "1B"
        [silense]
        alone = "1s"
        [nothing]
        [admin]
        listen = "0.0.0.0:9"
        """);
    assertEquals(List.of(
        "bad.toml:2: log.levl: unknown key; the nearest known is log.level",
        "bad.toml:3: log.rate: expected a whole number",
        "bad.toml:4: log.level: expected one of \"error\", \"warn\", \"info\", \"debug\", \"trace\", not \"loud\"",
        "bad.toml:7: stop.routed: expected a time with its unit, such as \"250ms\" (us, ms, s, m, h)",
        "bad.toml:10: sockets.queue: expected 4KiB to 16MiB, not 1B",
        "bad.toml:12: silense.alone: unknown key; the nearest known is silence.alone",
        "bad.toml:13: nothing: unknown key",
        "bad.toml:15: admin.listen: expected \"\", \"unix:/path\" or a loopback address such as"
            + " \"127.0.0.1:9100\", not \"0.0.0.0:9\"",
        "bad.toml:8: stop.hold: is longer than stop.longest (20s)"), problems);
  }

  @Test
  void invalidOrMissingFileIsReportedInOneLine() throws IOException {
    assertTrue(problems("[log]\nlevel = \"info\"\nrate = = 3\n").get(0).startsWith("bad.toml:3: invalid TOML: "));
    assertEquals(1, problems("a = 1\na = 2\n").size());
    assertEquals(List.of("bad.toml:1: log: expected a table of keys"), problems("log = 3\n"));
    assertEquals(List.of("bad.toml:1: log.rate: expected a whole number"), problems("log.rate = [1, 2]\n"));
    OperatorConfigResult missing =
        ProxyConfig.readOperatorKeys(new ConfigSources(folder.resolve("none.toml"), Map.of(), Map.of()), false);
    assertEquals(1, missing.problems().size());
  }

  @Test
  void sourcesOverrideEachOtherInOrder() throws Exception {
    Path platform = file("p.json", PLATFORM);
    Path file = file("o.toml", "instance.name = \"file\"\nlimits.descriptors = 200\nlog.rate = 9\n"
        + "instance.platform = \"" + platform + "\"\n[answers]\nmargin = \"20ms\"\n");
    Map<String, String> environment = new HashMap<>();
    Map<String, String> flags = new HashMap<>();
    ConfigSources sources = new ConfigSources(file, flags, environment);
    ProxyConfig config = ProxyConfig.load(sources, new Clock());
    assertEquals("json", config.platform().name());
    assertEquals(300, config.platform().maxDescriptors(), "the platform's JSON overrides the file");
    assertEquals(9, config.operator().log().rate(), "the file overrides the defaults");
    assertEquals(20_000, config.operator().coreTiming().answerMarginMicros());
    assertEquals(OperatorConfig.DEFAULT.log().burst(), config.operator().log().burst());
    environment.put("LB_NAME", "variable");
    environment.put("AMBERHOIST_LOG_RATE", "8");
    environment.put("AMBERHOIST_LIMITS_DESCRIPTORS", "400");
    config = ProxyConfig.load(sources, new Clock());
    assertEquals("variable", config.platform().name());
    assertEquals(8, config.operator().log().rate());
    assertEquals(400, config.platform().maxDescriptors());
    assertEquals("AMBERHOIST_LOG_RATE", config.origins().get("log.rate"));
    flags.put("instance.name", "flag");
    flags.put("log.rate", "7");
    config = ProxyConfig.load(sources, new Clock());
    assertEquals("flag", config.platform().name());
    assertEquals(7, config.operator().log().rate());
    assertEquals(platform.toString(), config.origins().get("instance.listen"));
  }

  @Test
  void reloadTakesTheDirectoryFromTheFile() throws Exception {
    Path platform = file("p.json", PLATFORM);
    ConfigSources sources = new ConfigSources(file("o.toml", ""), Map.of(),
        Map.of("LB_CONFIG", platform.toString(), "LB_DISCOVERY", "127.0.0.1:7"));
    assertEquals(7, ProxyConfig.load(sources, new Clock()).platform().directoryAddress().getPort());
    assertEquals(2, ProxyConfig.reload(sources, new Clock()).platform().directoryAddress().getPort());
  }

  @Test
  void problemsOfBothFilesAreReportedTogether() throws Exception {
    ConfigSources sources = new ConfigSources(file("o.toml", "[log]\nrate = 0\nburst = -1\n"), Map.of("nothing", "1"),
        Map.of("LB_CONFIG", file("p.json", "{").toString()));
    InvalidConfigException fault =
        assertThrows(InvalidConfigException.class, () -> ProxyConfig.load(sources, new Clock()));
    assertEquals(4, fault.problems().size(), fault.getMessage());
  }

  @Test
  void fileReplacesThePlatformsVariables() throws Exception {
    Path platform = file("p.json", "{\"settings\":{}}");
    ProxyConfig config = ProxyConfig.load(new ConfigSources(file("o.toml",
        "[instance]\nname = \"x\"\nlisten = \"127.0.0.1:5\"\n"
            + "directory = \"127.0.0.1:6\"\nplatform = \"" + platform + "\"\n"), Map.of(), Map.of()), new Clock());
    assertEquals("x", config.platform().name());
    assertEquals(6, config.platform().directoryAddress().getPort());
  }

  @Test
  void keysThatRequireARestartAreReportedAndKept() throws IOException {
    OperatorConfig before = OperatorConfig.DEFAULT;
    OperatorConfig after = ProxyConfig.readOperatorKeys(new ConfigSources(file("o.toml",
        "[log]\nformat = \"json\"\nrate = 3\n[sockets]\nbacklog = 9\n"), Map.of(), Map.of()), false).operator();
    assertEquals(List.of("log.format", "sockets.backlog"), ProxyConfig.keysNeedingRestart(before, after));
    OperatorConfig effective = after.withRestartKeysOf(before);
    assertEquals(before.log().format(), effective.log().format());
    assertEquals(3, effective.log().rate());
  }

  @Test
  void referencePagesAndExampleAreUpToDate() throws IOException {
    assertEquals(ReferencePages.keysPage(), Files.readString(Path.of("../docs/configuration.md")));
    assertEquals(ReferencePages.eventsPage(), Files.readString(Path.of("../docs/logging.md")));
    Path example = Path.of("../deploy/amberhoist.toml");
    assertEquals(ReferencePages.exampleFile(), Files.readString(example));
    OperatorConfigResult result = ProxyConfig.readOperatorKeys(new ConfigSources(example, Map.of(), Map.of()), false);
    assertEquals(List.of(), result.problems());
    assertEquals(OperatorConfig.DEFAULT, result.operator(), "every key has its default value");
    assertEquals(Set.copyOf(OperatorSchema.SCHEMA.keys().keySet()), Set.copyOf(result.origins().keySet()),
        "the example contains every key");
  }
}
