package amberhoist.config.schema;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a TOML file into values by path, each with the line it stands on. Jackson reads TOML whole and keeps no places,
 * so the lines of tables and keys are looked up beside it; a value that a key's line cannot be found for is told at its
 * table's.
 */
public final class TomlSource {
  private static final Pattern ARRAY = Pattern.compile("\\s*\\[\\[\\s*([^\\]#]+?)\\s*\\]\\].*");
  private static final Pattern TABLE = Pattern.compile("\\s*\\[\\s*([^\\]#\\[]+?)\\s*\\].*");
  private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.\"' -]+?)\\s*=.*");

  private final Schema<?> schema;
  private final String name;
  private final Map<String, Integer> lines;
  private final Map<String, Written> values = new LinkedHashMap<>();

  private TomlSource(Schema<?> schema, String name, Map<String, Integer> lines) {
    this.schema = schema;
    this.name = name;
    this.lines = lines;
  }

  /** The values of a file by path; what cannot be read or parsed is a problem, and the values are then empty. */
  public static Map<String, Written> read(Schema<?> schema, Path file, List<Problem> problems) {
    try {
      String text = Files.readString(file);
      TomlSource source = new TomlSource(schema, file.toString(), lines(text));
      source.flatten("", new TomlMapper().readTree(text));
      return source.values;
    } catch (JsonProcessingException fault) {
      int line = fault.getLocation() == null ? 1 : Math.max(1, fault.getLocation().getLineNr());
      problems.add(new Problem(file + ":" + line, "", "no TOML: " + fault.getOriginalMessage()));
    } catch (IOException fault) {
      problems.add(new Problem(file.toString(), "", "cannot be read: " + fault));
    }
    return new LinkedHashMap<>();
  }

  private static Map<String, Integer> lines(String text) {
    Map<String, Integer> lines = new HashMap<>();
    Map<String, Integer> elements = new HashMap<>();
    String table = "";
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      Matcher matcher = ARRAY.matcher(line);
      if (matcher.matches()) {
        String array = bare(matcher.group(1));
        table = array + '.' + (elements.merge(array, 1, Integer::sum) - 1);
        lines.putIfAbsent(table, number);
        continue;
      }
      matcher = TABLE.matcher(line);
      if (matcher.matches()) {
        table = bare(matcher.group(1));
        lines.putIfAbsent(table, number);
        continue;
      }
      matcher = ENTRY.matcher(line);
      if (matcher.matches()) {
        String key = bare(matcher.group(1));
        lines.putIfAbsent(table.isEmpty() ? key : table + '.' + key, number);
      }
    }
    return lines;
  }

  private static String bare(String key) {
    return key.replaceAll("[\"' ]", "");
  }

  private String where(String path) {
    for (String at = path; ; at = at.substring(0, at.lastIndexOf('.'))) {
      if (lines.containsKey(at) || at.indexOf('.') < 0) {
        return name + ':' + lines.getOrDefault(at, 1);
      }
    }
  }

  private void flatten(String path, JsonNode node) {
    boolean key = schema.key(path) != null;
    boolean nothing = node.isEmpty() && !schema.table(path);
    if (node.isObject() && !key && !nothing) {
      node.fields().forEachRemaining(field ->
          flatten(path.isEmpty() ? field.getKey() : path + '.' + field.getKey(), field.getValue()));
    } else if (node.isArray() && !key && !node.isEmpty() && node.get(0).isObject()) {
      for (int i = 0; i < node.size(); i++) {
        flatten(path + '.' + i, node.get(i));
      }
    } else {
      values.put(path, written(where(path), node));
    }
  }

  private static Written written(String where, JsonNode node) {
    List<Written> items = null;
    if (node.isArray()) {
      items = new ArrayList<>();
      for (JsonNode item : node) {
        items.add(written(where, item));
      }
    }
    return new Written(where, node.asText(), node.isTextual(), items, node.isValueNode());
  }
}
