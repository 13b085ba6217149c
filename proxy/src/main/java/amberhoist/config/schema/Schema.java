package amberhoist.config.schema;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * The keys that a TOML file may contain, derived from a record by reflection. A record component is a key. If its type
 * is a record, it is a table. If it is a list of records, it is an array of tables whose paths contain the index of the
 * element, as in {@code fault.0.at}; the record of the elements has its defaults in a static field {@code DEFAULT}.
 *
 * <p>A component name in camel case is a key in lower case with underscores.
 *
 * @param <T> the record to which a whole file is bound
 */
public final class Schema<T extends Record> {
  /**
   * One key.
   *
   * @param path such as {@code log.level}, or {@code fault.*.at} in an array of tables
   * @param type the type of the value, or of the elements if the value is a list
   * @param isList whether the value is a list of scalars
   * @param setting description and bounds
   * @param defaultValue the default value
   */
  public record Key(String path, Class<?> type, boolean isList, Setting setting, Object defaultValue) {}

  private static final Pattern INDEX = Pattern.compile("\\.\\d+(?=\\.|$)");

  private final Class<T> root;
  private final T defaults;
  private final Map<String, Key> keys = new LinkedHashMap<>();
  private final Map<String, Setting> tables = new LinkedHashMap<>();

  /**
   * Creates the schema of a record.
   *
   * @param defaults the default values of all keys outside arrays of tables
   */
  public Schema(Class<T> root, T defaults) {
    this.root = root;
    this.defaults = defaults;
    register("", root, defaults);
  }

  /** Registers the keys and tables of a record type. */
  private void register(String prefix, Class<?> type, Object instance) {
    for (RecordComponent component : type.getRecordComponents()) {
      String path = prefix + keyName(component);
      Class<?> element = elementType(component);
      Object value = read(component, instance);
      if (component.getType().isRecord() && component.getType() != Size.class) {
        tables.put(path, settingOf(component));
        register(path + '.', component.getType(), value);
      } else if (element != null && element.isRecord() && element != Size.class) {
        tables.put(path + ".*", settingOf(component));
        register(path + ".*.", element, defaultOf(element));
      } else {
        Class<?> valueType = element == null ? component.getType() : unboxed(element);
        keys.put(path, new Key(path, valueType, element != null, component.getAnnotation(Setting.class), value));
      }
    }
  }

  /** Returns the annotation of the component, or else that of its record type; null if neither has one. */
  private static Setting settingOf(RecordComponent component) {
    Setting own = component.getAnnotation(Setting.class);
    Class<?> element = elementType(component);
    return own != null ? own : (element == null ? component.getType() : element).getAnnotation(Setting.class);
  }

  /** Returns the element type of a list, or null if the component is no list. */
  private static Class<?> elementType(RecordComponent component) {
    return component.getGenericType() instanceof ParameterizedType type && component.getType() == List.class
        ? (Class<?>) type.getActualTypeArguments()[0] : null;
  }

  private static Class<?> unboxed(Class<?> boxed) {
    return boxed == Integer.class ? int.class : boxed == Double.class ? double.class : boxed;
  }

  private static Object defaultOf(Class<?> element) {
    try {
      return element.getField("DEFAULT").get(null);
    } catch (ReflectiveOperationException fault) {
      throw new IllegalStateException(element + " has no DEFAULT", fault);
    }
  }

  private static String keyName(RecordComponent component) {
    return component.getName().replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
  }

  private static Object read(RecordComponent component, Object instance) {
    try {
      return component.getAccessor().invoke(instance);
    } catch (ReflectiveOperationException impossible) {
      throw new IllegalStateException(impossible); // accessors of public records are public
    }
  }

  /** Returns all keys by path, in the order of the record components. */
  public Map<String, Key> keys() {
    return keys;
  }

  /** Returns the descriptions of all tables by path; the path of an array of tables ends in {@code .*}. */
  public Map<String, Setting> tables() {
    return tables;
  }

  /** Replaces the indices in a path by {@code *}. */
  private static String pattern(String path) {
    return INDEX.matcher(path).replaceAll(".*");
  }

  /** Returns the key at this path, or null if there is none. */
  public Key findKey(String path) {
    return keys.get(pattern(path));
  }

  /** Returns whether the path is that of a table or an array of tables; the empty path is the root table. */
  public boolean isTable(String path) {
    String pattern = pattern(path);
    return path.isEmpty() || tables.containsKey(pattern) || tables.containsKey(pattern + ".*");
  }

  /**
   * Parses and validates the value at a path.
   *
   * @throws IllegalArgumentException if the key is unknown or the value invalid; the message says what was expected
   */
  public Object parse(String path, RawValue rawValue) {
    Key key = findKey(path);
    if (key == null) {
      if (isTable(path)) {
        throw new IllegalArgumentException("expected a table of keys");
      }
      String similar = findNearest(path);
      throw new IllegalArgumentException("unknown key" + (similar == null ? "" : "; the nearest known is " + similar));
    }
    if (!key.isList()) {
      return parseScalar(key, rawValue);
    }
    if (rawValue.items() == null) {
      throw new IllegalArgumentException("expected a list, each " + ValueFormat.describeExpected(key.type()));
    }
    List<Object> items = new ArrayList<>();
    for (RawValue item : rawValue.items()) {
      items.add(parseScalar(key, item));
    }
    return List.copyOf(items);
  }

  private static Object parseScalar(Key key, RawValue rawValue) {
    if (!rawValue.isScalar() || rawValue.isQuoted() != null
        && rawValue.isQuoted() != ValueFormat.needsQuotes(key.type())) {
      throw new IllegalArgumentException("expected " + ValueFormat.describeExpected(key.type()));
    }
    Object value;
    try {
      value = ValueFormat.parse(key.type(), rawValue.text());
    } catch (IllegalArgumentException fault) {
      throw new IllegalArgumentException("expected " + fault.getMessage() + ", not \"" + rawValue.text() + '"', fault);
    }
    String min = key.setting().min();
    String max = key.setting().max();
    if (!min.isEmpty() && compare(value, ValueFormat.parse(key.type(), min)) < 0
        || !max.isEmpty() && compare(value, ValueFormat.parse(key.type(), max)) > 0) {
      throw new IllegalArgumentException("expected " + min + " to " + max + ", not " + ValueFormat.format(value));
    }
    return value;
  }

  private static int compare(Object value, Object other) {
    if (value instanceof Duration duration) {
      return duration.compareTo((Duration) other);
    } else if (value instanceof Size size) {
      return size.compareTo((Size) other);
    }
    return Double.compare(((Number) value).doubleValue(), ((Number) other).doubleValue());
  }

  /** Creates a record from validated values by path; a key without a value has its default. */
  public T bind(Map<String, Object> values) {
    return root.cast(bind("", root, defaults, new TreeMap<>(values)));
  }

  private static Object bind(String prefix, Class<?> type, Object instance, TreeMap<String, Object> values) {
    List<Object> arguments = new ArrayList<>();
    for (RecordComponent component : type.getRecordComponents()) {
      String path = prefix + keyName(component);
      Class<?> element = elementType(component);
      Object defaultValue = read(component, instance);
      if (component.getType().isRecord() && component.getType() != Size.class) {
        arguments.add(bind(path + '.', component.getType(), defaultValue, values));
      } else if (element != null && element.isRecord() && element != Size.class) {
        int count = elementCount(path + '.', values);
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          items.add(bind(path + '.' + i + '.', element, defaultOf(element), values));
        }
        arguments.add(count == 0 ? defaultValue : List.copyOf(items));
      } else {
        arguments.add(values.getOrDefault(path, defaultValue));
      }
    }
    return construct(type, arguments);
  }

  /** Returns the number of elements of an array of tables: one more than the highest index in a path. */
  private static int elementCount(String prefix, TreeMap<String, Object> values) {
    int count = 0;
    for (String path : values.tailMap(prefix).keySet()) {
      if (!path.startsWith(prefix)) {
        break;
      }
      int end = path.indexOf('.', prefix.length());
      count = Math.max(count, 1 + Integer.parseInt(path.substring(prefix.length(), end)));
    }
    return count;
  }

  private static Object construct(Class<?> type, List<Object> arguments) {
    try {
      Constructor<?> canonical = type.getDeclaredConstructors()[0];
      return canonical.newInstance(arguments.toArray());
    } catch (ReflectiveOperationException impossible) {
      throw new IllegalStateException(impossible); // each of the records has one public constructor
    }
  }

  /** Returns the values of a record by path; an array of tables is a single value, a list of records. */
  public Map<String, Object> values(T instance) {
    Map<String, Object> values = new LinkedHashMap<>();
    values("", root, instance, values);
    return values;
  }

  private static void values(String prefix, Class<?> type, Object instance, Map<String, Object> values) {
    for (RecordComponent component : type.getRecordComponents()) {
      if (component.getType().isRecord() && component.getType() != Size.class) {
        values(prefix + keyName(component) + '.', component.getType(), read(component, instance), values);
      } else {
        values.put(prefix + keyName(component), read(component, instance));
      }
    }
  }

  /** Returns the path of the key with the most similar spelling, or null if none is similar. */
  public String findNearest(String path) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String pattern = pattern(path);
    String name = path.substring(path.lastIndexOf('.') + 1);
    String nearest = null;
    int minDistance = Integer.MAX_VALUE;
    for (String known : keys.keySet()) {
      String knownName = known.substring(known.lastIndexOf('.') + 1);
      int pathDistance = distance.apply(pattern, known);
      int nameDistance = distance.apply(name, knownName) + 1; // a known key in another table
      int editDistance = Math.min(pathDistance, nameDistance);
      if (editDistance < minDistance && editDistance <= Math.max(2, knownName.length() / 2)) {
        minDistance = editDistance;
        nearest = known;
      }
    }
    return nearest;
  }

  /** Returns the reference of all keys as Markdown, with a section for each table. */
  public String toMarkdown() {
    StringBuilder out = new StringBuilder();
    if (keys.keySet().stream().anyMatch(path -> path.indexOf('.') < 0)) {
      appendSection(out, "");
    }
    for (Map.Entry<String, Setting> table : tables.entrySet()) {
      Matcher array = Pattern.compile("(.*)\\.\\*").matcher(table.getKey());
      String header = array.matches() ? "[[" + array.group(1) + "]]" : "[" + table.getKey() + "]";
      out.append("\n## `").append(header).append("`\n\n").append(table.getValue().value()).append('\n');
      appendSection(out, table.getKey());
    }
    return out.toString();
  }

  private void appendSection(StringBuilder out, String table) {
    out.append("\n| key | type | default | from | to | change | effect |\n")
        .append("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (Key key : keys.values()) {
      int last = key.path().lastIndexOf('.');
      if ((last < 0 ? "" : key.path().substring(0, last)).equals(table)) {
        Setting setting = key.setting();
        out.append("| `").append(key.path().replace(".*", "")).append("` | ").append(typeName(key)).append(" | `")
            .append(ValueFormat.toToml(key.defaultValue())).append("` | ").append(setting.min()).append(" | ")
            .append(setting.max()).append(" | ").append(setting.restart() ? "restart" : "SIGHUP")
            .append(" | ").append(setting.value()).append(" |\n");
      }
    }
  }

  private static String typeName(Key key) {
    String name = key.type().isEnum() ? "word" : switch (key.type().getSimpleName()) {
      case "int" -> "whole number";
      case "double" -> "number";
      case "boolean" -> "true or false";
      case "Duration" -> "time";
      case "Size" -> "size";
      default -> "text";
    };
    return key.isList() ? "list of " + name : name;
  }
}
