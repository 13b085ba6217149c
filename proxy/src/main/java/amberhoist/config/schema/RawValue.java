package amberhoist.config.schema;

import java.util.List;

/**
 * A value as read from a source, before validation.
 *
 * @param origin origin of the value: a file and line, an environment variable or a flag
 * @param text the value as text
 * @param isQuoted whether the value is a quoted string; null if the source does not tell strings from other types
 * @param items the elements if the value is a list, otherwise null
 * @param isScalar whether the value is a scalar, neither a list nor a table
 */
public record RawValue(String origin, String text, Boolean isQuoted, List<RawValue> items, boolean isScalar) {
  /** Creates a scalar value from a source that does not distinguish strings from other types. */
  public static RawValue text(String origin, String text) {
    return new RawValue(origin, text, null, null, true);
  }
}
