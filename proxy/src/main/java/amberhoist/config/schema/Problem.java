package amberhoist.config.schema;

/**
 * Something that is wrong with a configuration.
 *
 * @param where the file with its line, the variable or the flag
 * @param key the key's path, empty where it is not one key
 * @param message what is wrong, and what was expected
 */
public record Problem(String where, String key, String message) {
  @Override
  public String toString() {
    return where + ": " + (key.isEmpty() ? "" : key + ": ") + message;
  }
}
