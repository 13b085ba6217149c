package amberhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Ends of established connections at a proxy process. SIGSTOP holds the process while both sides act, so that the
 * events cross in the proxy's sockets.
 */
@Timeout(60)
class ConnectionEndProcessTest {
  private static final int TIMEOUT_MILLIS = 20_000;

  @TempDir
  private Path folder;

  private final ProxyProcessHarness harness = new ProxyProcessHarness();
  private final BlockingQueue<Socket> providerEnds = new LinkedBlockingQueue<>();
  private Process proxy;
  private Socket client;
  private BufferedReader clientInput;
  private Socket provider;
  private BufferedReader providerInput;

  @BeforeEach
  void establishConnection() throws Exception {
    int providerPort = harness.startListener((socket, in) -> providerEnds.add(socket));
    String list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"p0\",\"address\":\"127.0.0.1:"
        + providerPort + "\",\"zone\":\"here\",\"type\":\"m\",\"group\":0,\"status\":\"active\",\"weight\":1.0,"
        + "\"since_ms\":0}]}";
    int directory = harness.startDirectory((socket, in) -> ProxyProcessHarness.write(socket,
        ProxyProcessHarness.httpChunk(list)));
    String config = Files.readString(Path.of("../example/config.json"))
        .replaceAll("(?s)\"known\": \\{.*?\\]\\s*\\}", "\"known\": " + list);
    int port = harness.startProxy(Files.writeString(folder.resolve("config"), config), directory);
    proxy = harness.processes().get(0);
    client = new Socket(ProxyProcessHarness.LOOPBACK, port);
    client.setSoTimeout(TIMEOUT_MILLIS);
    clientInput = ProxyProcessHarness.reader(client);
    ProxyProcessHarness.write(client, "OPEN a1 k1 c=scan-tiles,t=acme,d=3000\r\n");
    provider = providerEnds.take();
    provider.setSoTimeout(TIMEOUT_MILLIS);
    providerInput = ProxyProcessHarness.reader(provider);
    providerInput.readLine();
    ProxyProcessHarness.write(provider, "UP r1\r\n");
    assertEquals("UP r1", clientInput.readLine());
  }

  private void signalProxy(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(proxy.pid())).start().waitFor();
  }

  /** Reads the client's lines to the end of its connection, which is added as FIN or RESET. */
  private List<String> readToEnd() throws IOException {
    List<String> lines = new ArrayList<>();
    try {
      for (String line = clientInput.readLine(); line != null; line = clientInput.readLine()) {
        lines.add(line);
      }
      lines.add("FIN");
    } catch (SocketException reset) {
      lines.add("RESET");
    }
    return lines;
  }

  @Test
  void linesWrittenAfterTheClientEndedItsSendingSideReachIt() throws Exception {
    ProxyProcessHarness.write(client, "last\r\n");
    client.shutdownOutput();
    assertEquals("last", providerInput.readLine());
    assertEquals(null, providerInput.readLine());
    ProxyProcessHarness.write(provider, "last\r\nBYE\r\n");
    provider.close();
    assertEquals(List.of("last", "BYE", "FIN"), readToEnd());
  }

  @Test
  void linesThatCrossTheEndOfTheClientsSendingSideReachIt() throws Exception {
    signalProxy("STOP");
    client.shutdownOutput();
    ProxyProcessHarness.write(provider, "last\r\nBYE\r\n");
    provider.shutdownOutput();
    signalProxy("CONT");
    assertEquals(List.of("last", "BYE", "FIN"), readToEnd());
  }

  @Test
  void linesWrittenBeforeAResetReachTheClient() throws Exception {
    signalProxy("STOP");
    ProxyProcessHarness.write(provider, "1\r\n2\r\n3\r\n4\r\n");
    provider.setSoLinger(true, 0);
    provider.close();
    signalProxy("CONT");
    assertEquals(List.of("1", "2", "3", "4", "RESET"), readToEnd());
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    harness.close();
  }
}
