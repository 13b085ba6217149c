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
 * The complete configuration of a proxy: the platform's JSON and the operator's keys, merged from all sources. In order
 * of increasing precedence the sources are: defaults, operator's file, platform's JSON, environment, flags.
 *
 * <p>If no operator's file, flag or {@code AMBERHOIST_} variable is given, as on the platform, the classes that process
 * the operator's keys are not loaded.
 *
 * @param config the platform's configuration
 * @param operator the effective values of the operator's keys
 * @param origins origin of each key that a source sets, by path: a file, an environment variable or a flag
 */
public record Setup(Config config, Operator operator, Map<String, String> origins) {
  private static final String VARIABLE_PREFIX = "AMBERHOIST_";

  /**
   * The sources from which a configuration is read.
   *
   * @param file the operator's file, null if there is none
   * @param flags values of keys set on the command line, by path
   * @param environment the environment variables
   */
  public record Sources(Path file, Map<String, String> flags, Map<String, String> environment) {
    /** Returns sources without flags; the operator's file is the one that {@code AMBERHOIST_CONFIG} names, if any. */
    public static Sources of(Map<String, String> environment) {
      String file = environment.get(VARIABLE_PREFIX + "CONFIG");
      return new Sources(file == null || file.isEmpty() ? null : Path.of(file), Map.of(), environment);
    }

    /** Returns whether only the platform's variables are given: no operator's file, flag or key in the environment. */
    private boolean isPlatformOnly() {
      return file == null && flags.isEmpty()
          && environment.keySet().stream().noneMatch(name -> name.startsWith(VARIABLE_PREFIX));
    }
  }

  /**
   * The result of reading the operator's keys.
   *
   * @param operator the effective values
   * @param origins origin of each key that a source sets, by path
   * @param problems all problems found, empty if the configuration is valid
   */
  public record Reading(Operator operator, Map<String, String> origins, List<Problem> problems) {}

  /**
   * Reads all sources when the proxy starts.
   *
   * @throws BadConfig with all problems of all sources, if there are any
   */
  public static Setup load(Sources sources, Clock clock) throws BadConfig {
    return load(sources, clock, false);
  }

  /**
   * Reads all sources again while the proxy runs. The variable {@code LB_DISCOVERY} is then ignored, since it still
   * names the address from the start of the process.
   *
   * @throws BadConfig with all problems of all sources, if there are any
   */
  public static Setup reload(Sources sources, Clock clock) throws BadConfig {
    return load(sources, clock, true);
  }

  private static Setup load(Sources sources, Clock clock, boolean reload) throws BadConfig {
    if (sources.isPlatformOnly()) {
      Map<String, String> environment = sources.environment();
      Config config = reload ? Config.reload(environment, clock) : Config.load(environment, clock);
      return new Setup(config, Operator.DEFAULT, Map.of());
    }
    Reading result = read(sources, reload);
    Operator operator = result.operator();
    Config config = null;
    try {
      config = Config.load(effectiveEnvironment(sources.environment(), operator), clock);
    } catch (BadConfig fault) {
      result.problems().add(new Problem("platform", "", fault.getMessage()));
    }
    if (!result.problems().isEmpty()) {
      throw new BadConfig(result.problems());
    }
    return new Setup(config.withSockets(operator.limits().descriptors()), operator, result.origins());
  }

  /** Returns the environment with the platform's variables set to the effective values of the operator's keys. */
  private static Map<String, String> effectiveEnvironment(Map<String, String> environment, Operator operator) {
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

  /** Reads the operator's keys from all sources and validates them; problems are part of the result. */
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
      platform = platformFile(layer, platform);
    }
    platform = platformFile(flags, platformFile(environment, platform));
    if (!platform.isEmpty()) {
      layers.add(Layer.platform(Path.of(platform)));
    }
    layers.add(environment);
    layers.add(flags);
    return merge(layers, problems);
  }

  /** Returns the path of the platform's JSON file that the layer sets, or else the default. */
  private static String platformFile(Layer layer, String defaultFile) {
    Written value = layer.values().get("instance.platform");
    return value == null ? defaultFile : value.text();
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

  private static Object check(String path, Written rawValue) {
    Object value = Keys.SCHEMA.check(path, rawValue);
    if (path.equals("admin.listen")) {
      AdminAddress.parse((String) value);
    }
    return value;
  }

  /** Formats the effective values of the operator's keys, one per line, each with its origin. */
  public static String show(Setup setup) {
    return Reference.show(new Reading(setup.operator(), setup.origins(), List.of()));
  }

  /** Returns the paths of keys whose values differ and that take effect only after a restart. */
  public static List<String> needRestart(Operator before, Operator after) {
    if (before.equals(after)) {
      return List.of();
    }
    Map<String, Object> oldValues = Keys.SCHEMA.values(before);
    Map<String, Object> newValues = Keys.SCHEMA.values(after);
    return Keys.SCHEMA.keys().values().stream()
        .filter(key -> key.setting().restart() && !oldValues.get(key.path()).equals(newValues.get(key.path())))
        .map(Key::path).toList();
  }
}
