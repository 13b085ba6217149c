package amberhoist.directory;

import amberhoist.clock.Clock;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * One update from the directory: a snapshot of the list of providers, or changes to it. An entry that cannot be read
 * does not invalidate the others.
 *
 * @param index version of the list
 * @param snapshot whether the update has all providers, not only the changed ones
 * @param providers the entries that could be read
 * @param addresses address of each of these providers by its name; a provider that has left may have none
 * @param unreadable names of the providers whose entries could not be read
 */
public record DirectoryUpdate(long index, boolean snapshot, List<Server> providers,
    Map<String, InetSocketAddress> addresses, Set<String> unreadable) {
  private static final JsonFactory JSON_FACTORY = new JsonFactory();
  private static final Map<String, ServerState> STATES =
      Map.of("active", ServerState.READY, "leaving", ServerState.DRAINING, "left", ServerState.GONE);
  private static final Set<String> ENTRY_FIELDS =
      Set.of("name", "address", "zone", "type", "group", "status", "weight", "since_ms");

  /** Parses a text that contains exactly one update. */
  public static DirectoryUpdate parse(byte[] text, Clock clock) throws IOException {
    return parse(text, clock::fromUnixMillis);
  }

  /** Parses the same with start times that {@code fromMillis} converts to the clock's microseconds. */
  static DirectoryUpdate parse(byte[] text, LongUnaryOperator fromMillis) throws IOException {
    try (JsonParser json = JSON_FACTORY.createParser(text)) {
      json.nextToken();
      DirectoryUpdate update = read(json, fromMillis);
      require(json.nextToken() == null, "more than one object");
      return update;
    } catch (IllegalArgumentException fault) {
      throw new IOException("malformed directory update: " + fault.getMessage(), fault);
    }
  }

  /** Reads one update; the current token of the parser must be its opening brace. */
  public static DirectoryUpdate read(JsonParser json, Clock clock) throws IOException {
    return read(json, clock::fromUnixMillis);
  }

  private static DirectoryUpdate read(JsonParser json, LongUnaryOperator fromMillis) throws IOException {
    require(json.currentToken() == JsonToken.START_OBJECT, "not an object");
    long index = -1;
    boolean snapshot = false;
    boolean hasEndpoints = false;
    List<Server> providers = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    Set<String> unreadable = new LinkedHashSet<>();
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String field = json.currentName();
      json.nextToken();
      switch (field) {
        case "index" -> index = json.getLongValue();
        case "snapshot" -> snapshot = json.getBooleanValue();
        case "endpoints" -> {
          require(json.currentToken() == JsonToken.START_ARRAY, "endpoints is not an array");
          hasEndpoints = true;
          while (json.nextToken() == JsonToken.START_OBJECT) {
            readEntry(json, fromMillis, providers, addresses, unreadable);
          }
          require(json.currentToken() == JsonToken.END_ARRAY, "an endpoint is not an object");
        }
        default -> json.skipChildren();
      }
    }
    require(json.currentToken() == JsonToken.END_OBJECT && index >= 0 && hasEndpoints,
        "incomplete object, or without index or endpoints");
    return new DirectoryUpdate(index, snapshot, providers, addresses, unreadable);
  }

  private static void readEntry(JsonParser json, LongUnaryOperator fromMillis, List<Server> providers,
      Map<String, InetSocketAddress> addresses, Set<String> unreadable) throws IOException {
    String name = null;
    InetSocketAddress address = null;
    String zone = "";
    String type = null;
    int group = 0;
    ServerState state = null;
    double weight = 0;
    long startedAt = 0;
    boolean readable = true;
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String field = json.currentName();
      JsonToken value = json.nextToken();
      if (value == JsonToken.VALUE_NULL || value.isStructStart()) {
        readable &= value == JsonToken.VALUE_NULL || !ENTRY_FIELDS.contains(field);
        json.skipChildren();
        continue;
      }
      try {
        switch (field) {
          case "name" -> name = json.getText();
          case "address" -> address = Address.parse(json.getText());
          case "zone" -> zone = json.getText();
          case "type" -> type = json.getText();
          case "group" -> group = json.getIntValue();
          case "status" -> state = STATES.get(json.getText());
          case "weight" -> weight = json.getDoubleValue();
          case "since_ms" -> startedAt = fromMillis.applyAsLong((long) json.getDoubleValue());
          default -> { }
        }
      } catch (JsonProcessingException | IllegalArgumentException fault) {
        readable = false; // a value of the wrong type; parsing continues after it
      }
    }
    require(name != null, "an endpoint has no name");
    if (!readable || state == null || address == null && state != ServerState.GONE) {
      unreadable.add(name);
      return;
    }
    providers.add(new Server(name, zone, type, group, state, weight, startedAt));
    if (address != null) {
      addresses.put(name, address);
    }
  }

  private static void require(boolean condition, String description) throws IOException {
    if (!condition) {
      throw new IOException("malformed directory update: " + description);
    }
  }
}
