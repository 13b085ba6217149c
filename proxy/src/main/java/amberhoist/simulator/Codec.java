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

/** Reads batches, one JSON value a line, and writes one reply line for each. */
final class Codec {
  private static final Outcome[] OUTCOMES = Outcome.values();
  private static final int LISTS = 16;

  private final JsonParser in;
  private final JsonGenerator out;
  private final Session session;
  private final List<List<Server>> lists = new ArrayList<>();
  private final Message message = new Message();
  private long line = 1;

  Codec(InputStream input, OutputStream output, Session session) {
    JsonFactory factory = new JsonFactory();
    try {
      in = factory.createParser(new BufferedInputStream(input, 1 << 16));
      out = factory.createGenerator(new BufferedOutputStream(output, 1 << 16));
    } catch (IOException broken) {
      throw new IllegalStateException(broken);
    }
    out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    out.setRootValueSeparator(null);
    this.session = session;
    for (int i = 0; i < LISTS; i++) {
      lists.add(null);
    }
  }

  /** The number of the line being read, from 1. */
  long line() {
    return line;
  }

  /** Answers batches until input ends. */
  void run() throws IOException {
    for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
      expect(token == JsonToken.START_OBJECT, "a batch must be an object");
      batch();
      out.writeRaw('\n');
      out.flush();
      line++;
    }
  }

  private void batch() throws IOException {
    long now = Long.MIN_VALUE;
    out.writeStartObject();
    out.writeArrayFieldStart("proxys");
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      if (name.equals("at-time")) {
        now = whole();
      } else if (name.equals("proxys")) {
        expect(now != Long.MIN_VALUE, "at-time must come before proxys");
        expect(in.currentToken() == JsonToken.START_ARRAY, "proxys must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
          instance(now);
        }
      } else {
        in.skipChildren();
      }
    }
    expect(now != Long.MIN_VALUE, "batch without at-time");
    out.writeEndArray();
    out.writeEndObject();
  }

  private void instance(long now) throws IOException {
    Session.Instance instance = null;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      if (name.equals("proxy")) {
        instance = session.instance((int) whole(), out);
      } else if (name.equals("inbox")) {
        expect(instance != null, "proxy must come before inbox");
        expect(in.currentToken() == JsonToken.START_ARRAY, "inbox must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
          message.read(in);
          dispatch(now, instance);
        }
      } else {
        in.skipChildren();
      }
    }
    expect(instance != null, "instance without a number");
    instance.commands.finish();
  }

  private void dispatch(long now, Session.Instance instance) {
    String name = message.name;
    expect(name != null, "message without a name");
    if (name.equals("Directory")) {
      expect(message.set >= 0 && message.set < LISTS, "bad set-id " + message.set);
      lists.set(message.set, message.rows);
      return;
    }
    List<Server> list = name.equals("PeersKnown") ? list() : null;
    Runnable event = event(name, now, instance, list);
    try {
      event.run();
    } catch (RuntimeException fault) {
      instance.commands.fault(fault.toString());
      instance.stop();
    }
  }

  private List<Server> list() {
    if (message.mode == ListUpdateKind.FAILED) {
      return List.of();
    }
    expect(message.mode != null, "PeersKnown without a mode");
    expect(message.set >= 0 && message.set < LISTS && lists.get(message.set) != null,
        "PeersKnown names unknown set-id " + message.set);
    return lists.get(message.set);
  }

  private Runnable event(String name, long now, Session.Instance instance, List<Server> list) {
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
      case "Inbox" -> () -> {}; // no balancer here talks to others
      default -> throw new IllegalArgumentException("unknown message " + name);
    };
    return balancer == null ? () -> {} : event;
  }

  private Outcome outcome() {
    expect(message.code >= 1 && message.code <= OUTCOMES.length, "unknown state-code " + message.code);
    return OUTCOMES[message.code - 1];
  }

  private long whole() throws IOException {
    return in.getValueAsLong();
  }

  private void expect(boolean holds, String fault) {
    if (!holds) {
      throw new IllegalArgumentException(fault);
    }
  }
}
