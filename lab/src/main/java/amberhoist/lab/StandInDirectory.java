package amberhoist.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.util.function.Consumer;

/** A directory that tells each watch the whole list, again whenever it changes. */
final class StandInDirectory extends StandIn {
  private static final long PERIOD = 2000; // milliseconds between empty lines

  private final Consumer<String> log;
  private int index;
  private String list = "";

  StandInDirectory(int port, Consumer<String> log) throws IOException {
    super(port);
    this.log = log;
    serve("directory");
  }

  /** Lists these entries from now on. */
  synchronized void tell(String... entries) {
    index++;
    list = "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    notifyAll();
  }

  @Override
  void talk(BufferedReader in, OutputStream out) throws IOException, InterruptedException {
    log.accept("directory < " + in.readLine());
    for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
      // nothing in the headers matters here
    }
    send(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    int told = 0;
    while (true) {
      String line = "";
      synchronized (this) {
        if (told == index) {
          wait(PERIOD);
        }
        if (told != index) {
          told = index;
          line = list;
        }
      }
      send(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
  }
}
