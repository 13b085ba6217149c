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
 * What the proxy is told at its start.
 *
 * @param sockets the most file descriptors
 * @param known the directory's list as this proxy last had it
 * @param limits what the core keeps to
 * @param mgmt where operators call, null for nowhere
 * @param shared the folder that the processes of an upgrade share, null for none
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
    int sockets, DirectoryUpdate known, Settings settings, Limits limits, InetSocketAddress mgmt,
    Path shared) {
  private static final int SOCKETS = 1024;
  private static final long DIAL = 250_000;
  private static final long LONGEST = 3_000_000;

  /** Reads the file that {@code LB_CONFIG} names; other variables take the place of what it says. */
  public static Config load(Map<String, String> environment, Clock clock) throws BadConfig {
    String file = environment.get("LB_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new BadConfig("LB_CONFIG is not set");
    }
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(Path.of(file)))) {
      return read(in, environment, clock);
    } catch (IOException | RuntimeException fault) {
      String first = String.valueOf(fault.getMessage()).lines().findFirst().orElse("");
      throw new BadConfig("cannot use " + file + ": " + fault.getClass().getSimpleName() + ": " + first);
    }
  }

  /**
   * Reads that file again while the proxy runs. Its {@code discovery} then goes before the variable, which
   * still names the address from the start of the process.
   */
  public static Config reload(Map<String, String> environment, Clock clock) throws BadConfig {
    Map<String, String> others = new HashMap<>(environment);
    others.remove("LB_DISCOVERY");
    return load(others, clock);
  }

  /** The same with another limit of descriptors. */
  Config withSockets(int descriptors) {
    return new Config(name, listen, discovery, seed, descriptors, known, settings, limits, mgmt, shared);
  }

  private static Config read(JsonParser in, Map<String, String> environment, Clock clock) throws IOException {
    String name = environment.get("LB_NAME");
    String listen = environment.get("LB_LISTEN");
    String discovery = environment.get("LB_DISCOVERY");
    String mgmt = environment.get("LB_MGMT");
    String seed = null;
    int sockets = SOCKETS;
    DirectoryUpdate known = new DirectoryUpdate(0, true, List.of(), Map.of(), Set.of());
    SettingsReader settings = null;
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
        case "settings" -> settings = SettingsReader.of(in);
        default -> in.skipChildren();
      }
    }
    require(listen != null, "listen is missing");
    require(discovery != null, "discovery is missing");
    require(settings != null, "settings is missing");
    require(sockets > 0, "limits.sockets must be over 0");
    Settings read = settings.settings();
    long longest = 0;
    for (int i = 0; i < read.requestClasses().size(); i++) {
      longest = Math.max(longest, settings.whole("lanes." + i + ".give-up", LONGEST));
    }
    return new Config(name == null ? "" : name, Address.parse(listen), Address.parse(discovery),
        seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, 16), sockets, known, read,
        new Limits(settings.whole("limits.dial-timeout", DIAL), longest == 0 ? LONGEST : longest,
            settings.names("lanes"), settings.names("tenants")),
        mgmt == null || mgmt.isEmpty() ? null : Address.parse(mgmt), shared(environment.get("TMPDIR")));
  }

  private static Path shared(String folder) {
    return folder == null || folder.isEmpty() ? null : Path.of(folder);
  }

  private static void require(boolean holds, String fault) {
    if (!holds) {
      throw new IllegalArgumentException(fault);
    }
  }

  /** A configuration that nothing can be started with; the message is one plain line. */
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

    /** All that is wrong, one each. */
    public List<Problem> problems() {
      return problems;
    }
  }
}
