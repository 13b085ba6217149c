package amberhoist.lab;

import amberhoist.clock.Clock;
import amberhoist.config.Config.BadConfig;
import amberhoist.config.Setup;
import amberhoist.config.Setup.Sources;
import amberhoist.log.EventLog;
import amberhoist.log.LogSettings;
import amberhoist.service.Service;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One proxy between stand-ins, in this process, with a client sent through it. */
final class TryOut implements AutoCloseable {
  private static final int PATIENCE = 10_000; // milliseconds for anything that must come

  /**
   * What came of it.
   *
   * @param first the provider that the client was placed on
   * @param second the provider that it was placed on once the first one drained
   * @param returned lines that came back as they were sent
   */
  record Round(String first, String second, int sent, int returned) {
    boolean held() {
      return !first.equals(second) && sent == returned;
    }

    String verdict() {
      return (held() ? "It works: " : "It does NOT work: ") + returned + " of " + sent
          + " lines came back; the client was placed on " + first + ", and on " + second + " once " + first
          + " drained.";
    }
  }

  private final PrintStream out;
  private final StandInProvider a;
  private final StandInProvider b;
  private final StandInDirectory directory;
  private final Service service;

  TryOut(PrintStream out) throws IOException {
    this.out = out;
    a = new StandInProvider("toy-a", 0, this::passes);
    b = new StandInProvider("toy-b", 0, this::passes);
    directory = new StandInDirectory(0, this::passes);
    directory.tell(a.entry("active"), b.entry("active"));
    EventLog.selectBackend(LogSettings.Format.TEXT);
    Path platform = Files.createTempFile("amberhoist-try", ".json");
    try {
      Files.writeString(platform, platform());
      service = Service.start(Setup.load(new Sources(null, Map.of("instance.platform", platform.toString()),
          Map.of()), new Clock()));
    } catch (BadConfig fault) {
      throw new IOException(fault.getMessage(), fault);
    } finally {
      Files.delete(platform);
    }
    passes("proxy on " + service.address() + ", directory on " + directory.address() + ", providers on "
        + a.address() + " and " + b.address());
  }

  private String platform() {
    return "{\"name\":\"try\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + directory.address()
        + "\",\"settings\":{\"zone\":\"here\",\"balancers\":1,\"discovery\":\"subscribe\",\"lanes\":[{"
        + "\"name\":\"scan-tiles\",\"effect\":\"pure\",\"key-scope\":\"all\",\"aim\":300000,\"give-up\":3000000}],"
        + "\"family-info\":{\"mode\":\"proxy\",\"message-aim\":[100000]},\"limits\":{\"max-attempts\":4,"
        + "\"retry-after\":true,\"max-retry-after\":1500000}}}";
  }

  private void passes(String line) {
    synchronized (out) {
      out.println(line);
    }
  }

  /** Sends a client through, drains its provider, and sends the client again. */
  Round run(int lines) throws IOException {
    awaitProviders("ready", 2);
    String first;
    int returned = 0;
    try (Client client = new Client()) {
      first = client.open(1);
      for (int i = 0; i < lines; i++) {
        String line = "line " + i;
        client.send(line);
        returned += line.equals(client.line()) ? 1 : 0;
      }
    }
    passes("directory tells that " + first + " drains");
    directory.tell(a.entry(first.equals(a.name()) ? "leaving" : "active"),
        b.entry(first.equals(b.name()) ? "leaving" : "active"));
    awaitProviders("ready", 1);
    try (Client client = new Client()) {
      return new Round(first, client.open(2), lines, returned);
    }
  }

  /** Waits until the proxy has heard of so many providers in this state. */
  private void awaitProviders(String state, int count) throws IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE);
    while (service.status().providers().stream().filter(provider -> provider.state().equals(state)).count()
        != count) {
      if (System.nanoTime() > end) {
        throw new IOException("the proxy has not heard of " + count + " providers that are " + state);
      }
      Thread.onSpinWait();
    }
  }

  /** The client's side, in the platform's lines. */
  private final class Client implements AutoCloseable {
    private final Socket socket = new Socket(InetAddress.getLoopbackAddress(), service.address().getPort());
    private final BufferedReader in = new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));

    Client() throws IOException {
      socket.setSoTimeout(PATIENCE);
      socket.setTcpNoDelay(true);
    }

    String open(int id) throws IOException {
      send("OPEN 0" + id + " aa c=scan-tiles,d=2000,g=g1");
      String answer = line();
      if (!answer.startsWith("UP ")) {
        throw new IOException("the client was not served: " + answer);
      }
      return answer.substring("UP ".length());
    }

    void send(String line) throws IOException {
      passes("client > " + line);
      StandIn.send(socket.getOutputStream(), line + "\r\n");
    }

    String line() throws IOException {
      String line = String.valueOf(in.readLine());
      passes("client < " + line);
      return line;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    service.kill();
    directory.close();
    a.close();
    b.close();
  }
}
