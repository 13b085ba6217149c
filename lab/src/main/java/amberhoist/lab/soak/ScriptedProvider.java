package amberhoist.lab.soak;

import amberhoist.lab.StubServer;
import amberhoist.lab.soak.ConnectionHistory.SeenEnd;
import amberhoist.lab.soak.ConnectionScript.How;
import amberhoist.lab.soak.ConnectionScript.Initiator;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;

/** A stub provider that echoes lines and ends each connection as its script says. */
final class ScriptedProvider extends StubServer {
  /** The line by which a client asks for the end of its connection. */
  static final String END_REQUEST = "END";
  private static final String FILLER = "y".repeat(3900);

  private final String name;
  private final Map<String, ConnectionHistory> histories;

  ScriptedProvider(String name, Map<String, ConnectionHistory> histories) throws IOException {
    super(0);
    this.name = name;
    this.histories = histories;
    acceptConnections(name);
  }

  /** Its directory entry, a JSON object. */
  String directoryEntry() {
    return "{\"name\":\"" + name + "\",\"address\":\"" + address() + "\",\"zone\":\"here\",\"type\":\"toy\","
        + "\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}";
  }

  @Override
  protected void handleConnection(Socket socket, BufferedReader in, OutputStream out) throws IOException {
    String request = in.readLine();
    ConnectionHistory history = request == null ? null : histories.get(request.split(" ")[1]);
    if (history == null) {
      return;
    }
    send(out, "UP " + name + "\r\n");
    ConnectionScript script = history.script;
    try {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        history.onProviderRead(line);
        if (line.equals(END_REQUEST)) {
          writeLastLines(history, out);
          end(history, socket, script.how());
          readRest(history, in);
          return;
        }
        if (!line.startsWith("across")) {
          write(history, out, "echo of " + line);
        }
      }
      history.onEndSeenByProvider(SeenEnd.FIN);
      if (script.initiator() == Initiator.CLIENT && script.how() == How.FIN) {
        writeLastLines(history, out);
      }
      history.onProviderEnded(System.nanoTime());
    } catch (IOException reset) {
      history.onEndSeenByProvider(SeenEnd.RESET);
      history.onProviderEnded(System.nanoTime());
    }
  }

  private static void writeLastLines(ConnectionHistory history, OutputStream out) throws IOException {
    boolean isLong = history.script.readDelayMillis() > 0;
    for (int i = 0; i < history.script.lastLines(); i++) {
      write(history, out, "last " + i + (isLong ? FILLER : ""));
    }
    write(history, out, "BYE");
  }

  private static void write(ConnectionHistory history, OutputStream out, String line) throws IOException {
    send(out, line + "\r\n");
    history.onProviderSent(line);
  }

  private static void end(ConnectionHistory history, Socket socket, How how) throws IOException {
    history.onProviderEnded(System.nanoTime());
    switch (how) {
      case FIN -> socket.shutdownOutput();
      case CLOSE -> socket.close();
      case RESET -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
  }

  private static void readRest(ConnectionHistory history, BufferedReader in) throws IOException {
    if (history.script.how() == How.FIN) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        history.onProviderRead(line);
      }
      history.onEndSeenByProvider(SeenEnd.FIN);
    }
  }
}
