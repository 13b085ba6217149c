package amberhoist.config;

import amberhoist.clock.Clock;
import amberhoist.config.schema.ConfigProblem;
import amberhoist.core.Limits;
import amberhoist.decide.Balancer.Settings;
import amberhoist.directory.Address;
import amberhoist.directory.DirectoryUpdate;
import amberhoist.simulator.SettingsReader;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The platform's configuration of a proxy: the JSON file that {@code LB_CONFIG} names, and environment variables.
 *
 * @param name name of the instance, empty if none is given
 * @param listenAddress address on which clients are accepted
 * @param directoryAddress address of the directory
 * @param seed seed of the random decisions; not reproducible unless the file gives one
 * @param maxDescriptors maximum number of file descriptors
 * @param initialUpdate the directory's list of providers as this proxy last had it, in use until the directory answers
 * @param settings settings of the decision module
 * @param limits limits that the core applies
 * @param managementAddress address of the management API, null if it is disabled
 * @param sharedFolder folder shared by the processes of this proxy, null if there is none
 * @param pushedDrainLimitMicros where lists are pushed, the time in which requests to a provider that has begun to
 *     drain must stop; 0 where the directory is asked
 */
public record PlatformConfig(String name, InetSocketAddress listenAddress, InetSocketAddress directoryAddress,
    long seed, int maxDescriptors, DirectoryUpdate initialUpdate, Settings settings, Limits limits,
    InetSocketAddress managementAddress, Path sharedFolder, long pushedDrainLimitMicros) {
  private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
  private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
  private static final long DEFAULT_MAX_CLIENT_WAIT_MICROS = 3_000_000;
  private static final long DEFAULT_DRAIN_LIMIT_MICROS = 250_000;

  /**
   * Reads the file that {@code LB_CONFIG} names. Other variables override its contents.
   *
   * @throws InvalidConfigException if the variable is not set or the file is not valid
   */
  public static PlatformConfig load(Map<String, String> environment, Clock clock) throws InvalidConfigException {
    String file = environment.get("LB_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new InvalidConfigException("LB_CONFIG is not set");
    }
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(Path.of(file)))) {
      return read(in, environment, clock);
    } catch (IOException | RuntimeException fault) {
      String firstLine = String.valueOf(fault.getMessage()).lines().findFirst().orElse("");
      throw new InvalidConfigException(
          "cannot use " + file + ": " + fault.getClass().getSimpleName() + ": " + firstLine);
    }
  }

  /**
   * Reads the file again while the proxy runs. Its {@code discovery} then overrides {@code LB_DISCOVERY}, which still
   * names the address from the start of the process.
   *
   * @throws InvalidConfigException if the variable {@code LB_CONFIG} is not set or the file is not valid
   */
  public static PlatformConfig reload(Map<String, String> environment, Clock clock) throws InvalidConfigException {
    Map<String, String> remaining = new HashMap<>(environment);
    remaining.remove("LB_DISCOVERY");
    return load(remaining, clock);
  }

  /** The folder shared by the processes of an upgrade; null if upgrades are not possible. */
  public Path upgradeFolder() {
    return managementAddress == null ? null : sharedFolder;
  }

  /** Returns a copy with another maximum number of file descriptors. */
  PlatformConfig withMaxDescriptors(int maxDescriptors) {
    return new PlatformConfig(name, listenAddress, directoryAddress, seed, maxDescriptors, initialUpdate, settings,
        limits, managementAddress, sharedFolder, pushedDrainLimitMicros);
  }

  private static PlatformConfig read(JsonParser in, Map<String, String> environment, Clock clock) throws IOException {
    String name = environment.get("LB_NAME");
    String listen = environment.get("LB_LISTEN");
    String discovery = environment.get("LB_DISCOVERY");
    String mgmt = environment.get("LB_MGMT");
    String seed = null;
    int sockets = DEFAULT_MAX_DESCRIPTORS;
    DirectoryUpdate known = new DirectoryUpdate(0, true, List.of(), Map.of(), Set.of());
    SettingsReader reader = null;
    require(in.nextToken() == JsonToken.START_OBJECT, "not an object");
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "name" -> name = name == null ? in.getText() : name;
        case "listen" -> listen = listen == null ? in.getText() : listen;
        case "discovery" -> discovery = discovery == null ? in.getText() : discovery;
        case "mgmt" -> mgmt = mgmt == null && in.currentToken() != JsonToken.VALUE_NULL ? in.getText() : mgmt;
        case "seed" -> seed = in.getText();
        case "limits" -> {
          require(in.currentToken() == JsonToken.START_OBJECT, "limits is not an object");
          while (in.nextToken() == JsonToken.FIELD_NAME) {
            String limit = in.currentName();
            in.nextToken();
            if (limit.equals("sockets")) {
              sockets = (int) in.getDoubleValue();
            } else {
              in.skipChildren();
            }
          }
        }
        case "known" -> known = DirectoryUpdate.read(in, clock);
        case "settings" -> reader = SettingsReader.read(in);
        default -> in.skipChildren();
      }
    }
    require(listen != null, "listen is missing");
    require(discovery != null, "discovery is missing");
    require(reader != null, "settings is missing");
    require(sockets > 0, "limits.sockets must be positive");
    Settings settings = reader.settings();
    long maxClientWaitMicros = 0;
    for (int i = 0; i < settings.requestClasses().size(); i++) {
      maxClientWaitMicros = Math.max(maxClientWaitMicros,
          reader.wholeNumber("lanes." + i + ".give-up", DEFAULT_MAX_CLIENT_WAIT_MICROS));
    }
    return new PlatformConfig(name == null ? "" : name, Address.parse(listen), Address.parse(discovery),
        seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, 16), sockets, known, settings,
        new Limits(reader.wholeNumber("limits.dial-timeout", DEFAULT_CONNECT_TIMEOUT_MICROS),
            maxClientWaitMicros == 0 ? DEFAULT_MAX_CLIENT_WAIT_MICROS : maxClientWaitMicros,
            reader.namesOf("lanes"), reader.namesOf("tenants")),
        mgmt == null || mgmt.isEmpty() ? null : Address.parse(mgmt), sharedFolder(environment.get("TMPDIR")),
        reader.pushesLists() ? reader.wholeNumber("rules.stop-sending-within", DEFAULT_DRAIN_LIMIT_MICROS) : 0);
  }

  private static Path sharedFolder(String folder) {
    return folder == null || folder.isEmpty() ? null : Path.of(folder);
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }

  /** Thrown for an invalid configuration. The message is a single line. */
  public static final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    InvalidConfigException(String message) {
      super(message);
      problems = List.of(new ConfigProblem("platform", "", message));
    }

    InvalidConfigException(List<ConfigProblem> problems) {
      super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("; ")));
      this.problems = problems;
    }

    /** Returns all problems of the configuration. */
    public List<ConfigProblem> problems() {
      return problems;
    }
  }
}
