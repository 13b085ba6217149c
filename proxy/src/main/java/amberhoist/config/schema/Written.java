package amberhoist.config.schema;

import java.util.List;

/**
 * A value as a source has it, before it is checked.
 *
 * @param where the file with its line, the variable or the flag
 * @param text the value's text
 * @param quoted whether it was written as a text; null where the source knows only texts
 * @param items the elements where it is a list of plain values, else null
 * @param plain whether it is a plain value, neither list nor table
 */
public record Written(String where, String text, Boolean quoted, List<Written> items, boolean plain) {
  /** A plain value from a source that knows only texts. */
  public static Written text(String where, String text) {
    return new Written(where, text, null, null, true);
  }
}
