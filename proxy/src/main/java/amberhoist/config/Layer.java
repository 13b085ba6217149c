package amberhoist.config;

import amberhoist.config.schema.Problem;
import amberhoist.config.schema.TomlSource;
import amberhoist.config.schema.Written;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What one source says of keys: the operator's file, the platform's JSON, the environment or flags.
 *
 * @param values what it says, by the key's path
 */
record Layer(Map<String, Written> values) {
  private static final Map<String, String> PLATFORM = Map.of("name", "instance.name", "listen",
      "instance.listen", "discovery", "instance.directory", "mgmt", "instance.mgmt");
  private static final Map<String, String> VARIABLES = Map.of("LB_NAME", "instance.name", "LB_LISTEN",
      "instance.listen", "LB_DISCOVERY", "instance.directory", "LB_CONFIG", "instance.platform",
      "LB_MGMT", "instance.mgmt");

  private Layer() {
    this(new LinkedHashMap<>());
  }

  /** Reads the operator's file; what cannot be parsed is a problem, and the layer is then empty. */
  static Layer file(Path file, List<Problem> problems) {
    return new Layer(TomlSource.read(Keys.SCHEMA, file, problems));
  }

  /** What the platform's JSON says of keys. A file that cannot be read says nothing here: Config tells of it. */
  static Layer platform(Path file) {
    Layer layer = new Layer();
    try {
      JsonNode root = new ObjectMapper().readTree(file.toFile());
      PLATFORM.forEach((name, path) -> layer.put(path, root.path(name), file));
      layer.put("limits.descriptors", root.path("limits").path("sockets"), file);
    } catch (IOException fault) {
      // told by Config, which reads all of it
    }
    return layer;
  }

  private void put(String path, JsonNode node, Path file) {
    if (!node.isMissingNode() && !node.isNull()) {
      String text = node.isNumber() ? Long.toString(node.asLong()) : node.asText();
      values.put(path, new Written(file.toString(), text, null, null, node.isValueNode()));
    }
  }

  /** What the environment says of keys; at a reload it no longer says where the directory is. */
  static Layer environment(Map<String, String> environment, boolean reload) {
    Layer layer = new Layer();
    Keys.SCHEMA.keys().keySet().forEach(path -> layer.variable(environment,
        "AMBERHOIST_" + path.replace('.', '_').toUpperCase(Locale.ROOT), path));
    VARIABLES.forEach((variable, path) -> {
      if (!(reload && variable.equals("LB_DISCOVERY"))) {
        layer.variable(environment, variable, path);
      }
    });
    return layer;
  }

  private void variable(Map<String, String> environment, String variable, String path) {
    String text = environment.get(variable);
    if (text != null && !text.isEmpty()) {
      values.put(path, Written.text(variable, text));
    }
  }

  /** What flags say of keys. */
  static Layer flags(Map<String, String> flags) {
    Layer layer = new Layer();
    flags.forEach((path, text) -> layer.values.put(path, Written.text("flag", text)));
    return layer;
  }
}
