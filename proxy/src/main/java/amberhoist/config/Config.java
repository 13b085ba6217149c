package amberhoist.config;

import amberhoist.clock.Clock;
import amberhoist.config.schema.Problem;
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
 * @param listen address on which clients are accepted
 * @param discovery address of the directory
 * @param seed seed of the random decisions; not reproducible unless the file gives one
 * @param sockets maximum number of file descriptors
 * @param known the directory's list of providers as this proxy last had it, in use until the directory answers
 * @param settings settings of the decision module
 * @param limits limits that the core applies
 * @param mgmt address of the management API, null if it is disabled
 * @param shared folder shared by the processes of an upgrade, null if there is none
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
    int sockets, DirectoryUpdate known, Settings settings, Limits limits, InetSocketAddress mgmt,
    Path shared) {
  private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
  private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
  private static final long DEFAULT_MAX_CLIENT_WAIT_MICROS = 3_000_000;

  /**
   * Reads the file that {@code LB_CONFIG} names. Other variables override its contents.
   *
   * @throws BadConfig if the variable is not set or the file is not valid
   */
  public static Config load(Map<String, String> environment, Clock clock) throws BadConfig {
    String file = environment.get("LB_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new BadConfig("LB_CONFIG is not set");
    }
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(Path.of(file)))) {
      return read(in, environment, clock);
    } catch (IOException | RuntimeException fault) {
      String firstLine = String.valueOf(fault.getMessage()).lines().findFirst().orElse("");
      throw new BadConfig("cannot use " + file + ": " + fault.getClass().getSimpleName() + ": " + firstLine);
    }
  }

  /**
   * Reads the file again while the proxy runs. Its {@code discovery} then overrides {@code LB_DISCOVERY}, which still
   * names the address from the start of the process.
   *
   * @throws BadConfig if the variable {@code LB_CONFIG} is not set or the file is not valid
   */
  public static Config reload(Map<String, String> environment, Clock clock) throws BadConfig {
    Map<String, String> remaining = new HashMap<>(environment);
    remaining.remove("LB_DISCOVERY");
    return load(remaining, clock);
  }

  /** Returns a copy with another maximum number of file descriptors. */
  Config withSockets(int descriptors) {
    return new Config(name, listen, discovery, seed, descriptors, known, settings, limits, mgmt, shared);
  }

  private static Config read(JsonParser in, Map<String, String> environment, Clock clock) throws IOException {
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
        case "settings" -> reader = SettingsReader.of(in);
        default -> in.skipChildren();
      }
    }
    require(listen != null, "listen is missing");
    require(discovery != null, "discovery is missing");
    require(reader != null, "settings is missing");
    require(sockets > 0, "limits.sockets must be positive");
    Settings settings = reader.settings();
    long maxClientWait = 0;
    for (int i = 0; i < settings.requestClasses().size(); i++) {
      maxClientWait = Math.max(maxClientWait, reader.whole("lanes." + i + ".give-up", DEFAULT_MAX_CLIENT_WAIT_MICROS));
    }
    return new Config(name == null ? "" : name, Address.parse(listen), Address.parse(discovery),
        seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, 16), sockets, known, settings,
        new Limits(reader.whole("limits.dial-timeout", DEFAULT_CONNECT_TIMEOUT_MICROS),
            maxClientWait == 0 ? DEFAULT_MAX_CLIENT_WAIT_MICROS : maxClientWait,
            reader.names("lanes"), reader.names("tenants")),
        mgmt == null || mgmt.isEmpty() ? null : Address.parse(mgmt), sharedFolder(environment.get("TMPDIR")));
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
  public static final class BadConfig extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<Problem> problems;

    BadConfig(String message) {
      super(message);
      problems = List.of(new Problem("platform", "", message));
    }

    BadConfig(List<Problem> problems) {
      super(problems.stream().map(Problem::toString).collect(Collectors.joining("; ")));
      this.problems = problems;
    }

    /** Returns all problems of the configuration. */
    public List<Problem> problems() {
      return problems;
    }
  }
}
