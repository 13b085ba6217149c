package amberhoist.simulator;

import amberhoist.decide.Balancer;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes one instance's actions into the reply as they are given. */
final class Commands implements Balancer.Actions {
  private final JsonGenerator json;
  private final int instance;
  private boolean open;

  Commands(JsonGenerator json, int instance) {
    this.json = json;
    this.instance = instance;
  }

  @Override
  public void startAttempt(long request, String server, long timeout) {
    put("Deliver", "ticket", request, "server", server, "within", timeout);
  }

  @Override
  public void reject(long request, long retryAfter) {
    put("Bounce", "ticket", request, null, null, "not-before-for", retryAfter);
  }

  @Override
  public void fail(long request) {
    put("FinishError", "ticket", request, null, null, null, 0);
  }

  @Override
  public void move(long request) {
    put("Relocate", "ticket", request, null, null, null, 0);
  }

  @Override
  public void subscribe() {
    try {
      begin("Subscribe");
      json.writeBooleanField("on", true);
      json.writeEndObject();
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }

  @Override
  public void requestLoadReport(String server) {
    put("Poll", null, 0, "server", server, null, 0);
  }

  @Override
  public void scheduleTimer(long at, long token) {
    put("Timer", "instant", at, null, null, "name", token);
  }

  @Override
  public void log(String message) {
    put("Print", null, 0, "message", message, null, 0);
  }

  void fault(String message) {
    put("Fault", null, 0, "message", message, null, 0);
  }

  /** Ends this instance's part of the reply. */
  void finish() throws IOException {
    if (open) {
      json.writeEndArray();
      json.writeEndObject();
      open = false;
    }
  }

  private void begin(String name) throws IOException {
    if (!open) {
      json.writeStartObject();
      json.writeNumberField("proxy", instance);
      json.writeArrayFieldStart("cmds");
      open = true;
    }
    json.writeStartObject();
    json.writeStringField("m", name);
  }

  private void put(
      String name, String first, long number, String second, String text, String third, long last) {
    try {
      begin(name);
      if (first != null) {
        json.writeNumberField(first, number);
      }
      if (second != null) {
        json.writeStringField(second, text);
      }
      if (third != null) {
        json.writeNumberField(third, last);
      }
      json.writeEndObject();
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }
}
