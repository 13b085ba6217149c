package amberhoist.cli;

import amberhoist.config.ProxyConfig.ConfigSources;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Option;

/** The options that select the sources of the configuration. */
final class SourceOptions {
  @Option(names = "--config", paramLabel = "FILE", description = "the operator's file; also AMBERHOIST_CONFIG")
  Path config;

  @Option(names = "--platform", paramLabel = "FILE", description = "the platform's JSON; also LB_CONFIG")
  String platform;

  @Option(names = "--name", paramLabel = "NAME", description = "name of the instance; also LB_NAME")
  String name;

  @Option(names = "--listen", paramLabel = "ADDRESS", description = "address for clients; also LB_LISTEN")
  String listen;

  @Option(names = "--directory", paramLabel = "ADDRESS", description = "address of the directory; also LB_DISCOVERY")
  String directory;

  @Option(names = "--set", paramLabel = "KEY=VALUE", description = "any key of the operator's file; repeatable")
  Map<String, String> keys = new LinkedHashMap<>();

  /** The sources: these options and the environment. */
  ConfigSources sources() {
    Map<String, String> flags = new LinkedHashMap<>(keys);
    put(flags, "instance.platform", platform);
    put(flags, "instance.name", name);
    put(flags, "instance.listen", listen);
    put(flags, "instance.directory", directory);
    ConfigSources environment = ConfigSources.ofEnvironment(System.getenv());
    return new ConfigSources(config == null ? environment.operatorFile() : config, flags, environment.environment());
  }

  private static void put(Map<String, String> flags, String key, String value) {
    if (value != null) {
      flags.put(key, value);
    }
  }
}
