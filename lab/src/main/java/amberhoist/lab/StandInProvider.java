package amberhoist.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.util.function.Consumer;

/** A provider that answers UP to every first line and returns every other line. */
final class StandInProvider extends StandIn {
  private final String name;
  private final Consumer<String> log;

  StandInProvider(String name, int port, Consumer<String> log) throws IOException {
    super(port);
    this.name = name;
    this.log = log;
    serve(name);
  }

  String name() {
    return name;
  }

  /** Its entry in the directory's list. */
  String entry(String status) {
    return "{\"name\":\"" + name + "\",\"address\":\"" + address() + "\",\"zone\":\"here\",\"type\":\"toy\","
        + "\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0}";
  }

  @Override
  void talk(BufferedReader in, OutputStream out) throws IOException {
    String line = in.readLine();
    if (line == null) {
      return;
    }
    log.accept(name + " < " + line);
    String answer = line.startsWith("OPEN ") ? "UP " + name : "ERR";
    log.accept(name + " > " + answer);
    send(out, answer + "\r\n");
    for (line = in.readLine(); line != null; line = in.readLine()) {
      log.accept(name + " < " + line);
      send(out, line + "\r\n");
    }
  }
}
