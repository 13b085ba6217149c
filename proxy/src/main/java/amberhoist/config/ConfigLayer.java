package amberhoist.config;

import amberhoist.config.schema.ConfigProblem;
import amberhoist.config.schema.RawValue;
import amberhoist.config.schema.TomlReader;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The values that one source sets for keys of the operator's file. Sources are the operator's file itself, the
 * platform's JSON, environment variables and command-line flags.
 *
 * @param values the values by path of the key, before validation
 */
record ConfigLayer(Map<String, RawValue> values) {
  private static final Map<String, String> PATHS_BY_PLATFORM_KEY = Map.of(
      "name", "instance.name", "listen", "instance.listen", "discovery", "instance.directory",
      "mgmt", "instance.mgmt");
  private static final Map<String, String> PATHS_BY_VARIABLE = Map.of(
      "LB_NAME", "instance.name", "LB_LISTEN", "instance.listen", "LB_DISCOVERY", "instance.directory",
      "LB_CONFIG", "instance.platform", "LB_MGMT", "instance.mgmt");

  private ConfigLayer() {
    this(new LinkedHashMap<>());
  }

  /** Reads the operator's file. If it cannot be parsed, adds a problem and returns an empty layer. */
  static ConfigLayer fromFile(Path file, List<ConfigProblem> problems) {
    return new ConfigLayer(TomlReader.read(OperatorSchema.SCHEMA, file, problems));
  }

  /**
   * Reads the values that the platform's JSON sets. If the file cannot be read, the layer is empty; the problem is
   * reported by {@link PlatformConfig}.
   */
  static ConfigLayer fromPlatform(Path file) {
    ConfigLayer layer = new ConfigLayer();
    try {
      JsonNode root = new ObjectMapper().readTree(file.toFile());
      PATHS_BY_PLATFORM_KEY.forEach((name, path) -> layer.put(path, root.path(name), file));
      layer.put("limits.descriptors", root.path("limits").path("sockets"), file);
    } catch (IOException fault) {
      // reported by PlatformConfig, which reads the whole file
    }
    return layer;
  }

  private void put(String path, JsonNode node, Path file) {
    if (!node.isMissingNode() && !node.isNull()) {
      String text = node.isNumber() ? Long.toString(node.asLong()) : node.asText();
      values.put(path, new RawValue(file.toString(), text, null, null, node.isValueNode()));
    }
  }

  /**
   * Returns the values that environment variables set. On a reload {@code LB_DISCOVERY} is ignored, since it still
   * names the directory from the start of the process.
   */
  static ConfigLayer fromEnvironment(Map<String, String> environment, boolean isReload) {
    ConfigLayer layer = new ConfigLayer();
    OperatorSchema.SCHEMA.keys().keySet().forEach(path -> layer.putVariable(environment,
        "AMBERHOIST_" + path.replace('.', '_').toUpperCase(Locale.ROOT), path));
    PATHS_BY_VARIABLE.forEach((variable, path) -> {
      if (!(isReload && variable.equals("LB_DISCOVERY"))) {
        layer.putVariable(environment, variable, path);
      }
    });
    return layer;
  }

  private void putVariable(Map<String, String> environment, String variable, String path) {
    String text = environment.get(variable);
    if (text != null && !text.isEmpty()) {
      values.put(path, RawValue.text(variable, text));
    }
  }

  /** Returns the values that command-line flags set, given by path. */
  static ConfigLayer fromFlags(Map<String, String> flags) {
    ConfigLayer layer = new ConfigLayer();
    flags.forEach((path, text) -> layer.values.put(path, RawValue.text("flag", text)));
    return layer;
  }
}
