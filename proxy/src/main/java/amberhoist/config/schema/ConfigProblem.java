package amberhoist.config.schema;

/**
 * A problem found in a configuration.
 *
 * @param origin origin of the problem: a file and line, an environment variable or a flag
 * @param key path of the key, empty if the problem does not concern a single key
 * @param message what is wrong and what was expected
 */
public record ConfigProblem(String origin, String key, String message) {
  @Override
  public String toString() {
    return origin + ": " + (key.isEmpty() ? "" : key + ": ") + message;
  }
}
