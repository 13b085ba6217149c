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
 * Reads a TOML file into values by path, each with its line number. Jackson's TOML parser does not retain the positions
 * of values, so a separate scan of the text finds the lines of tables and keys. A value whose own line is not found is
 * reported at the line of its table.
 */
public final class TomlReader {
  private static final Pattern ARRAY_HEADER = Pattern.compile("\\s*\\[\\[\\s*([^\\]#]+?)\\s*\\]\\].*");
  private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[\\s*([^\\]#\\[]+?)\\s*\\].*");
  private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.\"' -]+?)\\s*=.*");

  private final Schema<?> schema;
  private final String fileName;
  private final Map<String, Integer> lines;
  private final Map<String, RawValue> values = new LinkedHashMap<>();

  private TomlReader(Schema<?> schema, String fileName, Map<String, Integer> lines) {
    this.schema = schema;
    this.fileName = fileName;
    this.lines = lines;
  }

  /** Returns the values of a file by path. If it cannot be read or parsed, adds a problem and returns an empty map. */
  public static Map<String, RawValue> read(Schema<?> schema, Path file, List<ConfigProblem> problems) {
    try {
      String text = Files.readString(file);
      TomlReader reader = new TomlReader(schema, file.toString(), findLines(text));
      reader.flatten("", new TomlMapper().readTree(text));
      return reader.values;
    } catch (JsonProcessingException fault) {
      int line = fault.getLocation() == null ? 1 : Math.max(1, fault.getLocation().getLineNr());
      problems.add(new ConfigProblem(file + ":" + line, "", "invalid TOML: " + fault.getOriginalMessage()));
    } catch (IOException fault) {
      problems.add(new ConfigProblem(file.toString(), "", "cannot be read: " + fault));
    }
    return new LinkedHashMap<>();
  }

  /** Returns the line numbers of table headers and keys by path, from 1. */
  private static Map<String, Integer> findLines(String text) {
    Map<String, Integer> lines = new HashMap<>();
    Map<String, Integer> elementCounts = new HashMap<>();
    String table = "";
    int lineNumber = 0;
    for (String line : text.lines().toList()) {
      lineNumber++;
      Matcher matcher = ARRAY_HEADER.matcher(line);
      if (matcher.matches()) {
        String array = unquote(matcher.group(1));
        table = array + '.' + (elementCounts.merge(array, 1, Integer::sum) - 1);
        lines.putIfAbsent(table, lineNumber);
        continue;
      }
      matcher = TABLE_HEADER.matcher(line);
      if (matcher.matches()) {
        table = unquote(matcher.group(1));
        lines.putIfAbsent(table, lineNumber);
        continue;
      }
      matcher = ENTRY.matcher(line);
      if (matcher.matches()) {
        String key = unquote(matcher.group(1));
        lines.putIfAbsent(table.isEmpty() ? key : table + '.' + key, lineNumber);
      }
    }
    return lines;
  }

  /** Removes quotes and spaces from a dotted key. */
  private static String unquote(String key) {
    return key.replaceAll("[\"' ]", "");
  }

  /** Returns the file and line of the path, or of the nearest enclosing table with a known line. */
  private String locate(String path) {
    for (String prefix = path; ; prefix = prefix.substring(0, prefix.lastIndexOf('.'))) {
      if (lines.containsKey(prefix) || prefix.indexOf('.') < 0) {
        return fileName + ':' + lines.getOrDefault(prefix, 1);
      }
    }
  }

  /**
   * Adds the values below this node. An empty table that the schema does not know is added too, so that it is reported.
   */
  private void flatten(String path, JsonNode node) {
    boolean isKey = schema.findKey(path) != null;
    boolean isUnknownAndEmpty = node.isEmpty() && !schema.isTable(path);
    if (node.isObject() && !isKey && !isUnknownAndEmpty) {
      node.fields().forEachRemaining(field ->
          flatten(path.isEmpty() ? field.getKey() : path + '.' + field.getKey(), field.getValue()));
    } else if (node.isArray() && !isKey && !node.isEmpty() && node.get(0).isObject()) {
      for (int i = 0; i < node.size(); i++) {
        flatten(path + '.' + i, node.get(i));
      }
    } else {
      values.put(path, toRawValue(locate(path), node));
    }
  }

  private static RawValue toRawValue(String origin, JsonNode node) {
    List<RawValue> items = null;
    if (node.isArray()) {
      items = new ArrayList<>();
      for (JsonNode item : node) {
        items.add(toRawValue(origin, item));
      }
    }
    return new RawValue(origin, node.asText(), node.isTextual(), items, node.isValueNode());
  }
}
