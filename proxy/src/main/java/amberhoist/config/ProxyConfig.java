package amberhoist.config;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import amberhoist.config.schema.ConfigProblem;
import amberhoist.config.schema.RawValue;
import amberhoist.config.schema.Schema.Key;
import amberhoist.config.schema.ValueFormat;
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
 * @param platform the platform's configuration
 * @param operator the effective values of the operator's keys
 * @param origins origin of each key that a source sets, by path: a file, an environment variable or a flag
 */
public record ProxyConfig(PlatformConfig platform, OperatorConfig operator, Map<String, String> origins) {
  private static final String VARIABLE_PREFIX = "AMBERHOIST_";

  /**
   * The sources from which a configuration is read.
   *
   * @param operatorFile the operator's file, null if there is none
   * @param flags values of keys set on the command line, by path
   * @param environment the environment variables
   */
  public record ConfigSources(Path operatorFile, Map<String, String> flags, Map<String, String> environment) {
    /** Returns sources without flags; the operator's file is the one that {@code AMBERHOIST_CONFIG} names, if any. */
    public static ConfigSources ofEnvironment(Map<String, String> environment) {
      String file = environment.get(VARIABLE_PREFIX + "CONFIG");
      return new ConfigSources(file == null || file.isEmpty() ? null : Path.of(file), Map.of(), environment);
    }

    /** Returns whether only the platform's variables are given: no operator's file, flag or key in the environment. */
    private boolean isPlatformOnly() {
      return operatorFile == null && flags.isEmpty()
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
  public record OperatorConfigResult(OperatorConfig operator, Map<String, String> origins,
      List<ConfigProblem> problems) {}

  /**
   * Reads all sources when the proxy starts.
   *
   * @throws InvalidConfigException with all problems of all sources, if there are any
   */
  public static ProxyConfig load(ConfigSources sources, Clock clock) throws InvalidConfigException {
    return load(sources, clock, false);
  }

  /**
   * Reads all sources again while the proxy runs. The variable {@code LB_DISCOVERY} is then ignored, since it still
   * names the address from the start of the process.
   *
   * @throws InvalidConfigException with all problems of all sources, if there are any
   */
  public static ProxyConfig reload(ConfigSources sources, Clock clock) throws InvalidConfigException {
    return load(sources, clock, true);
  }

  private static ProxyConfig load(ConfigSources sources, Clock clock, boolean isReload) throws InvalidConfigException {
    if (sources.isPlatformOnly()) {
      Map<String, String> environment = sources.environment();
      PlatformConfig platform = isReload ? PlatformConfig.reload(environment, clock)
          : PlatformConfig.load(environment, clock);
      return new ProxyConfig(platform, OperatorConfig.DEFAULT, Map.of());
    }
    OperatorConfigResult result = readOperatorKeys(sources, isReload);
    OperatorConfig operator = result.operator();
    PlatformConfig platform = null;
    try {
      platform = PlatformConfig.load(effectiveEnvironment(sources.environment(), operator), clock);
    } catch (InvalidConfigException fault) {
      result.problems().add(new ConfigProblem("platform", "", fault.getMessage()));
    }
    if (!result.problems().isEmpty()) {
      throw new InvalidConfigException(result.problems());
    }
    return new ProxyConfig(platform.withMaxDescriptors(operator.limits().descriptors()), operator, result.origins());
  }

  /** Returns the environment with the platform's variables set to the effective values of the operator's keys. */
  private static Map<String, String> effectiveEnvironment(Map<String, String> environment, OperatorConfig operator) {
    Map<String, String> effective = new HashMap<>(environment);
    Map.of("LB_NAME", operator.instance().name(), "LB_LISTEN", operator.instance().listen(),
        "LB_DISCOVERY", operator.instance().directory(), "LB_CONFIG", operator.instance().platform(),
        "LB_MGMT", operator.instance().mgmt()).forEach((name, value) -> {
          if (value.isEmpty()) {
            effective.remove(name);
          } else {
            effective.put(name, value);
          }
        });
    return effective;
  }

  /** Reads the operator's keys from all sources and validates them; problems are part of the result. */
  public static OperatorConfigResult readOperatorKeys(ConfigSources sources, boolean isReload) {
    List<ConfigProblem> problems = new ArrayList<>();
    List<ConfigLayer> layers = new ArrayList<>();
    if (sources.operatorFile() != null) {
      layers.add(ConfigLayer.fromFile(sources.operatorFile(), problems));
    }
    ConfigLayer environment = ConfigLayer.fromEnvironment(sources.environment(), isReload);
    ConfigLayer flags = ConfigLayer.fromFlags(sources.flags());
    String platform = "";
    for (ConfigLayer layer : layers) {
      platform = platformFile(layer, platform);
    }
    platform = platformFile(flags, platformFile(environment, platform));
    if (!platform.isEmpty()) {
      layers.add(ConfigLayer.fromPlatform(Path.of(platform)));
    }
    layers.add(environment);
    layers.add(flags);
    return merge(layers, problems);
  }

  /** Returns the path of the platform's JSON file that the layer sets, or else the default. */
  private static String platformFile(ConfigLayer layer, String defaultFile) {
    RawValue value = layer.values().get("instance.platform");
    return value == null ? defaultFile : value.text();
  }

  private static OperatorConfigResult merge(List<ConfigLayer> layers, List<ConfigProblem> problems) {
    Map<String, Object> values = new LinkedHashMap<>();
    Map<String, String> origins = new LinkedHashMap<>();
    for (ConfigLayer layer : layers) {
      layer.values().forEach((path, value) -> {
        try {
          values.put(path, check(path, value));
          origins.put(path, value.origin());
        } catch (IllegalArgumentException fault) {
          problems.add(new ConfigProblem(value.origin(), path, fault.getMessage()));
        }
      });
    }
    OperatorConfig operator = OperatorSchema.SCHEMA.bind(values);
    operator.contradictions().forEach((path, message) ->
        problems.add(new ConfigProblem(origins.getOrDefault(path, "default"), path,
            message + " (" + ValueFormat.format(OperatorSchema.SCHEMA.values(operator).get(path)) + ")")));
    return new OperatorConfigResult(operator, origins, problems);
  }

  private static Object check(String path, RawValue rawValue) {
    Object value = OperatorSchema.SCHEMA.parse(path, rawValue);
    if (path.equals("admin.listen")) {
      AdminAddress.parse((String) value);
    }
    return value;
  }

  /** Formats the effective values of the operator's keys, one per line, each with its origin. */
  public static String formatKeys(ProxyConfig config) {
    return ReferencePages.formatKeys(new OperatorConfigResult(config.operator(), config.origins(), List.of()));
  }

  /** Returns the paths of keys whose values differ and that take effect only after a restart. */
  public static List<String> keysNeedingRestart(OperatorConfig before, OperatorConfig after) {
    if (before.equals(after)) {
      return List.of();
    }
    Map<String, Object> oldValues = OperatorSchema.SCHEMA.values(before);
    Map<String, Object> newValues = OperatorSchema.SCHEMA.values(after);
    return OperatorSchema.SCHEMA.keys().values().stream()
        .filter(key -> key.setting().restart() && !oldValues.get(key.path()).equals(newValues.get(key.path())))
        .map(Key::path).toList();
  }
}
