package amberhoist.service;

import static org.junit.Assert.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.config.Config;
import amberhoist.config.Setup;
import amberhoist.config.Setup.Sources;
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

/** The scripted peers of the stories: a directory, providers and clients on loopback, round a real proxy. */
final class Peers implements AutoCloseable {
  static final int PATIENCE = 8000;
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** One end of a connection; whatever does not come within the patience fails the story. */
  static final class Peer {
    final Socket socket;
    private final InputStream in;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(PATIENCE);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    Peer send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** The next line without its CRLF, "FIN" or "RESET" at the connection's end. */
    String line() throws IOException {
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
  private final int sockets;
  private final List<Peer> open = new ArrayList<>();

  private final Path platform = Files.createTempFile("config", ".json");
  private final Path operator = Files.createTempFile("operator", ".toml");

  /** A proxy that knows so many providers, all active, as p0, p1 and so on. */
  Peers(int count, int sockets) throws Exception {
    this(count, sockets, null);
  }

  /** The same with this operator's file, null for none. */
  Peers(int count, int sockets, String keys) throws Exception {
    for (int i = 0; i < count; i++) {
      providers.add(listen());
    }
    this.sockets = sockets;
    Files.writeString(platform, config(directory));
    if (keys == null) {
      service = Service.start(Config.load(Map.of("LB_CONFIG", platform.toString()), new Clock()));
    } else {
      Files.writeString(operator, keys);
      service = Service.start(Setup.load(sources(Map.of()), new Clock()));
    }
  }

  private Sources sources(Map<String, String> flags) {
    return new Sources(operator, flags, Map.of("LB_CONFIG", platform.toString()));
  }

  /** The configuration, naming this directory. */
  String config(ServerSocket directory) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + directory.getLocalPort() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets
        + "},\"known\":" + list(1, true, "active") + ",\"settings\":{\"discovery\":\"subscribe\",\"lanes\":[{"
        + "\"name\":\"chat\",\"effect\":\"pure\",\"key-scope\":\"all\",\"aim\":300000,\"give-up\":3000000}],"
        + "\"tenants\":[{\"name\":\"acme\"}],"
        + "\"family-info\":{\"message-aim\":[100000]},\"limits\":{\"max-attempts\":4,\"retry-after\":true,"
        + "\"max-retry-after\":1500000,\"dial-timeout\":250000}}}";
  }

  /** Replaces the configuration by this text and has the proxy read it again, as SIGHUP does. */
  void reload(String text) throws IOException {
    Path file = Files.createTempFile("config", ".json");
    Files.writeString(file, text);
    String first = "127.0.0.1:" + directory.getLocalPort();
    service.reload(Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", first));
    Files.delete(file);
  }

  /** Has a proxy that was started with an operator's file read it again, with this in it. */
  void reloadWith(String keys) throws IOException {
    Files.writeString(operator, keys);
    service.reload(sources(Map.of()));
  }

  /** The same with this key set besides. */
  void reloadWith(String key, String value) {
    service.reload(sources(Map.of(key, value)));
  }

  Peers(int count) throws Exception {
    this(count, 1024);
  }

  static ServerSocket listen() throws IOException {
    ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
    server.setSoTimeout(PATIENCE);
    return server;
  }

  /** The list of all providers in this version; the first ones have these states, the others are active. */
  String list(int index, boolean whole, String... states) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < providers.size(); i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"p" + i + "\",\"address\":\"127.0.0.1:"
          + providers.get(i).getLocalPort() + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
          + (i < states.length ? states[i] : "active") + "\",\"weight\":1.0,\"since_ms\":0}");
    }
    return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + text + "]}";
  }

  /** The next watch of the proxy; its query has been read, and its first line is left in {@code query}. */
  Peer watch(String[] query) throws IOException {
    return watch(directory, query);
  }

  /** The next watch that comes to this directory. */
  Peer watch(ServerSocket directory, String[] query) throws IOException {
    Peer peer = accept(directory);
    query[0] = peer.line();
    while (!peer.line().isEmpty()) {
      // the other headers
    }
    return peer;
  }

  /** The next watch, answered with this line. */
  Peer watchTelling(String line) throws IOException {
    Peer watch = watch(new String[1]).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return watch.send(chunk(line));
  }

  static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }

  Peer accept(ServerSocket server) throws IOException {
    Peer peer = new Peer(server.accept());
    open.add(peer);
    return peer;
  }

  Peer provider(int number) throws IOException {
    return accept(providers.get(number));
  }

  Peer client(String text) throws IOException {
    Peer peer = new Peer(new Socket(LOOPBACK, service.address().getPort()));
    open.add(peer);
    return peer.send(text);
  }

  static String opening(String key, int wait, String more) {
    return "OPEN 9b1f" + key + " " + key + " c=chat,t=acme,d=" + wait + ",g=5c0f" + more + "\r\n";
  }

  /** The proxy's loop held up until this is closed; what comes meanwhile waits, in the order in which it came. */
  final class Hold implements AutoCloseable {
    private final CountDownLatch go = new CountDownLatch(1);
    private int waiting;

    private Hold() {
      CountDownLatch held = new CountDownLatch(1);
      service.loop().post(() -> {
        held.countDown();
        await(go);
      });
      await(held);
      waiting = service.loop().queuedTaskCount();
    }

    private static void await(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException ended) {
        Thread.currentThread().interrupt();
      }
    }

    /** Returns when one thing more waits. */
    Hold next() {
      waiting++;
      long end = System.nanoTime() + PATIENCE * 1_000_000L;
      while (service.loop().queuedTaskCount() < waiting) {
        assertTrue("nothing comes", System.nanoTime() < end);
        Thread.onSpinWait();
      }
      return this;
    }

    @Override
    public void close() {
      go.countDown();
    }
  }

  Hold hold() {
    return new Hold();
  }

  /** A client served by a provider: both ends. */
  Peer[] joined(String key, int provider) throws IOException {
    Peer client = client(opening(key, 99_999_999, ",at=p" + provider)); // its wait may be any
    Peer there = provider(provider);
    there.line();
    there.send("UP r1\r\n");
    client.line();
    return new Peer[] {client, there};
  }

  @Override
  public void close() throws IOException {
    for (Peer peer : open) {
      peer.socket.close();
    }
    for (ServerSocket provider : providers) {
      provider.close();
    }
    directory.close();
    service.kill();
    Files.delete(platform);
    Files.delete(operator);
  }
}
