package amberhoist.admin;

import amberhoist.config.AdminAddress;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Latencies.Span;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;

/**
 * Serves {@code GET /status} (JSON), {@code GET /metrics} (Prometheus text format) and {@code GET /config} (effective
 * keys) on a loopback address or a Unix-domain socket. It handles one connection after the other on its own thread, and
 * implements the subset of HTTP/1.1 (RFC 9112) that is needed for one request per connection, with timeouts.
 */
public final class AdminSocket implements AutoCloseable {
  /** The data that is served. Implementations are thread-safe. */
  public interface Source {
    /** A snapshot of the instance. */
    Status status();

    /** Copies of the latency histograms. */
    Map<Span, ? extends AbstractHistogram> latencies();

    /** The effective configuration keys as text. */
    String config();
  }

  private static final int MAX_HEAD_BYTES = 8192;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ServerSocketChannel server;
  private final SocketAddress address;
  private final Duration timeout;
  private final Source source;
  private final EventLog log;
  private final ScheduledExecutorService watchdog = Executors.newSingleThreadScheduledExecutor(
      task -> daemon(task, "admin-watchdog"));

  /**
   * Takes the address; requests wait until {@link #start} is called.
   *
   * @throws IOException if it cannot listen on the address, for example because another process does
   */
  public AdminSocket(SocketAddress address, Duration timeout, Source source, EventLog log) throws IOException {
    this.timeout = timeout;
    this.source = source;
    this.log = log;
    removeStale(address);
    server = ServerSocketChannel.open(AdminAddress.protocolFamily(address));
    try {
      server.bind(address, 16);
    } catch (IOException fault) {
      server.close();
      throw new IOException("cannot listen for status requests on " + address + ": " + fault.getMessage(), fault);
    }
    this.address = server.getLocalAddress();
  }

  /** Starts to serve requests. */
  public void start() {
    daemon(this::serve, "admin").start();
    log.log(Event.ADMIN_LISTENS, "the admin socket listens", "address", address);
  }

  /** Deletes a socket file that a killed process left behind, but not one that another process listens on. */
  private static void removeStale(SocketAddress address) throws IOException {
    if (address instanceof UnixDomainSocketAddress unix && Files.exists(unix.getPath())) {
      try {
        SocketChannel.open(unix).close();
        throw new IOException("another process listens on " + unix);
      } catch (java.net.ConnectException refused) {
        Files.delete(unix.getPath());
      }
    }
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 1 << 18);
    thread.setDaemon(true);
    return thread;
  }

  /** The address that the admin socket listens on. */
  public SocketAddress address() {
    return address;
  }

  private void serve() {
    while (server.isOpen()) {
      try (SocketChannel client = server.accept()) {
        String requestLine = withTimeout(client, () -> readRequestLine(client));
        Response response = respond(requestLine);
        withTimeout(client, () -> send(client, response));
      } catch (IOException | RuntimeException fault) {
        if (server.isOpen()) {
          log.log(Event.ADMIN_FAILED, "cannot answer a request", "why", fault);
        }
      }
    }
  }

  /** A part of an exchange that waits for nothing but the client. */
  private interface IoStep<T> {
    T run() throws IOException;
  }

  /**
   * Runs a step and closes the connection if it takes longer than the timeout. Composing a response is not part of any
   * step, since the client is not to blame for the time that it takes.
   */
  private <T> T withTimeout(SocketChannel client, IoStep<T> step) throws IOException {
    ScheduledFuture<?> timeoutTask =
        watchdog.schedule(() -> closeQuietly(client), timeout.toMillis(), TimeUnit.MILLISECONDS);
    try {
      return step.run();
    } finally {
      timeoutTask.cancel(false);
    }
  }

  private static void closeQuietly(SocketChannel client) {
    try {
      client.close();
    } catch (IOException ignored) {
      // closed all the same
    }
  }

  private record Response(String status, String type, byte[] body) {}

  private Response respond(String requestLine) throws IOException {
    String[] words = requestLine.split(" ", 3);
    if (words.length < 2 || !words[0].equals("GET")) {
      return new Response("405 Method Not Allowed", "text/plain", bytes("use GET /status, /metrics or /config\n"));
    }
    return switch (words[1]) {
      case "/status" -> new Response("200 OK", "application/json",
          JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(source.status()));
      case "/metrics" -> new Response("200 OK", "text/plain; version=0.0.4; charset=utf-8",
          Exposition.write(source.status(), source.latencies()));
      case "/config" -> new Response("200 OK", "text/plain; charset=utf-8", bytes(source.config()));
      default -> new Response("404 Not Found", "text/plain", bytes("not found: use /status, /metrics or /config\n"));
    };
  }

  /** Reads the whole head and returns its request line. */
  private static String readRequestLine(SocketChannel client) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_HEAD_BYTES);
    while (true) {
      if (client.read(buffer) < 0) {
        throw new IOException("the request ended early");
      }
      String text = new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1);
      if (text.contains("\r\n\r\n") || text.contains("\n\n")) {
        return text.lines().findFirst().orElse("");
      }
      if (!buffer.hasRemaining()) {
        throw new IOException("the request head is longer than " + MAX_HEAD_BYTES + " bytes");
      }
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Void send(SocketChannel client, Response response) throws IOException {
    ByteBuffer head = ByteBuffer.wrap(bytes("HTTP/1.1 " + response.status + "\r\nContent-Type: " + response.type
        + "\r\nContent-Length: " + response.body.length + "\r\nConnection: close\r\n\r\n"));
    ByteBuffer rest = ByteBuffer.wrap(response.body);
    while (head.hasRemaining() || rest.hasRemaining()) {
      client.write(new ByteBuffer[] {head, rest});
    }
    return null;
  }

  @Override
  public void close() {
    watchdog.shutdownNow();
    try {
      server.close();
      if (address instanceof UnixDomainSocketAddress unix) {
        Files.deleteIfExists(unix.getPath());
      }
    } catch (IOException ignored) {
      // the socket is closed all the same
    }
  }
}
