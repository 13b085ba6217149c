package amberhoist.simulator;

import amberhoist.decide.Balancer;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.decide.Balancer.Server;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads batches of messages from the simulator, one JSON object per line, passes the messages to the balancers and
 * writes one line per batch with their commands.
 */
final class SimulatorCodec {
  private static final Outcome[] OUTCOMES = Outcome.values();
  private static final int MAX_LISTS = 16;

  private final JsonParser in;
  private final JsonGenerator out;
  private final SimulatedInstances instances;
  private final List<List<Server>> listsById = new ArrayList<>();
  private final SimulatorMessage message = new SimulatorMessage();
  private long lineNumber = 1;

  SimulatorCodec(InputStream input, OutputStream output, SimulatedInstances instances) {
    JsonFactory factory = new JsonFactory();
    try {
      in = factory.createParser(new BufferedInputStream(input, 1 << 16));
      out = factory.createGenerator(new BufferedOutputStream(output, 1 << 16));
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
    out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    out.setRootValueSeparator(null);
    this.instances = instances;
    for (int i = 0; i < MAX_LISTS; i++) {
      listsById.add(null);
    }
  }

  /** Returns the number of the line being read, from 1. */
  long lineNumber() {
    return lineNumber;
  }

  /**
   * Processes batches until the input ends.
   *
   * @throws IOException if input is not JSON or a stream fails
   * @throws IllegalArgumentException if a message is invalid
   */
  void processBatches() throws IOException {
    for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
      require(token == JsonToken.START_OBJECT, "a batch must be an object");
      readBatch();
      out.writeRaw('\n');
      out.flush();
      lineNumber++;
    }
  }

  /** Processes one batch; the parser is at its opening brace. */
  private void readBatch() throws IOException {
    long now = Long.MIN_VALUE;
    out.writeStartObject();
    out.writeArrayFieldStart("proxys");
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      if (name.equals("at-time")) {
        now = readLong();
      } else if (name.equals("proxys")) {
        require(now != Long.MIN_VALUE, "at-time must come before proxys");
        require(in.currentToken() == JsonToken.START_ARRAY, "proxys must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
          readInstance(now);
        }
      } else {
        in.skipChildren();
      }
    }
    require(now != Long.MIN_VALUE, "batch without at-time");
    out.writeEndArray();
    out.writeEndObject();
  }

  /** Processes the messages of one instance; the parser is at the opening brace of its entry. */
  private void readInstance(long now) throws IOException {
    SimulatedInstances.Instance instance = null;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      if (name.equals("proxy")) {
        instance = instances.getOrCreate((int) readLong(), out);
      } else if (name.equals("inbox")) {
        require(instance != null, "proxy must come before inbox");
        require(in.currentToken() == JsonToken.START_ARRAY, "inbox must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
          message.read(in);
          dispatch(now, instance);
        }
      } else {
        in.skipChildren();
      }
    }
    require(instance != null, "entry of proxys without proxy");
    instance.commands.endEntry();
  }

  /** Processes the current message. An exception from the balancer is reported as a fault and stops the instance. */
  private void dispatch(long now, SimulatedInstances.Instance instance) {
    String name = message.name;
    require(name != null, "message without m");
    if (name.equals("Directory")) {
      require(message.listId >= 0 && message.listId < MAX_LISTS, "invalid set-id " + message.listId);
      listsById.set(message.listId, message.servers);
      return;
    }
    List<Server> list = name.equals("PeersKnown") ? currentList() : null;
    Runnable event = toEvent(name, now, instance, list);
    try {
      event.run();
    } catch (RuntimeException fault) {
      instance.commands.reportFault(fault.toString());
      instance.stop();
    }
  }

  /** Returns the server list that the current message names. */
  private List<Server> currentList() {
    if (message.updateKind == ListUpdateKind.FAILED) {
      return List.of();
    }
    require(message.updateKind != null, "PeersKnown without a mode");
    require(message.listId >= 0 && message.listId < MAX_LISTS && listsById.get(message.listId) != null,
        "PeersKnown names unknown set-id " + message.listId);
    return listsById.get(message.listId);
  }

  /** Returns the call of the balancer for the current message; for an instance that is not running it does nothing. */
  private Runnable toEvent(String name, long now, SimulatedInstances.Instance instance, List<Server> list) {
    SimulatorMessage m = message;
    Balancer balancer = instance.balancer;
    if (name.equals("PowerOn")) {
      return () -> instance.start(now, m.settings, m.utilizationField, m.seed);
    }
    if (name.equals("Retire")) {
      return instance::stop;
    }
    Runnable event = switch (name) {
      case "PeersKnown" -> () -> balancer.onServerList(now, m.updateKind, list);
      case "Request" -> () -> balancer.onRequest(now, m.request());
      case "Handover" -> () -> balancer.onHandover(now, m.request(), m.serverName);
      case "Flowing" -> () -> balancer.onEstablished(now, m.requestId, m.attempt, m.latencyMicros);
      case "Ended" -> () -> balancer.onAttemptEnded(now, m.requestId, m.attempt, outcome(), m.latencyMicros,
          m.requestFinished);
      case "Progress" -> () -> {
        if (m.progressKind == 1) {
          balancer.onLoad(now, m.requestId, m.attempt, m.progressValue);
        } else if (m.progressKind == 2) {
          balancer.onQueueingDelay(now, m.requestId, m.attempt, m.progressValue * 1000);
        }
      };
      case "Expired" -> () -> balancer.onClientDisconnected(now, m.requestId);
      case "Wake" -> () -> balancer.onTimer(now, m.timerToken);
      case "Health" -> () -> instance.onLoadReport(now, m.serverName, m.loadReport);
      case "Inbox" -> () -> {}; // balancers do not communicate with each other
      default -> throw new IllegalArgumentException("unknown message " + name);
    };
    return balancer == null ? () -> {} : event;
  }

  private Outcome outcome() {
    require(message.stateCode >= 1 && message.stateCode <= OUTCOMES.length, "unknown state-code " + message.stateCode);
    return OUTCOMES[message.stateCode - 1];
  }

  private long readLong() throws IOException {
    return in.getValueAsLong();
  }

  private void require(boolean condition, String description) {
    if (!condition) {
      throw new IllegalArgumentException(description);
    }
  }
}
