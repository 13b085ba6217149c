package amberhoist.simulator;

import amberhoist.decide.Balancer;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the actions of one instance's balancer to the reply as commands, in the order in which they are called. */
final class SimulatorCommands implements Balancer.Actions {
  private final JsonGenerator json;
  private final int instanceNumber;
  private boolean hasEntry;

  SimulatorCommands(JsonGenerator json, int instanceNumber) {
    this.json = json;
    this.instanceNumber = instanceNumber;
  }

  @Override
  public void startAttempt(long requestId, String serverName, long timeoutMicros) {
    writeCommand("Deliver", "ticket", requestId, "server", serverName, "within", timeoutMicros);
  }

  @Override
  public void reject(long requestId, long retryAfterMicros) {
    writeCommand("Bounce", "ticket", requestId, null, null, "not-before-for", retryAfterMicros);
  }

  @Override
  public void fail(long requestId) {
    writeCommand("FinishError", "ticket", requestId, null, null, null, 0);
  }

  @Override
  public void move(long requestId) {
    writeCommand("Relocate", "ticket", requestId, null, null, null, 0);
  }

  @Override
  public void subscribe() {
    try {
      beginCommand("Subscribe");
      json.writeBooleanField("on", true);
      json.writeEndObject();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  @Override
  public void requestLoadReport(String serverName) {
    writeCommand("Poll", null, 0, "server", serverName, null, 0);
  }

  @Override
  public void scheduleTimer(long at, long token) {
    writeCommand("Timer", "instant", at, null, null, "name", token);
  }

  @Override
  public void log(String message) {
    writeCommand("Print", null, 0, "message", message, null, 0);
  }

  /** Reports an exception thrown by the balancer. */
  void reportFault(String message) {
    writeCommand("Fault", null, 0, "message", message, null, 0);
  }

  /** Ends the instance's entry in the reply, if it has one. */
  void endEntry() throws IOException {
    if (hasEntry) {
      json.writeEndArray();
      json.writeEndObject();
      hasEntry = false;
    }
  }

  /** Begins a command, and the instance's entry with its first command. */
  private void beginCommand(String name) throws IOException {
    if (!hasEntry) {
      json.writeStartObject();
      json.writeNumberField("proxy", instanceNumber);
      json.writeArrayFieldStart("cmds");
      hasEntry = true;
    }
    json.writeStartObject();
    json.writeStringField("m", name);
  }

  /** Writes a command with up to three fields in this order; a field whose name is null is left out. */
  private void writeCommand(
      String name, String field1, long value1, String field2, String value2, String field3, long value3) {
    try {
      beginCommand(name);
      if (field1 != null) {
        json.writeNumberField(field1, value1);
      }
      if (field2 != null) {
        json.writeStringField(field2, value2);
      }
      if (field3 != null) {
        json.writeNumberField(field3, value3);
      }
      json.writeEndObject();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }
}
