package amberhoist.config.schema;

import java.util.List;

/**
 * A value as read from a source, before validation.
 *
 * @param where origin of the value: a file and line, an environment variable or a flag
 * @param text the value as text
 * @param quoted whether the value is a quoted string; null if the source does not distinguish strings from other types
 * @param items the elements if the value is a list, otherwise null
 * @param plain whether the value is a scalar, neither a list nor a table
 */
public record Written(String where, String text, Boolean quoted, List<Written> items, boolean plain) {
  /** Creates a scalar value from a source that does not distinguish strings from other types. */
  public static Written text(String origin, String text) {
    return new Written(origin, text, null, null, true);
  }
}
