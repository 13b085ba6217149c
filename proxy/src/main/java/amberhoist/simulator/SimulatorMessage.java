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
 * message does not contain is null, 0 or false; a list id or the index of the utilization field is then -1.
 */
final class SimulatorMessage {
  String name;
  long requestId;
  int attempt;
  String serverName;
  int stateCode;
  long latencyMicros;
  boolean requestFinished;
  int progressKind;
  double progressValue;
  long timerToken;
  int listId;
  ListUpdateKind updateKind;
  List<Server> servers;
  long seed;
  Settings settings;
  int utilizationField;
  final List<Double> loadReport = new ArrayList<>();
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
    return new Request(requestId, className, tenant, clientKey, deadline, loadHint, groupName, isRetry, isReturning);
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
        case "ticket" -> requestId = in.getValueAsLong();
        case "send-no" -> attempt = in.getValueAsInt();
        case "server" -> serverName = nullableText(in);
        case "state-code" -> stateCode = in.getValueAsInt();
        case "lag" -> latencyMicros = in.getValueAsLong();
        case "last" -> requestFinished = in.getValueAsBoolean();
        case "sort" -> progressKind = in.getValueAsInt();
        case "level" -> progressValue = in.getValueAsDouble();
        case "name" -> timerToken = in.getValueAsLong();
        case "set-id" -> listId = in.getValueAsInt();
        case "mode" -> updateKind = parseKind(in.getText());
        case "rows" -> servers = readServers(in);
        case "init-seed" -> seed = in.getValueAsLong();
        case "settings" -> {
          SettingsReader reader = SettingsReader.read(in);
          settings = reader.settings();
          utilizationField = reader.utilizationField();
        }
        case "health-info" -> {
          while (in.currentToken() != JsonToken.VALUE_NULL && in.nextToken() != JsonToken.END_ARRAY) {
            loadReport.add(in.getValueAsDouble());
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
    name = serverName = className = tenant = clientKey = groupName = null;
    requestId = latencyMicros = timerToken = seed = deadline = 0;
    attempt = stateCode = progressKind = 0;
    listId = -1;
    progressValue = loadHint = 0;
    requestFinished = isRetry = isReturning = false;
    updateKind = null;
    servers = null;
    settings = null;
    utilizationField = -1;
    loadReport.clear();
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
