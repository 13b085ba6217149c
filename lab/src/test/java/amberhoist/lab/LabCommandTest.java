package amberhoist.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Runs the {@code lab} commands that search for faults and evaluate claims, as on the command line. */
class LabCommandTest {
  private static final String EXPERIMENT_FILE = "experiments/smoke-faults.toml";

  @TempDir
  private Path folder;

  private int exitStatus;

  private String runLab(String... args) {
    PrintStream originalOut = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      exitStatus = new CommandLine(new LabCommand()).execute(args);
    } finally {
      System.setOut(originalOut);
    }
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void fuzzFindsAMutantAndMinimizesItsFaults() {
    String output = runLab("fuzz", EXPERIMENT_FILE, "--runs", "5", "--mutant", "MISSES_SILENCE");
    assertEquals(1, exitStatus);
    assertTrue(output.contains("a silent provider's client not moved"), output);
    assertEquals(1, output.split("\\[\\[faults]]", -1).length - 1, output);
    assertTrue(output.contains("kind = \"vanish\"") || output.contains("kind = \"hang\""), output);
    assertEquals(output, runLab("fuzz", EXPERIMENT_FILE, "--runs", "5", "--mutant", "MISSES_SILENCE"),
        "differs on the same seed");
  }

  /**
   * Seeds whose faults make proxies send to a provider that their list still shows as it was before its restart, or
   * make a restarted proxy find a provider back in its first list. Neither is a violation by the proxy.
   */
  @ParameterizedTest
  @ValueSource(strings = {"4", "10", "28", "52"})
  void decisionsOnOutdatedListsAreNoViolations(String seed) {
    String output = runLab("fuzz", EXPERIMENT_FILE, "--runs", "1", "--from", seed);
    assertEquals(0, exitStatus, output);
  }

  @Test
  void failedClaimExitsWithOneAndResultsAreWritten() throws Exception {
    String text = Files.readString(Path.of("experiments/smoke-calm.toml"));
    Path file = Files.writeString(folder.resolve("high.toml"), text.replace("least = 0.9", "least = 0.999"));
    String output = runLab("run", file.toString(), "--seeds", "2", "--quick", "--out", folder.toString());
    assertEquals(1, exitStatus);
    assertTrue(output.contains("FALLS today: service"), output);
    Path resultFolder = folder.resolve("smoke-calm");
    assertTrue(Files.readString(resultFolder.resolve("report.md")).contains("95 % interval"));
    assertTrue(Files.readAllLines(resultFolder.resolve("results.csv")).size() > 50);
    assertTrue(Files.size(resultFolder.resolve("service.png")) > 5000);
    runLab("run", "experiments/smoke-calm.toml", "--seeds", "2", "--quick");
    assertEquals(0, exitStatus);
    runLab("run", folder.resolve("none.toml").toString());
    assertEquals(1, exitStatus);
    runLab("run", file.toString(), "--seeds", "-1");
    assertEquals(2, exitStatus);
  }
}
