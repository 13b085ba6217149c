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

/** One message of the wire, read in place: the object is reused for the next one. */
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
  private String type;
  private String tenant;
  private String client;
  private String group;
  private long deadline;
  private double hint;
  private boolean retry;
  private boolean returned;

  Request request() {
    return new Request(ticket, type, tenant, client, deadline, hint, group, retry, returned);
  }

  /** Reads the object whose opening brace is the parser's current token. */
  void read(JsonParser in) throws IOException {
    clear();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "m" -> name = in.getText();
        case "ticket" -> ticket = in.getValueAsLong();
        case "send-no" -> sendNo = in.getValueAsInt();
        case "server" -> server = text(in);
        case "state-code" -> code = in.getValueAsInt();
        case "lag" -> lag = in.getValueAsLong();
        case "last" -> last = in.getValueAsBoolean();
        case "sort" -> sort = in.getValueAsInt();
        case "level" -> level = in.getValueAsDouble();
        case "name" -> token = in.getValueAsLong();
        case "set-id" -> set = in.getValueAsInt();
        case "mode" -> mode = kind(in.getText());
        case "rows" -> rows = rows(in);
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
        case "tier-class" -> type = text(in);
        case "account" -> tenant = text(in);
        case "affinity" -> client = text(in);
        case "group" -> group = text(in);
        case "client-deadline" -> deadline = in.getValueAsLong();
        case "weight-hint" -> hint = in.getValueAsDouble();
        case "is-retry" -> retry = in.getValueAsBoolean();
        case "returned" -> returned = in.getValueAsBoolean();
        default -> in.skipChildren();
      }
    }
    if ("PowerOn".equals(name) && settings == null) {
      throw new IllegalArgumentException("PowerOn without settings");
    }
  }

  private void clear() {
    name = server = type = tenant = client = group = null;
    ticket = lag = token = seed = deadline = 0;
    sendNo = code = sort = 0;
    set = -1;
    level = hint = 0;
    last = retry = returned = false;
    mode = null;
    rows = null;
    settings = null;
    reportField = -1;
    report.clear();
  }

  private static String text(JsonParser in) throws IOException {
    return in.currentToken() == JsonToken.VALUE_NULL ? null : in.getText();
  }

  private static ListUpdateKind kind(String letter) {
    return switch (letter) {
      case "D" -> ListUpdateKind.CHANGES;
      case "F" -> ListUpdateKind.FULL;
      case "C" -> ListUpdateKind.STALE;
      case "X" -> ListUpdateKind.FAILED;
      default -> throw new IllegalArgumentException("unknown list mode " + letter);
    };
  }

  private static List<Server> rows(JsonParser in) throws IOException {
    List<Server> rows = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_OBJECT) {
      rows.add(row(in));
    }
    return rows;
  }

  private static Server row(JsonParser in) throws IOException {
    String name = null;
    String zone = null;
    String kind = null;
    int cell = 0;
    ServerState state = ServerState.READY;
    double size = 0;
    long since = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "server" -> name = text(in);
        case "rack-zone" -> zone = text(in);
        case "generation-hw" -> kind = text(in);
        case "bay" -> cell = in.getValueAsInt();
        case "health" -> state = state(in.getText());
        case "size" -> size = in.getValueAsDouble();
        case "since" -> since = in.getValueAsLong();
        default -> in.skipChildren();
      }
    }
    if (name == null) {
      throw new IllegalArgumentException("list row without a server");
    }
    return new Server(name, zone, kind, cell, state, size, since);
  }

  private static ServerState state(String word) {
    return switch (word) {
      case "active" -> ServerState.READY;
      case "leaving" -> ServerState.DRAINING;
      case "left" -> ServerState.GONE;
      default -> throw new IllegalArgumentException("unknown server state " + word);
    };
  }
}
