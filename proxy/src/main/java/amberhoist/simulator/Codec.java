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
final class Codec {
  private static final Outcome[] OUTCOMES = Outcome.values();
  private static final int MAX_LISTS = 16;

  private final JsonParser in;
  private final JsonGenerator out;
  private final Session session;
  private final List<List<Server>> listsById = new ArrayList<>();
  private final Message message = new Message();
  private long line = 1;

  Codec(InputStream input, OutputStream output, Session session) {
    JsonFactory factory = new JsonFactory();
    try {
      in = factory.createParser(new BufferedInputStream(input, 1 << 16));
      out = factory.createGenerator(new BufferedOutputStream(output, 1 << 16));
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
    out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    out.setRootValueSeparator(null);
    this.session = session;
    for (int i = 0; i < MAX_LISTS; i++) {
      listsById.add(null);
    }
  }

  /** Returns the number of the line being read, from 1. */
  long line() {
    return line;
  }

  /**
   * Processes batches until the input ends.
   *
   * @throws IOException if input is not JSON or a stream fails
   * @throws IllegalArgumentException if a message is invalid
   */
  void run() throws IOException {
    for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
      require(token == JsonToken.START_OBJECT, "a batch must be an object");
      readBatch();
      out.writeRaw('\n');
      out.flush();
      line++;
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
    Session.Instance instance = null;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      if (name.equals("proxy")) {
        instance = session.instance((int) readLong(), out);
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
    instance.commands.finish();
  }

  /** Processes the current message. An exception from the balancer is reported as a fault and stops the instance. */
  private void dispatch(long now, Session.Instance instance) {
    String name = message.name;
    require(name != null, "message without m");
    if (name.equals("Directory")) {
      require(message.set >= 0 && message.set < MAX_LISTS, "invalid set-id " + message.set);
      listsById.set(message.set, message.rows);
      return;
    }
    List<Server> list = name.equals("PeersKnown") ? currentList() : null;
    Runnable event = toEvent(name, now, instance, list);
    try {
      event.run();
    } catch (RuntimeException fault) {
      instance.commands.fault(fault.toString());
      instance.stop();
    }
  }

  /** Returns the server list that the current message names. */
  private List<Server> currentList() {
    if (message.mode == ListUpdateKind.FAILED) {
      return List.of();
    }
    require(message.mode != null, "PeersKnown without a mode");
    require(message.set >= 0 && message.set < MAX_LISTS && listsById.get(message.set) != null,
        "PeersKnown names unknown set-id " + message.set);
    return listsById.get(message.set);
  }

  /** Returns the call of the balancer for the current message; for an instance that is not running it does nothing. */
  private Runnable toEvent(String name, long now, Session.Instance instance, List<Server> list) {
    Message m = message;
    Balancer balancer = instance.balancer;
    if (name.equals("PowerOn")) {
      return () -> instance.start(now, m.settings, m.reportField, m.seed);
    }
    if (name.equals("Retire")) {
      return instance::stop;
    }
    Runnable event = switch (name) {
      case "PeersKnown" -> () -> balancer.onServerList(now, m.mode, list);
      case "Request" -> () -> balancer.onRequest(now, m.request());
      case "Handover" -> () -> balancer.onHandover(now, m.request(), m.server);
      case "Flowing" -> () -> balancer.onEstablished(now, m.ticket, m.sendNo, m.lag);
      case "Ended" -> () -> balancer.onAttemptEnded(now, m.ticket, m.sendNo, outcome(), m.lag, m.last);
      case "Progress" -> () -> {
        if (m.sort == 1) {
          balancer.onLoad(now, m.ticket, m.sendNo, m.level);
        } else if (m.sort == 2) {
          balancer.onQueueingDelay(now, m.ticket, m.sendNo, m.level * 1000);
        }
      };
      case "Expired" -> () -> balancer.onClientDisconnected(now, m.ticket);
      case "Wake" -> () -> balancer.onTimer(now, m.token);
      case "Health" -> () -> instance.report(now, m.server, m.report);
      case "Inbox" -> () -> {}; // balancers do not communicate with each other
      default -> throw new IllegalArgumentException("unknown message " + name);
    };
    return balancer == null ? () -> {} : event;
  }

  private Outcome outcome() {
    require(message.code >= 1 && message.code <= OUTCOMES.length, "unknown state-code " + message.code);
    return OUTCOMES[message.code - 1];
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
