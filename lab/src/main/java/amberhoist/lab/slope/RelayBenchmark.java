package amberhoist.lab.slope;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A proxy process with a given number of established connections. All clients and the provider run on one thread of
 * this process. Clients send lines, and the provider echoes them.
 */
final class RelayBenchmark implements AutoCloseable {
  private static final int LINE_BYTES = 64;
  private static final int MAX_IN_FLIGHT = 200; // connections or lines in flight
  private static final long TIMEOUT_NANOS = 60_000_000_000L;
  private static final double TICKS_PER_SECOND = 100; // unit of processor time in /proc on Linux

  private final Selector selector = Selector.open();
  private final ServerSocketChannel provider = ServerSocketChannel.open();
  private final List<SocketChannel> clients = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(1 << 16);
  private final Path platformFile = Files.createTempFile("relay", ".json");
  private final Process process;
  private final InetSocketAddress proxy;
  private long receivedBytes; // by clients

  RelayBenchmark(int connections) throws IOException {
    provider.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 4096);
    provider.configureBlocking(false);
    provider.register(selector, SelectionKey.OP_ACCEPT);
    Files.writeString(platformFile,
        platformJson(((InetSocketAddress) provider.getLocalAddress()).getPort(), connections));
    process = startProxy();
    proxy = awaitProxyAddress();
  }

  private static String platformJson(int port, int connections) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"limits\":{"
        + "\"cores\":1.0,\"memory_mb\":4096,\"sockets\":" + (4 * connections + 1024) + "},\"known\":{\"index\":0,"
        + "\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"here\","
        + "\"type\":\"t\",\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}]},\"settings\":{\"zone\":"
        + "\"here\",\"slot-no\":0,\"balancers\":1,\"discovery\":\"subscribe\",\"lanes\":[{\"name\":\"c\",\"effect\":"
        + "\"pure\",\"key-scope\":\"all\",\"aim\":9000000,\"give-up\":20000000,\"gain\":1.0}],\"family-info\":{"
        + "\"mode\":\"proxy\",\"groups\":false,\"message-aim\":[100000]},\"limits\":{\"dial-timeout\":9000000,"
        + "\"max-attempts\":3,"
        + "\"retry-after\":true,\"max-retry-after\":1500000},\"rules\":{\"ask-within\":10000000,\"cold\":0,"
        + "\"cold-share\":1.0,\"fall\":1000000,\"overload-factor\":4.0}}}";
  }

  private Process startProxy() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xms8m", "-Xmx2g", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "--add-opens",
        "java.base/sun.nio.ch=ALL-UNNAMED", "-cp", System.getProperty("java.class.path"), "amberhoist.cli.Main",
        "serve", "--listen", "127.0.0.1:0", "--directory", "127.0.0.1:1", "--set", "silence.alone=6s", "--set",
        "silence.together=6s"); // a pause of this process must not make the provider silent
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_") || name.startsWith("AMBERHOIST_"));
    builder.environment().put("LB_CONFIG", platformFile.toString());
    return builder.start();
  }

  private InetSocketAddress awaitProxyAddress() throws IOException {
    BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains("serves on ")) {
        Thread logReader = new Thread(() -> log.lines().forEach(more -> { }));
        logReader.setDaemon(true);
        logReader.start();
        int port = Integer.parseInt(line.replaceAll(".*address=/127\\.0\\.0\\.1:([0-9]+).*", "$1"));
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      }
    }
    throw new IOException("the proxy exited during start-up");
  }

  /** Opens connections until there are {@code connections}, and returns when all of them are established. */
  void openConnections(int connections) throws IOException {
    int answerBytes = "UP r\r\n".length();
    while (clients.size() < connections) {
      for (int i = Math.min(MAX_IN_FLIGHT, connections - clients.size()); i > 0; i--) {
        SocketChannel client = SocketChannel.open(proxy);
        clients.add(client);
        client.write(bytes("OPEN " + clients.size() + " k" + clients.size() + " c=c,t=t,d=20000\r\n"));
        client.configureBlocking(false);
        client.register(selector, SelectionKey.OP_READ, this);
      }
      awaitReceived((long) clients.size() * answerBytes);
    }
  }

  /** Sends {@code count} lines, over all connections in turn, and returns when all of them are echoed. */
  void echoLines(int count) throws IOException {
    byte[] line = ("x".repeat(LINE_BYTES - 2) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    long receivedBefore = receivedBytes;
    for (int i = 0; i < count; i++) {
      clients.get(i % clients.size()).write(ByteBuffer.wrap(line));
      if (i % MAX_IN_FLIGHT == MAX_IN_FLIGHT - 1) {
        awaitReceived(receivedBefore + (long) (i + 1) * LINE_BYTES);
      }
    }
    awaitReceived(receivedBefore + (long) count * LINE_BYTES);
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void awaitReceived(long bytes) throws IOException {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    while (receivedBytes < bytes) {
      selector.select(key -> {
        try {
          onReady(key);
        } catch (IOException fault) {
          throw new UncheckedIOException(fault);
        }
      }, 1000);
      if (System.nanoTime() > deadline || !process.isAlive()) {
        throw new IOException(receivedBytes + " of " + bytes + " bytes received");
      }
    }
  }

  private void onReady(SelectionKey key) throws IOException {
    if (key.isAcceptable()) {
      for (SocketChannel next = provider.accept(); next != null; next = provider.accept()) {
        next.configureBlocking(false);
        next.register(selector, SelectionKey.OP_READ);
      }
      return;
    }
    SocketChannel channel = (SocketChannel) key.channel();
    buffer.clear();
    int length = channel.read(buffer);
    if (length < 0) {
      throw new IOException("connection closed by the proxy");
    }
    if (key.attachment() == this) {
      receivedBytes += length;
    } else {
      boolean isOpenRequest = buffer.get(0) == 'O';
      buffer.flip();
      channel.write(isOpenRequest ? bytes("UP r\r\n") : buffer);
    }
  }

  /** Resident memory of the proxy process, in KB. */
  long residentKb() throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
  }

  /** Processor time of the proxy process so far, in microseconds. */
  double processorMicros() throws IOException {
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1e6 / TICKS_PER_SECOND;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
    Files.deleteIfExists(platformFile);
  }
}
