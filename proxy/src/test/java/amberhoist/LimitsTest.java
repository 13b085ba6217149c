package amberhoist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Limits on source files: their length, and what the decision module may use. */
class LimitsTest {
  private static final Path DECIDE_SOURCES = Path.of("src/main/java/amberhoist/decide");

  @Test
  void policyNamesBalancerJavaInItsFirst40Lines() throws IOException {
    List<String> lines = Files.readAllLines(DECIDE_SOURCES.resolve("Policy.java"));
    assertTrue(lines.stream().limit(40).anyMatch(line -> line.contains("Balancer.java")));
  }

  @Test
  void filesHaveAtMost400LinesAndPackages1500() throws IOException {
    Map<Path, Long> linesByPackage = new HashMap<>();
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        long lines = Files.readAllLines(file).size();
        linesByPackage.merge(file.getParent(), lines, Long::sum);
        assertTrue(lines <= 400 || file.endsWith("Policy.java"), file + ": " + lines);
      }
    }
    linesByPackage.forEach((folder, lines) -> assertTrue(lines <= 1500, folder + ": " + lines));
  }

  @Test
  void decisionModuleImportsOnlyTheJdkAndHasNoMutableStatics() throws IOException {
    for (String name : List.of("Policy.java", "Balancer.java", "BalancerState.java")) {
      String text = Files.readString(DECIDE_SOURCES.resolve(name));
      List<String> foreign = text.lines()
          .filter(line -> line.startsWith("import "))
          .filter(line -> !line.startsWith("import java.util.") && !line.startsWith("import amberhoist."))
          .toList();
      assertEquals(List.of(), foreign);
      for (String word : List.of("currentTimeMillis", "nanoTime", "System.", "Thread.", "amberhoist.simulator")) {
        assertTrue(!text.contains(word), name + " uses " + word);
      }
      assertTrue(text.lines().noneMatch(line -> line.matches("\\s*(private )?static (?!final).*[=;]\\s*")));
    }
  }
}
