package amberhoist.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What one source says of keys: the operator's file, the platform's JSON, the environment or flags.
 *
 * @param source its name for the operator
 * @param values what it says, by the key's path
 */
record Layer(String source, Map<String, Value> values) {
  /**
   * A value as it was written.
   *
   * @param text the value's text
   * @param quoted whether it was written as a text; null where the source knows only texts
   * @param plain whether it is a plain value, not a list or a table
   */
  record Value(String where, String text, Boolean quoted, boolean plain) {}

  private static final Pattern TABLE = Pattern.compile("\\s*\\[+\\s*([^\\]#]+?)\\s*\\]+.*");
  private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.\"' -]+?)\\s*=.*");
  private static final Map<String, String> PLATFORM = Map.of("name", "instance.name", "listen",
      "instance.listen", "discovery", "instance.directory");
  private static final Map<String, String> VARIABLES = Map.of("LB_NAME", "instance.name", "LB_LISTEN",
      "instance.listen", "LB_DISCOVERY", "instance.directory", "LB_CONFIG", "instance.platform");

  /** Reads the operator's file; what cannot be parsed is a problem, and the layer is then empty. */
  static Layer file(Path file, List<Problem> problems) {
    Layer layer = new Layer(file.toString(), new LinkedHashMap<>());
    try {
      String text = Files.readString(file);
      layer.flatten("", new TomlMapper().readTree(text), lines(text));
    } catch (JsonProcessingException fault) {
      int line = fault.getLocation() == null ? 1 : Math.max(1, fault.getLocation().getLineNr());
      problems.add(new Problem(file + ":" + line, "", "no TOML: " + fault.getOriginalMessage()));
    } catch (IOException fault) {
      problems.add(new Problem(file.toString(), "", "cannot be read: " + fault));
    }
    return layer;
  }

  /** The lines on which keys and tables stand. Jackson reads TOML whole and keeps no places. */
  private static Map<String, Integer> lines(String text) {
    Map<String, Integer> lines = new HashMap<>();
    String table = "";
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      Matcher matcher = TABLE.matcher(line);
      if (matcher.matches()) {
        table = matcher.group(1).replaceAll("[\"' ]", "");
        lines.putIfAbsent(table, number);
        continue;
      }
      matcher = ENTRY.matcher(line);
      if (matcher.matches()) {
        String key = matcher.group(1).replaceAll("[\"' ]", "");
        lines.putIfAbsent(table.isEmpty() ? key : table + '.' + key, number);
      }
    }
    return lines;
  }

  private static int line(Map<String, Integer> lines, String path) {
    for (String at = path; ; at = at.substring(0, at.lastIndexOf('.'))) {
      if (lines.containsKey(at) || at.indexOf('.') < 0) {
        return lines.getOrDefault(at, 1);
      }
    }
  }

  private void flatten(String path, JsonNode node, Map<String, Integer> lines) {
    boolean table = path.isEmpty() || Keys.tables().containsKey(path) || !Keys.all().containsKey(path);
    boolean unknown = node.isEmpty() && !path.isEmpty() && !Keys.tables().containsKey(path);
    if (node.isObject() && table && !unknown) {
      node.fields().forEachRemaining(field ->
          flatten(path.isEmpty() ? field.getKey() : path + '.' + field.getKey(), field.getValue(), lines));
    } else {
      values.put(path, new Value(source + ":" + line(lines, path), node.asText(), node.isTextual(),
          node.isValueNode()));
    }
  }

  /** What the platform's JSON says of keys. A file that cannot be read says nothing here: Config tells of it. */
  static Layer platform(Path file) {
    Layer layer = new Layer(file.toString(), new LinkedHashMap<>());
    try {
      JsonNode root = new ObjectMapper().readTree(file.toFile());
      PLATFORM.forEach((name, path) -> layer.put(path, root.path(name)));
      layer.put("limits.descriptors", root.path("limits").path("sockets"));
    } catch (IOException fault) {
      // told by Config, which reads all of it
    }
    return layer;
  }

  private void put(String path, JsonNode node) {
    if (!node.isMissingNode() && !node.isNull()) {
      String text = node.isNumber() ? Long.toString(node.asLong()) : node.asText();
      values.put(path, new Value(source, text, null, node.isValueNode()));
    }
  }

  /** What the environment says of keys; at a reload it no longer says where the directory is. */
  static Layer environment(Map<String, String> environment, boolean reload) {
    Layer layer = new Layer("environment", new LinkedHashMap<>());
    Keys.all().values().forEach(key -> layer.variable(environment, key.variable(), key.path()));
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
      values.put(path, new Value(variable, text, null, true));
    }
  }

  /** What flags say of keys. */
  static Layer flags(Map<String, String> flags) {
    Layer layer = new Layer("flags", new LinkedHashMap<>());
    flags.forEach((path, text) -> layer.values.put(path, new Value("flag", text, null, true)));
    return layer;
  }
}
