package amberhoist.lab;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import amberhoist.config.ProxyConfig;
import amberhoist.config.ProxyConfig.ConfigSources;
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

/** A demo that runs a proxy with stub peers in this process and connects clients through it. */
final class Demo implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 10_000;

  /**
   * The result of the demo.
   *
   * @param firstProvider provider of the first client
   * @param secondProvider provider of the second client, which connects while the first provider drains
   * @param sentLines number of lines that the first client sent
   * @param returnedLines number of lines that were returned unchanged
   */
  record DemoResult(String firstProvider, String secondProvider, int sentLines, int returnedLines) {
    boolean hasSucceeded() {
      return !firstProvider.equals(secondProvider) && sentLines == returnedLines;
    }

    String summary() {
      return (hasSucceeded() ? "It works: " : "It does NOT work: ") + returnedLines + " of " + sentLines
          + " lines came back; the client was placed on " + firstProvider + ", and on " + secondProvider
          + " once " + firstProvider + " drained.";
    }
  }

  private final PrintStream out;
  private final StubProvider firstProvider;
  private final StubProvider secondProvider;
  private final StubDirectory directory;
  private final Service service;

  Demo(PrintStream out) throws IOException {
    this.out = out;
    firstProvider = new StubProvider("toy-a", 0, this::printLine);
    secondProvider = new StubProvider("toy-b", 0, this::printLine);
    directory = new StubDirectory(0, this::printLine);
    directory.replaceEntries(firstProvider.directoryEntry("active"), secondProvider.directoryEntry("active"));
    EventLog.selectBackend(LogSettings.Format.TEXT);
    Path platformFile = Files.createTempFile("amberhoist-try", ".json");
    try {
      Files.writeString(platformFile, platformJson());
      service = Service.start(ProxyConfig.load(new ConfigSources(null,
          Map.of("instance.platform", platformFile.toString()), Map.of()), new Clock()));
    } catch (InvalidConfigException exception) {
      throw new IOException(exception.getMessage(), exception);
    } finally {
      Files.delete(platformFile);
    }
    printLine("proxy on " + service.address() + ", directory on " + directory.address() + ", providers on "
        + firstProvider.address() + " and " + secondProvider.address());
  }

  private String platformJson() {
    return "{\"name\":\"try\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + directory.address()
        + "\",\"settings\":{\"zone\":\"here\",\"balancers\":1,\"discovery\":\"subscribe\",\"lanes\":[{"
        + "\"name\":\"scan-tiles\",\"effect\":\"pure\",\"key-scope\":\"all\",\"aim\":300000,\"give-up\":3000000}],"
        + "\"family-info\":{\"mode\":\"proxy\",\"message-aim\":[100000]},\"limits\":{\"max-attempts\":4,"
        + "\"retry-after\":true,\"max-retry-after\":1500000}}}";
  }

  private void printLine(String line) {
    synchronized (out) {
      out.println(line);
    }
  }

  /** Connects a client, sends lines, drains the client's provider and connects another client. */
  DemoResult run(int lines) throws IOException {
    awaitProviders("ready", 2);
    String assigned;
    int returned = 0;
    try (DemoClient client = new DemoClient()) {
      assigned = client.open(1);
      for (int i = 0; i < lines; i++) {
        String line = "line " + i;
        client.send(line);
        returned += line.equals(client.readLine()) ? 1 : 0;
      }
    }
    printLine("directory announces that " + assigned + " is draining");
    directory.replaceEntries(firstProvider.directoryEntry(assigned.equals(firstProvider.name()) ? "leaving" : "active"),
        secondProvider.directoryEntry(assigned.equals(secondProvider.name()) ? "leaving" : "active"));
    awaitProviders("ready", 1);
    try (DemoClient client = new DemoClient()) {
      return new DemoResult(assigned, client.open(2), lines, returned);
    }
  }

  /** Waits until the proxy lists {@code count} providers in this state. */
  private void awaitProviders(String state, int count) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (service.status().providers().stream().filter(provider -> provider.state().equals(state)).count()
        != count) {
      if (System.nanoTime() > deadline) {
        throw new IOException("timed out waiting for the proxy to list " + count + " providers in state " + state);
      }
      Thread.onSpinWait();
    }
  }

  /** A client that speaks the line protocol. */
  private final class DemoClient implements AutoCloseable {
    private final Socket socket = new Socket(InetAddress.getLoopbackAddress(), service.address().getPort());
    private final BufferedReader in = new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));

    DemoClient() throws IOException {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
    }

    String open(int id) throws IOException {
      send("OPEN 0" + id + " aa c=scan-tiles,d=2000,g=g1");
      String answer = readLine();
      if (!answer.startsWith("UP ")) {
        throw new IOException("the connection was rejected: " + answer);
      }
      return answer.substring("UP ".length());
    }

    void send(String line) throws IOException {
      printLine("client > " + line);
      StubServer.send(socket.getOutputStream(), line + "\r\n");
    }

    String readLine() throws IOException {
      String line = String.valueOf(in.readLine());
      printLine("client < " + line);
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
    firstProvider.close();
    secondProvider.close();
  }
}
