package amberhoist.config;

import amberhoist.clock.Clock;
import amberhoist.config.Config.BadConfig;
import amberhoist.config.schema.Problem;
import amberhoist.config.schema.Schema.Key;
import amberhoist.config.schema.Values;
import amberhoist.config.schema.Written;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All that a proxy is told: the platform's JSON and the operator's keys, from every source. Sources go before one
 * another in this order, the last first: defaults, operator's file, platform's JSON, environment, flags.
 *
 * <p>Where no file, flag or variable of the operator's is given, as on the platform, none of the machinery for it
 * is loaded.
 *
 * @param operator the operator's keys, effective
 * @param origins where each key that is not at its default comes from
 */
public record Setup(Config config, Operator operator, Map<String, String> origins) {
  private static final String PREFIX = "AMBERHOIST_";

  /**
   * Where a setup is read from.
   *
   * @param file the operator's file, null for none
   * @param flags keys set on the command line, by path
   */
  public record Sources(Path file, Map<String, String> flags, Map<String, String> environment) {
    /** The environment alone, as on the platform. */
    public static Sources of(Map<String, String> environment) {
      String file = environment.get(PREFIX + "CONFIG");
      return new Sources(file == null || file.isEmpty() ? null : Path.of(file), Map.of(), environment);
    }

    private boolean plain() {
      return file == null && flags.isEmpty()
          && environment.keySet().stream().noneMatch(name -> name.startsWith(PREFIX));
    }
  }

  /** The operator's keys from these sources, and what is wrong with them. */
  public record Reading(Operator operator, Map<String, String> origins, List<Problem> problems) {}

  /** Reads all sources for a start; a problem in any of them is told with all the others. */
  public static Setup load(Sources sources, Clock clock) throws BadConfig {
    return load(sources, clock, false);
  }

  /**
   * Reads them again while the proxy runs. The variable {@code LB_DISCOVERY} then no longer counts: it still
   * names the address from the start of the process.
   */
  public static Setup reload(Sources sources, Clock clock) throws BadConfig {
    return load(sources, clock, true);
  }

  private static Setup load(Sources sources, Clock clock, boolean reload) throws BadConfig {
    if (sources.plain()) {
      Map<String, String> environment = sources.environment();
      Config config = reload ? Config.reload(environment, clock) : Config.load(environment, clock);
      return new Setup(config, Operator.DEFAULT, Map.of());
    }
    Reading reading = read(sources, reload);
    Operator operator = reading.operator();
    Config config = null;
    try {
      config = Config.load(environment(sources.environment(), operator), clock);
    } catch (BadConfig fault) {
      reading.problems().add(new Problem("platform", "", fault.getMessage()));
    }
    if (!reading.problems().isEmpty()) {
      throw new BadConfig(reading.problems());
    }
    return new Setup(config.withSockets(operator.limits().descriptors()), operator, reading.origins());
  }

  /** The platform's variables, as the operator's keys have them after every source was heard. */
  private static Map<String, String> environment(Map<String, String> environment, Operator operator) {
    Map<String, String> effective = new HashMap<>(environment);
    Map.of("LB_NAME", operator.instance().name(), "LB_LISTEN", operator.instance().listen(), "LB_DISCOVERY",
        operator.instance().directory(), "LB_CONFIG", operator.instance().platform(), "LB_MGMT",
        operator.instance().mgmt()).forEach((name, value) -> {
          if (value.isEmpty()) {
            effective.remove(name);
          } else {
            effective.put(name, value);
          }
        });
    return effective;
  }

  /** Reads the operator's keys from all sources, and tells all that is wrong with them. */
  public static Reading read(Sources sources, boolean reload) {
    List<Problem> problems = new ArrayList<>();
    List<Layer> layers = new ArrayList<>();
    if (sources.file() != null) {
      layers.add(Layer.file(sources.file(), problems));
    }
    Layer environment = Layer.environment(sources.environment(), reload);
    Layer flags = Layer.flags(sources.flags());
    String platform = "";
    for (Layer layer : layers) {
      platform = text(layer, platform);
    }
    platform = text(flags, text(environment, platform));
    if (!platform.isEmpty()) {
      layers.add(Layer.platform(Path.of(platform)));
    }
    layers.add(environment);
    layers.add(flags);
    return merge(layers, problems);
  }

  private static String text(Layer layer, String otherwise) {
    Written value = layer.values().get("instance.platform");
    return value == null ? otherwise : value.text();
  }

  private static Reading merge(List<Layer> layers, List<Problem> problems) {
    Map<String, Object> values = new LinkedHashMap<>();
    Map<String, String> origins = new LinkedHashMap<>();
    for (Layer layer : layers) {
      layer.values().forEach((path, value) -> {
        try {
          values.put(path, check(path, value));
          origins.put(path, value.where());
        } catch (IllegalArgumentException fault) {
          problems.add(new Problem(value.where(), path, fault.getMessage()));
        }
      });
    }
    Operator operator = Keys.SCHEMA.bind(values);
    operator.contradictions().forEach((path, message) ->
        problems.add(new Problem(origins.getOrDefault(path, "default"), path,
            message + " (" + Values.write(Keys.SCHEMA.values(operator).get(path)) + ")")));
    return new Reading(operator, origins, problems);
  }

  private static Object check(String path, Written written) {
    Object read = Keys.SCHEMA.check(path, written);
    if (path.equals("admin.listen")) {
      AdminAddress.parse((String) read);
    }
    return read;
  }

  /** The effective keys of a setup as text, with where each comes from. */
  public static String show(Setup setup) {
    return Reference.show(new Reading(setup.operator(), setup.origins(), List.of()));
  }

  /** The keys that differ between two setups and that only a restart takes up. */
  public static List<String> needRestart(Operator before, Operator after) {
    if (before.equals(after)) {
      return List.of();
    }
    Map<String, Object> old = Keys.SCHEMA.values(before);
    Map<String, Object> fresh = Keys.SCHEMA.values(after);
    return Keys.SCHEMA.keys().values().stream()
        .filter(key -> key.setting().restart() && !old.get(key.path()).equals(fresh.get(key.path())))
        .map(Key::path).toList();
  }
}
