package amberhoist.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.function.Consumer;

/** A stub directory that sends every watch the full list of providers, first at once and then after each change. */
public final class StubDirectory extends StubServer {
  private static final long KEEP_ALIVE_MILLIS = 2000; // between empty lines

  private final Consumer<String> log;
  private int index;
  private String snapshot = "";

  /** Listens on this loopback port, any free one if it is 0; {@code log} receives the requests. */
  public StubDirectory(int port, Consumer<String> log) throws IOException {
    super(port);
    this.log = log;
    acceptConnections("directory");
  }

  /** Replaces the list and sends it to all watches. Each entry is a JSON object of one provider. */
  public synchronized void replaceEntries(String... entries) {
    index++;
    snapshot = "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    notifyAll();
  }

  @Override
  protected void handleConnection(Socket socket, BufferedReader in, OutputStream out)
      throws IOException, InterruptedException {
    log.accept("directory < " + in.readLine());
    for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
      // headers are ignored
    }
    send(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    int sentIndex = 0;
    while (true) {
      String line = "";
      synchronized (this) {
        if (sentIndex == index) {
          wait(KEEP_ALIVE_MILLIS);
        }
        if (sentIndex != index) {
          sentIndex = index;
          line = snapshot;
        }
      }
      send(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
  }
}
