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
 * What a file may hold, read from records: a component is a key; where its type is a record, a table; where it is a
 * list of records, an array of tables, whose paths carry numbers as in {@code fault.0.at}. An element record holds its
 * defaults in a static field {@code DEFAULT}.
 *
 * @param <T> the record that a whole file is bound to
 */
public final class Schema<T extends Record> {
  /**
   * One key.
   *
   * @param path such as {@code log.level}, or {@code fault.*.at} in an array of tables
   * @param type the type of its value, or of its elements where it is a list
   * @param list whether it is a list of plain values
   * @param initial its default
   */
  public record Key(String path, Class<?> type, boolean list, Setting setting, Object initial) {}

  private static final Pattern NUMBER = Pattern.compile("\\.\\d+(?=\\.|$)");

  private final Class<T> root;
  private final T defaults;
  private final Map<String, Key> keys = new LinkedHashMap<>();
  private final Map<String, Setting> tables = new LinkedHashMap<>();

  /** The schema of this record, with these defaults. */
  public Schema(Class<T> root, T defaults) {
    this.root = root;
    this.defaults = defaults;
    walk("", root, defaults);
  }

  private void walk(String prefix, Class<?> type, Object of) {
    for (RecordComponent component : type.getRecordComponents()) {
      String path = prefix + name(component);
      Class<?> element = element(component);
      Object value = get(component, of);
      if (component.getType().isRecord() && component.getType() != Size.class) {
        tables.put(path, setting(component));
        walk(path + '.', component.getType(), value);
      } else if (element != null && element.isRecord() && element != Size.class) {
        tables.put(path + ".*", setting(component));
        walk(path + ".*.", element, initial(element));
      } else {
        Class<?> plain = element == null ? component.getType() : primitive(element);
        keys.put(path, new Key(path, plain, element != null, component.getAnnotation(Setting.class), value));
      }
    }
  }

  private static Setting setting(RecordComponent component) {
    Setting own = component.getAnnotation(Setting.class);
    Class<?> element = element(component);
    return own != null ? own : (element == null ? component.getType() : element).getAnnotation(Setting.class);
  }

  private static Class<?> element(RecordComponent component) {
    return component.getGenericType() instanceof ParameterizedType type && component.getType() == List.class
        ? (Class<?>) type.getActualTypeArguments()[0] : null;
  }

  private static Class<?> primitive(Class<?> boxed) {
    return boxed == Integer.class ? int.class : boxed == Double.class ? double.class : boxed;
  }

  private static Object initial(Class<?> element) {
    try {
      return element.getField("DEFAULT").get(null);
    } catch (ReflectiveOperationException fault) {
      throw new IllegalStateException(element + " has no DEFAULT", fault);
    }
  }

  private static String name(RecordComponent component) {
    return component.getName().replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
  }

  private static Object get(RecordComponent component, Object of) {
    try {
      return component.getAccessor().invoke(of);
    } catch (ReflectiveOperationException impossible) {
      throw new IllegalStateException(impossible); // accessors of public records are public
    }
  }

  /** All keys by their paths, in the order of the records. */
  public Map<String, Key> keys() {
    return keys;
  }

  /** All tables by their paths. */
  public Map<String, Setting> tables() {
    return tables;
  }

  private static String pattern(String path) {
    return NUMBER.matcher(path).replaceAll(".*");
  }

  /** The key of this path, or null. */
  public Key key(String path) {
    return keys.get(pattern(path));
  }

  /** Whether a table stands at this path, or an array of tables. */
  public boolean table(String path) {
    String pattern = pattern(path);
    return path.isEmpty() || tables.containsKey(pattern) || tables.containsKey(pattern + ".*");
  }

  /** The value that was written at this path, or {@link IllegalArgumentException} with what was expected. */
  public Object check(String path, Written written) {
    Key key = key(path);
    if (key == null) {
      if (table(path)) {
        throw new IllegalArgumentException("expected a table of keys");
      }
      String near = nearest(path);
      throw new IllegalArgumentException("unknown key" + (near == null ? "" : "; the nearest known is " + near));
    }
    if (!key.list()) {
      return plain(key, written);
    }
    if (written.items() == null) {
      throw new IllegalArgumentException("expected a list, each " + Values.expected(key.type()));
    }
    List<Object> items = new ArrayList<>();
    for (Written item : written.items()) {
      items.add(plain(key, item));
    }
    return List.copyOf(items);
  }

  private static Object plain(Key key, Written written) {
    if (!written.plain() || written.quoted() != null && written.quoted() != Values.quoted(key.type())) {
      throw new IllegalArgumentException("expected " + Values.expected(key.type()));
    }
    Object read;
    try {
      read = Values.parse(key.type(), written.text());
    } catch (IllegalArgumentException fault) {
      throw new IllegalArgumentException("expected " + fault.getMessage() + ", not \"" + written.text() + '"', fault);
    }
    String min = key.setting().min();
    String max = key.setting().max();
    if (!min.isEmpty() && compare(read, Values.parse(key.type(), min)) < 0
        || !max.isEmpty() && compare(read, Values.parse(key.type(), max)) > 0) {
      throw new IllegalArgumentException("expected " + min + " to " + max + ", not " + Values.write(read));
    }
    return read;
  }

  private static int compare(Object one, Object other) {
    if (one instanceof Duration duration) {
      return duration.compareTo((Duration) other);
    } else if (one instanceof Size size) {
      return size.compareTo((Size) other);
    }
    return Double.compare(((Number) one).doubleValue(), ((Number) other).doubleValue());
  }

  /** Binds these checked values by path; a path that is missing takes its default. */
  public T bind(Map<String, Object> values) {
    return root.cast(bind("", root, defaults, new TreeMap<>(values)));
  }

  private static Object bind(String prefix, Class<?> type, Object of, TreeMap<String, Object> values) {
    List<Object> arguments = new ArrayList<>();
    for (RecordComponent component : type.getRecordComponents()) {
      String path = prefix + name(component);
      Class<?> element = element(component);
      Object initial = get(component, of);
      if (component.getType().isRecord() && component.getType() != Size.class) {
        arguments.add(bind(path + '.', component.getType(), initial, values));
      } else if (element != null && element.isRecord() && element != Size.class) {
        int count = count(path + '.', values);
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          items.add(bind(path + '.' + i + '.', element, initial(element), values));
        }
        arguments.add(count == 0 ? initial : List.copyOf(items));
      } else {
        arguments.add(values.getOrDefault(path, initial));
      }
    }
    return construct(type, arguments);
  }

  /** How many elements an array of tables has: one more than the highest number that a path carries. */
  private static int count(String prefix, TreeMap<String, Object> values) {
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
      throw new IllegalStateException(impossible); // the records have one public constructor each
    }
  }

  /** The values of a bound record by path, but for arrays of tables. */
  public Map<String, Object> values(T of) {
    Map<String, Object> values = new LinkedHashMap<>();
    values("", root, of, values);
    return values;
  }

  private static void values(String prefix, Class<?> type, Object of, Map<String, Object> values) {
    for (RecordComponent component : type.getRecordComponents()) {
      if (component.getType().isRecord() && component.getType() != Size.class) {
        values(prefix + name(component) + '.', component.getType(), get(component, of), values);
      } else {
        values.put(prefix + name(component), get(component, of));
      }
    }
  }

  /** The key that is written most like this, or null when none is near. */
  public String nearest(String path) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String pattern = pattern(path);
    String last = path.substring(path.lastIndexOf('.') + 1);
    String best = null;
    int least = Integer.MAX_VALUE;
    for (String known : keys.keySet()) {
      String knownLast = known.substring(known.lastIndexOf('.') + 1);
      int whole = distance.apply(pattern, known);
      int part = distance.apply(last, knownLast) + 1; // the right key in the wrong table
      int steps = Math.min(whole, part);
      if (steps < least && steps <= Math.max(2, knownLast.length() / 2)) {
        least = steps;
        best = known;
      }
    }
    return best;
  }

  /** The reference of all keys as Markdown, a section for each table. */
  public String reference() {
    StringBuilder out = new StringBuilder();
    if (keys.keySet().stream().anyMatch(path -> path.indexOf('.') < 0)) {
      section(out, "", "");
    }
    for (Map.Entry<String, Setting> table : tables.entrySet()) {
      Matcher array = Pattern.compile("(.*)\\.\\*").matcher(table.getKey());
      String open = array.matches() ? "[[" + array.group(1) + "]]" : "[" + table.getKey() + "]";
      out.append("\n## `").append(open).append("`\n\n").append(table.getValue().value()).append('\n');
      section(out, table.getKey() + '.', table.getKey());
    }
    return out.toString();
  }

  private void section(StringBuilder out, String prefix, String table) {
    out.append("\n| key | type | default | from | to | change | effect |\n")
        .append("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (Key key : keys.values()) {
      int last = key.path().lastIndexOf('.');
      if ((last < 0 ? "" : key.path().substring(0, last)).equals(table)) {
        Setting setting = key.setting();
        out.append("| `").append(key.path().replace(".*", "")).append("` | ").append(word(key)).append(" | `")
            .append(Values.toml(key.initial())).append("` | ").append(setting.min()).append(" | ")
            .append(setting.max()).append(" | ").append(setting.restart() ? "restart" : "SIGHUP")
            .append(" | ").append(setting.value()).append(" |\n");
      }
    }
  }

  private static String word(Key key) {
    String word = key.type().isEnum() ? "word" : switch (key.type().getSimpleName()) {
      case "int" -> "whole number";
      case "double" -> "number";
      case "boolean" -> "true or false";
      case "Duration" -> "time";
      case "Size" -> "size";
      default -> "text";
    };
    return key.list() ? "list of " + word : word;
  }
}
