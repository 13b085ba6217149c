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
 * Reads the settings object of a start into {@link Settings}. Unknown keys are skipped; an absent key takes
 * the default given beside it here, each on the careful side.
 */
public final class SettingsReader {
  private static final String HEAT = "x0";

  private final Map<String, String> flat = new LinkedHashMap<>();

  private SettingsReader() {}

  /** Reads the object whose opening brace is the parser's current token. */
  public static SettingsReader of(JsonParser in) throws IOException {
    if (in.currentToken() != JsonToken.START_OBJECT) {
      throw new IllegalArgumentException("settings must be an object");
    }
    SettingsReader reader = new SettingsReader();
    reader.flatten(in, "");
    return reader;
  }

  /** Keeps every plain value under its path, as in {@code lanes.0.aim}. */
  private void flatten(JsonParser in, String path) throws IOException {
    boolean array = in.currentToken() == JsonToken.START_ARRAY;
    int index = 0;
    for (JsonToken t = in.nextToken(); !t.isStructEnd(); t = in.nextToken()) {
      String name = array ? Integer.toString(index++) : in.currentName();
      if (!array) {
        t = in.nextToken();
      }
      String here = path.isEmpty() ? name : path + '.' + name;
      if (t.isStructStart()) {
        flat.put(here, "");
        flatten(in, here);
      } else {
        flat.put(here, in.getText());
      }
    }
  }

  /** The settings as the balancer takes them. */
  public Settings settings() {
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; flat.containsKey("lanes." + i); i++) {
      classes.add(requestClass("lanes." + i + '.', number("family-info.message-aim." + i, 0)));
    }
    return new Settings(
        flat.getOrDefault("zone", ""),
        (int) number("slot-no", 0),
        Math.max(1, (int) number("balancers", 1)),
        List.copyOf(classes),
        "subscribe".equals(flat.get("discovery")),
        whole("rules.ask-within", 10_000_000),
        (int) number("limits.max-attempts", 1),
        flag("limits.retry-after") ? whole("limits.max-retry-after", 0) : 0,
        number("prices.cross-zone", 0),
        number("prices.moves", 0),
        number("rules.cold-share", 0.1),
        whole("rules.cold", 30_000_000),
        number("rules.overload-factor", 1),
        whole("rules.fall", 1_000_000),
        value(),
        reportField() >= 0);
  }

  /**
   * Where a load report says what is asked of a server over what it can do, among its fields from 0; -1 where servers
   * may not be asked, or do not say that.
   */
  int reportField() {
    if (!flag("limits.probing")) {
      return -1;
    }
    int field = 0;
    while (flat.containsKey("reporting.fields." + field) && !HEAT.equals(flat.get("reporting.fields." + field))) {
      field++;
    }
    return flat.containsKey("reporting.fields." + field) ? field : -1;
  }

  private ConnectionValue value() {
    Map<String, Double> shares = new HashMap<>();
    for (int i = 0; flat.containsKey("family-info.tenant-quota-connections." + i); i++) {
      shares.put(flat.getOrDefault("tenants." + i + ".name", ""),
          number("family-info.tenant-quota-connections." + i, 0));
    }
    return new ConnectionValue("work".equals(flat.get("worth-by")), number("over-share-worth", 1), shares);
  }

  private RequestClass requestClass(String at, double messageAim) {
    Effect effect = switch (flat.getOrDefault(at + "effect", "side_effect")) {
      case "pure" -> Effect.IDEMPOTENT;
      case "token" -> Effect.DEDUPLICATED;
      default -> Effect.NON_IDEMPOTENT;
    };
    DedupScope scope = switch (flat.getOrDefault(at + "key-scope", "cell")) {
      case "all" -> DedupScope.ALL;
      case "zone" -> DedupScope.ZONE;
      default -> DedupScope.CELL;
    };
    return new RequestClass(
        flat.getOrDefault(at + "name", ""),
        effect,
        scope,
        whole(at + "aim", 300_000),
        whole(at + "window", 0),
        number(at + "gain", 1),
        messageAim);
  }

  private boolean flag(String key) {
    return "true".equals(flat.get(key));
  }

  /** The whole number at a path such as {@code limits.dial-timeout}, or the default. */
  public long whole(String key, long otherwise) {
    return Math.round(number(key, otherwise));
  }

  /** The names of the entries of a list of objects, such as {@code tenants}. */
  public Set<String> names(String list) {
    Set<String> names = new HashSet<>();
    for (int i = 0; flat.containsKey(list + '.' + i); i++) {
      names.add(flat.getOrDefault(list + '.' + i + ".name", ""));
    }
    return Set.copyOf(names);
  }

  private double number(String key, double otherwise) {
    String text = flat.get(key);
    if (text == null || text.equals("null")) {
      return otherwise;
    }
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException fault) {
      throw new IllegalArgumentException("setting " + key + " is not a number: " + text, fault);
    }
  }
}
