package amberhoist.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.function.Consumer;

/** A stub provider that answers UP to each open request and echoes all other lines. */
final class StubProvider extends StubServer {
  private final String name;
  private final Consumer<String> log;

  StubProvider(String name, int port, Consumer<String> log) throws IOException {
    super(port);
    this.name = name;
    this.log = log;
    acceptConnections(name);
  }

  String name() {
    return name;
  }

  /** Returns its directory entry, a JSON object, with this status. */
  String directoryEntry(String status) {
    return "{\"name\":\"" + name + "\",\"address\":\"" + address() + "\",\"zone\":\"here\",\"type\":\"toy\","
        + "\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0}";
  }

  @Override
  protected void handleConnection(Socket socket, BufferedReader in, OutputStream out) throws IOException {
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
