package amberhoist.simulator;

import amberhoist.decide.Balancer.ConnectionValue;
import amberhoist.decide.Balancer.DedupScope;
import amberhoist.decide.Balancer.Effect;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Settings;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the JSON object with the platform's settings into {@link Settings}. Unknown keys are ignored. A missing key has
 * the default given here, which is a conservative value.
 */
public final class SettingsReader {
  private static final String UTILIZATION_FIELD = "x0";

  private final Map<String, String> values = new LinkedHashMap<>();

  private SettingsReader() {}

  /**
   * Reads the JSON object whose opening brace is the parser's current token.
   *
   * @throws IllegalArgumentException if the current token is not an opening brace
   */
  public static SettingsReader read(JsonParser in) throws IOException {
    if (in.currentToken() != JsonToken.START_OBJECT) {
      throw new IllegalArgumentException("settings must be an object");
    }
    SettingsReader reader = new SettingsReader();
    reader.flatten(in, "");
    return reader;
  }

  /** Stores each scalar under its path, such as {@code lanes.0.aim}, and an empty text for each object and array. */
  private void flatten(JsonParser in, String path) throws IOException {
    boolean isArray = in.currentToken() == JsonToken.START_ARRAY;
    int index = 0;
    for (JsonToken token = in.nextToken(); !token.isStructEnd(); token = in.nextToken()) {
      String name = isArray ? Integer.toString(index++) : in.currentName();
      if (!isArray) {
        token = in.nextToken();
      }
      String childPath = path.isEmpty() ? name : path + '.' + name;
      if (token.isStructStart()) {
        values.put(childPath, "");
        flatten(in, childPath);
      } else {
        values.put(childPath, in.getText());
      }
    }
  }

  /** Whether changes of the list arrive unasked, so that each counts as known when the list service has it. */
  public boolean pushesLists() {
    return "automatic".equals(values.get("discovery"));
  }

  /**
   * Returns the settings of the balancer.
   *
   * @throws IllegalArgumentException if a value is not a number or out of range
   */
  public Settings settings() {
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; values.containsKey("lanes." + i); i++) {
      classes.add(requestClass("lanes." + i + '.', number("family-info.message-aim." + i, 0)));
    }
    return new Settings(
        values.getOrDefault("zone", ""),
        (int) number("slot-no", 0),
        Math.max(1, (int) number("balancers", 1)),
        List.copyOf(classes),
        "subscribe".equals(values.get("discovery")),
        wholeNumber("rules.ask-within", 10_000_000),
        (int) number("limits.max-attempts", 1),
        flag("limits.retry-after") ? wholeNumber("limits.max-retry-after", 0) : 0,
        number("prices.cross-zone", 0),
        number("prices.moves", 0),
        number("rules.cold-share", 0.1),
        wholeNumber("rules.cold", 30_000_000),
        number("rules.overload-factor", 1),
        wholeNumber("rules.fall", 1_000_000),
        connectionValue(),
        utilizationField() >= 0);
  }

  /**
   * Returns the index, from 0, of the field of a load report that contains the utilization (demand over capacity).
   * Returns -1 if servers cannot be asked for load reports or do not report the utilization.
   */
  int utilizationField() {
    if (!flag("limits.probing")) {
      return -1;
    }
    int field = 0;
    while (values.containsKey("reporting.fields." + field)
        && !UTILIZATION_FIELD.equals(values.get("reporting.fields." + field))) {
      field++;
    }
    return values.containsKey("reporting.fields." + field) ? field : -1;
  }

  private ConnectionValue connectionValue() {
    Map<String, Double> shares = new HashMap<>();
    for (int i = 0; values.containsKey("family-info.tenant-quota-connections." + i); i++) {
      shares.put(values.getOrDefault("tenants." + i + ".name", ""),
          number("family-info.tenant-quota-connections." + i, 0));
    }
    return new ConnectionValue("work".equals(values.get("worth-by")), number("over-share-worth", 1), shares);
  }

  private RequestClass requestClass(String prefix, double messageTargetMicros) {
    Effect effect = switch (values.getOrDefault(prefix + "effect", "side_effect")) {
      case "pure" -> Effect.IDEMPOTENT;
      case "token" -> Effect.DEDUPLICATED;
      default -> Effect.NON_IDEMPOTENT;
    };
    DedupScope scope = switch (values.getOrDefault(prefix + "key-scope", "cell")) {
      case "all" -> DedupScope.ALL;
      case "zone" -> DedupScope.ZONE;
      default -> DedupScope.CELL;
    };
    return new RequestClass(
        values.getOrDefault(prefix + "name", ""),
        effect,
        scope,
        wholeNumber(prefix + "aim", 300_000),
        wholeNumber(prefix + "window", 0),
        number(prefix + "gain", 1),
        messageTargetMicros);
  }

  private boolean flag(String key) {
    return "true".equals(values.get(key));
  }

  /**
   * Returns the number at a path such as {@code limits.dial-timeout}, rounded to a whole number, or the default if the
   * key is missing.
   *
   * @throws IllegalArgumentException if the value is not a number
   */
  public long wholeNumber(String path, long defaultValue) {
    return Math.round(number(path, defaultValue));
  }

  /** Returns the names of the entries in an array of objects, such as {@code tenants}. */
  public Set<String> namesOf(String arrayKey) {
    Set<String> names = new HashSet<>();
    for (int i = 0; values.containsKey(arrayKey + '.' + i); i++) {
      names.add(values.getOrDefault(arrayKey + '.' + i + ".name", ""));
    }
    return Set.copyOf(names);
  }

  private double number(String key, double defaultValue) {
    String text = values.get(key);
    if (text == null || text.equals("null")) {
      return defaultValue;
    }
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException fault) {
      throw new IllegalArgumentException("setting " + key + " is not a number: " + text, fault);
    }
  }
}
