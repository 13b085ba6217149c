package amberhoist.service;

import static org.junit.Assert.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig;
import amberhoist.config.ProxyConfig;
import amberhoist.config.ProxyConfig.ConfigSources;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** A proxy in this process with scripted peers on loopback: a directory, providers and clients. */
final class StubPeers implements AutoCloseable {
  static final int TIMEOUT_MILLIS = 8000;
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** The test's end of a connection to the proxy; a read that takes longer than the timeout fails the test. */
  static final class Peer {
    final Socket socket;
    private final InputStream in;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    Peer send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** Returns the next line without its CRLF, or "FIN" or "RESET" at the end of the connection. */
    String readLine() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      try {
        for (int next = in.read(); next != '\n'; next = in.read()) {
          if (next < 0) {
            return line.size() == 0 ? "FIN" : "FIN within " + line;
          }
          line.write(next);
        }
      } catch (java.net.SocketException reset) {
        return "RESET";
      }
      return line.toString(StandardCharsets.ISO_8859_1).replaceFirst("\r$", "");
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  final List<ServerSocket> providers = new ArrayList<>();
  final ServerSocket directory = listen();
  final Service service;
  private final int socketLimit;
  private final List<Peer> openConnections = new ArrayList<>();

  private final Path platformFile = Files.createTempFile("config", ".json");
  private final Path operatorFile = Files.createTempFile("operator", ".toml");

  /** Starts a proxy that knows {@code count} active providers, named p0, p1 and so on. */
  StubPeers(int count, int socketLimit) throws Exception {
    this(count, socketLimit, null);
  }

  /** Starts the same with the given text as the operator's file, null for none. */
  StubPeers(int count, int socketLimit, String operatorText) throws Exception {
    for (int i = 0; i < count; i++) {
      providers.add(listen());
    }
    this.socketLimit = socketLimit;
    Files.writeString(platformFile, platformConfig(directory));
    if (operatorText == null) {
      service = Service.start(PlatformConfig.load(Map.of("LB_CONFIG", platformFile.toString()), new Clock()));
    } else {
      Files.writeString(operatorFile, operatorText);
      service = Service.start(ProxyConfig.load(sources(Map.of()), new Clock()));
    }
  }

  private ConfigSources sources(Map<String, String> flags) {
    return new ConfigSources(operatorFile, flags, Map.of("LB_CONFIG", platformFile.toString()));
  }

  /** Returns the platform configuration with the address of the given directory. */
  String platformConfig(ServerSocket directory) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + directory.getLocalPort() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + socketLimit
        + "},\"known\":" + providerListJson(1, true, "active")
        + ",\"settings\":{\"discovery\":\"subscribe\",\"lanes\":[{"
        + "\"name\":\"chat\",\"effect\":\"pure\",\"key-scope\":\"all\",\"aim\":300000,\"give-up\":3000000}],"
        + "\"tenants\":[{\"name\":\"acme\"}],"
        + "\"family-info\":{\"message-aim\":[100000]},\"limits\":{\"max-attempts\":4,\"retry-after\":true,"
        + "\"max-retry-after\":1500000,\"dial-timeout\":250000}}}";
  }

  /** Reloads the proxy, as SIGHUP does, with the given platform configuration. */
  void reloadPlatformConfig(String config) throws IOException {
    Path file = Files.createTempFile("config", ".json");
    Files.writeString(file, config);
    String address = "127.0.0.1:" + directory.getLocalPort();
    service.reload(Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", address));
    Files.delete(file);
  }

  /** Replaces the text of the operator's file and reloads; the proxy must have been started with such a file. */
  void reloadOperatorFile(String operatorText) throws IOException {
    Files.writeString(operatorFile, operatorText);
    service.reload(sources(Map.of()));
  }

  /** Reloads the operator's file as it is, with this key set by a flag. */
  void reloadOperatorFile(String key, String value) {
    service.reload(sources(Map.of(key, value)));
  }

  StubPeers(int count) throws Exception {
    this(count, 1024);
  }

  static ServerSocket listen() throws IOException {
    ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
    server.setSoTimeout(TIMEOUT_MILLIS);
    return server;
  }

  /**
   * Returns an object of the directory with all providers. The first ones have the given states, the others are
   * active.
   */
  String providerListJson(int index, boolean snapshot, String... states) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < providers.size(); i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"p" + i + "\",\"address\":\"127.0.0.1:"
          + providers.get(i).getLocalPort() + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
          + (i < states.length ? states[i] : "active") + "\",\"weight\":1.0,\"since_ms\":0}");
    }
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + text + "]}";
  }

  /** Accepts the next watch of the proxy, reads its request and stores the request line in {@code query[0]}. */
  Peer acceptWatch(String[] query) throws IOException {
    return acceptWatch(directory, query);
  }

  /** Accepts the next watch at the given directory. */
  Peer acceptWatch(ServerSocket directory, String[] query) throws IOException {
    Peer peer = accept(directory);
    query[0] = peer.readLine();
    while (!peer.readLine().isEmpty()) {
      // skips the headers
    }
    return peer;
  }

  /** Accepts the next watch and answers it with the given object as its first chunk. */
  Peer acceptWatchAndSend(String object) throws IOException {
    Peer watch = acceptWatch(new String[1]).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return watch.send(httpChunk(object));
  }

  static String httpChunk(String object) {
    return Integer.toHexString(object.length() + 1) + "\r\n" + object + "\n\r\n";
  }

  Peer accept(ServerSocket server) throws IOException {
    Peer peer = new Peer(server.accept());
    openConnections.add(peer);
    return peer;
  }

  Peer acceptAtProvider(int providerIndex) throws IOException {
    return accept(providers.get(providerIndex));
  }

  Peer connectClient(String firstBytes) throws IOException {
    Peer peer = new Peer(new Socket(LOOPBACK, service.address().getPort()));
    openConnections.add(peer);
    return peer.send(firstBytes);
  }

  static String openRequest(String clientKey, int waitMillis, String extraFields) {
    return "OPEN 9b1f" + clientKey + " " + clientKey + " c=chat,t=acme,d=" + waitMillis + ",g=5c0f" + extraFields
        + "\r\n";
  }

  /** Blocks the proxy's event loop until closed; tasks that arrive meanwhile are queued in their order. */
  final class LoopPause implements AutoCloseable {
    private final CountDownLatch resume = new CountDownLatch(1);
    private int expectedTaskCount;

    private LoopPause() {
      CountDownLatch blocked = new CountDownLatch(1);
      service.loop().post(() -> {
        blocked.countDown();
        await(resume);
      });
      await(blocked);
      expectedTaskCount = service.loop().queuedTaskCount();
    }

    private static void await(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }

    /** Waits until one more task is queued. */
    LoopPause awaitQueuedTask() {
      expectedTaskCount++;
      long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
      while (service.loop().queuedTaskCount() < expectedTaskCount) {
        assertTrue("no further task was queued", System.nanoTime() < deadline);
        Thread.onSpinWait();
      }
      return this;
    }

    @Override
    public void close() {
      resume.countDown();
    }
  }

  LoopPause pauseLoop() {
    return new LoopPause();
  }

  /** Establishes a connection through the proxy; returns the client's and the provider's end of it. */
  Peer[] establish(String clientKey, int providerIndex) throws IOException {
    // a handover may have any wait
    Peer client = connectClient(openRequest(clientKey, 99_999_999, ",at=p" + providerIndex));
    Peer providerEnd = acceptAtProvider(providerIndex);
    providerEnd.readLine();
    providerEnd.send("UP r1\r\n");
    client.readLine();
    return new Peer[] {client, providerEnd};
  }

  @Override
  public void close() throws IOException {
    for (Peer peer : openConnections) {
      peer.socket.close();
    }
    for (ServerSocket provider : providers) {
      provider.close();
    }
    directory.close();
    service.kill();
    Files.delete(platformFile);
    Files.delete(operatorFile);
  }
}
