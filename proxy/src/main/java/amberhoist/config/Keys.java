package amberhoist.config;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** The keys of {@link Operator}, read from its records: their paths, types, defaults, bounds and meanings. */
final class Keys {
  /**
   * One key.
   *
   * @param path such as {@code log.level}
   * @param initial its default
   */
  record Key(String path, Class<?> type, Setting setting, Object initial) {
    /** The environment variable that sets it. */
    String variable() {
      return "AMBERHOIST_" + path.replace('.', '_').toUpperCase(Locale.ROOT);
    }
  }

  private static final Map<String, Key> ALL = new LinkedHashMap<>();
  private static final Map<String, Setting> TABLES = new LinkedHashMap<>();

  static {
    for (RecordComponent table : Operator.class.getRecordComponents()) {
      TABLES.put(name(table), table.getType().getAnnotation(Setting.class));
      for (RecordComponent key : table.getType().getRecordComponents()) {
        Object initial = get(key, get(table, Operator.DEFAULT));
        String path = name(table) + '.' + name(key);
        ALL.put(path, new Key(path, key.getType(), key.getAnnotation(Setting.class), initial));
      }
    }
  }

  private Keys() {}

  /** All keys by their paths, in the order of the page. */
  static Map<String, Key> all() {
    return ALL;
  }

  /** All tables by their names. */
  static Map<String, Setting> tables() {
    return TABLES;
  }

  private static Object get(RecordComponent component, Object of) {
    try {
      return component.getAccessor().invoke(of);
    } catch (ReflectiveOperationException impossible) {
      throw new IllegalStateException(impossible); // accessors of public records are public
    }
  }

  private static String name(RecordComponent component) {
    return component.getName().replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
  }

  /** Makes the operator's file of these values by path; a path that is missing takes its default. */
  static Operator bind(Map<String, Object> values) {
    List<Object> tables = new ArrayList<>();
    for (RecordComponent table : Operator.class.getRecordComponents()) {
      List<Object> keys = new ArrayList<>();
      for (RecordComponent key : table.getType().getRecordComponents()) {
        String path = name(table) + '.' + name(key);
        keys.add(values.getOrDefault(path, ALL.get(path).initial()));
      }
      tables.add(construct(table.getType(), keys));
    }
    return (Operator) construct(Operator.class, tables);
  }

  private static Object construct(Class<?> type, List<Object> arguments) {
    try {
      Constructor<?> canonical = type.getDeclaredConstructors()[0];
      return canonical.newInstance(arguments.toArray());
    } catch (ReflectiveOperationException impossible) {
      throw new IllegalStateException(impossible); // the records have one public constructor each
    }
  }

  /** The values of this file by path. */
  static Map<String, Object> values(Operator operator) {
    Map<String, Object> values = new LinkedHashMap<>();
    for (RecordComponent table : Operator.class.getRecordComponents()) {
      for (RecordComponent key : table.getType().getRecordComponents()) {
        values.put(name(table) + '.' + name(key), get(key, get(table, operator)));
      }
    }
    return values;
  }

  /** The key that is written most like this, or null when none is near. */
  static String nearest(String path) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String last = path.substring(path.lastIndexOf('.') + 1);
    String best = null;
    int least = Integer.MAX_VALUE;
    for (String known : ALL.keySet()) {
      String knownLast = known.substring(known.lastIndexOf('.') + 1);
      int whole = distance.apply(path, known);
      int part = distance.apply(last, knownLast) + 1; // the right key in the wrong table
      int steps = Math.min(whole, part);
      if (steps < least && steps <= Math.max(2, knownLast.length() / 2)) {
        least = steps;
        best = known;
      }
    }
    return best;
  }
}
