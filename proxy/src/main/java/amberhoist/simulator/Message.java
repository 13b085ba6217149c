package amberhoist.simulator;

import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import amberhoist.decide.Balancer.Settings;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * One message from the simulator. The object is reused: each {@link #read} replaces all fields. A field that the
 * message does not contain is null, 0 or false; a list id or the index of the reported field is then -1.
 */
final class Message {
  String name;
  long ticket;
  int sendNo;
  String server;
  int code;
  long lag;
  boolean last;
  int sort;
  double level;
  long token;
  int set;
  ListUpdateKind mode;
  List<Server> rows;
  long seed;
  Settings settings;
  int reportField;
  final List<Double> report = new ArrayList<>();
  private String className;
  private String tenant;
  private String clientKey;
  private String groupName;
  private long deadline;
  private double loadHint;
  private boolean isRetry;
  private boolean isReturning;

  /** Returns the request that the fields describe. */
  Request request() {
    return new Request(ticket, className, tenant, clientKey, deadline, loadHint, groupName, isRetry, isReturning);
  }

  /**
   * Reads the JSON object whose opening brace is the parser's current token. Unknown fields are ignored.
   *
   * @throws IllegalArgumentException if a value is invalid or settings are missing where they are required
   */
  void read(JsonParser in) throws IOException {
    clear();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "m" -> name = in.getText();
        case "ticket" -> ticket = in.getValueAsLong();
        case "send-no" -> sendNo = in.getValueAsInt();
        case "server" -> server = nullableText(in);
        case "state-code" -> code = in.getValueAsInt();
        case "lag" -> lag = in.getValueAsLong();
        case "last" -> last = in.getValueAsBoolean();
        case "sort" -> sort = in.getValueAsInt();
        case "level" -> level = in.getValueAsDouble();
        case "name" -> token = in.getValueAsLong();
        case "set-id" -> set = in.getValueAsInt();
        case "mode" -> mode = parseKind(in.getText());
        case "rows" -> rows = readServers(in);
        case "init-seed" -> seed = in.getValueAsLong();
        case "settings" -> {
          SettingsReader reader = SettingsReader.of(in);
          settings = reader.settings();
          reportField = reader.reportField();
        }
        case "health-info" -> {
          while (in.currentToken() != JsonToken.VALUE_NULL && in.nextToken() != JsonToken.END_ARRAY) {
            report.add(in.getValueAsDouble());
          }
        }
        case "tier-class" -> className = nullableText(in);
        case "account" -> tenant = nullableText(in);
        case "affinity" -> clientKey = nullableText(in);
        case "group" -> groupName = nullableText(in);
        case "client-deadline" -> deadline = in.getValueAsLong();
        case "weight-hint" -> loadHint = in.getValueAsDouble();
        case "is-retry" -> isRetry = in.getValueAsBoolean();
        case "returned" -> isReturning = in.getValueAsBoolean();
        default -> in.skipChildren();
      }
    }
    if ("PowerOn".equals(name) && settings == null) {
      throw new IllegalArgumentException("PowerOn without settings");
    }
  }

  private void clear() {
    name = server = className = tenant = clientKey = groupName = null;
    ticket = lag = token = seed = deadline = 0;
    sendNo = code = sort = 0;
    set = -1;
    level = loadHint = 0;
    last = isRetry = isReturning = false;
    mode = null;
    rows = null;
    settings = null;
    reportField = -1;
    report.clear();
  }

  private static String nullableText(JsonParser in) throws IOException {
    return in.currentToken() == JsonToken.VALUE_NULL ? null : in.getText();
  }

  private static ListUpdateKind parseKind(String letter) {
    return switch (letter) {
      case "D" -> ListUpdateKind.CHANGES;
      case "F" -> ListUpdateKind.FULL;
      case "C" -> ListUpdateKind.STALE;
      case "X" -> ListUpdateKind.FAILED;
      default -> throw new IllegalArgumentException("unknown list mode " + letter);
    };
  }

  private static List<Server> readServers(JsonParser in) throws IOException {
    List<Server> servers = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_OBJECT) {
      servers.add(readServer(in));
    }
    return servers;
  }

  private static Server readServer(JsonParser in) throws IOException {
    String name = null;
    String zone = null;
    String machineType = null;
    int cell = 0;
    ServerState state = ServerState.READY;
    double relativeCapacity = 0;
    long startedAt = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "server" -> name = nullableText(in);
        case "rack-zone" -> zone = nullableText(in);
        case "generation-hw" -> machineType = nullableText(in);
        case "bay" -> cell = in.getValueAsInt();
        case "health" -> state = parseState(in.getText());
        case "size" -> relativeCapacity = in.getValueAsDouble();
        case "since" -> startedAt = in.getValueAsLong();
        default -> in.skipChildren();
      }
    }
    if (name == null) {
      throw new IllegalArgumentException("entry of rows without server");
    }
    return new Server(name, zone, machineType, cell, state, relativeCapacity, startedAt);
  }

  private static ServerState parseState(String word) {
    return switch (word) {
      case "active" -> ServerState.READY;
      case "leaving" -> ServerState.DRAINING;
      case "left" -> ServerState.GONE;
      default -> throw new IllegalArgumentException("unknown server state " + word);
    };
  }
}
