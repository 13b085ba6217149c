package amberhoist.directory;

import amberhoist.clock.Clock;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.State;
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

/**
 * One object from the directory: its whole list, or what has changed. An entry that cannot be read takes none of the
 * others with it.
 *
 * @param index the list's version
 * @param whole all providers, not only those that changed
 * @param providers the entries that can be read
 * @param addresses where each of them is reached from here
 * @param unread the names of the others, of which nothing new is known
 */
public record News(long index, boolean whole, List<Server> providers,
    Map<String, InetSocketAddress> addresses, Set<String> unread) {
  private static final JsonFactory JSON = new JsonFactory();
  private static final Map<String, State> STATES =
      Map.of("active", State.READY, "leaving", State.DRAINING, "left", State.GONE);
  private static final Set<String> FIELDS =
      Set.of("name", "address", "zone", "type", "group", "status", "weight", "since_ms");

  /** Reads a text that holds one such object and nothing else. */
  public static News parse(byte[] text, Clock clock) throws IOException {
    try (JsonParser in = JSON.createParser(text)) {
      in.nextToken();
      News news = read(in, clock);
      require(in.nextToken() == null, "more than one object");
      return news;
    } catch (IllegalArgumentException fault) {
      throw new IOException("malformed news: " + fault.getMessage(), fault);
    }
  }

  /** Reads the object whose opening brace is the parser's current token. */
  public static News read(JsonParser in, Clock clock) throws IOException {
    require(in.currentToken() == JsonToken.START_OBJECT, "not an object");
    long index = -1;
    boolean whole = false;
    boolean listed = false;
    List<Server> providers = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    Set<String> unread = new LinkedHashSet<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "index" -> index = in.getLongValue();
        case "snapshot" -> whole = in.getBooleanValue();
        case "endpoints" -> {
          require(in.currentToken() == JsonToken.START_ARRAY, "endpoints is no array");
          listed = true;
          while (in.nextToken() == JsonToken.START_OBJECT) {
            entry(in, clock, providers, addresses, unread);
          }
          require(in.currentToken() == JsonToken.END_ARRAY, "an endpoint is no object");
        }
        default -> in.skipChildren();
      }
    }
    require(in.currentToken() == JsonToken.END_OBJECT && index >= 0 && listed, "incomplete");
    return new News(index, whole, providers, addresses, unread);
  }

  private static void entry(JsonParser in, Clock clock, List<Server> providers,
      Map<String, InetSocketAddress> addresses, Set<String> unread) throws IOException {
    String name = null;
    InetSocketAddress address = null;
    String zone = "";
    String kind = null;
    int cell = 0;
    State state = null;
    double weight = 0;
    long since = 0;
    boolean readable = true;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      JsonToken value = in.nextToken();
      if (value == JsonToken.VALUE_NULL || value.isStructStart()) {
        readable &= value == JsonToken.VALUE_NULL || !FIELDS.contains(field);
        in.skipChildren();
        continue;
      }
      try {
        switch (field) {
          case "name" -> name = in.getText();
          case "address" -> address = Address.parse(in.getText());
          case "zone" -> zone = in.getText();
          case "type" -> kind = in.getText();
          case "group" -> cell = in.getIntValue();
          case "status" -> state = STATES.get(in.getText());
          case "weight" -> weight = in.getDoubleValue();
          case "since_ms" -> since = clock.fromUnixMillis((long) in.getDoubleValue());
          default -> { }
        }
      } catch (JsonProcessingException | IllegalArgumentException fault) {
        readable = false; // a value of another kind; the text goes on behind it
      }
    }
    require(name != null, "an endpoint without a name");
    if (!readable || state == null || address == null && state != State.GONE) {
      unread.add(name);
      return;
    }
    providers.add(new Server(name, zone, kind, cell, state, weight, since));
    if (address != null) {
      addresses.put(name, address);
    }
  }

  private static void require(boolean holds, String fault) throws IOException {
    if (!holds) {
      throw new IOException("malformed news: " + fault);
    }
  }
}
