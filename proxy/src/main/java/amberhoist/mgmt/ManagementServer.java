package amberhoist.mgmt;

import amberhoist.net.option.InterruptedCalls;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The HTTP server of the management API. It has its own address and thread and uses asynchronous I/O, so that no
 * request waits for another one or for the proxy's clients. The number and duration of its connections are limited.
 */
public final class ManagementServer implements AutoCloseable {
  /** The maximum number of connections at once; above it the oldest is closed. */
  static final int MAX_CONNECTIONS = 24;
  /** The maximum number of descriptors: the connections, the listener, and the group's poller with its wake-up pair. */
  public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 5;

  private static final long REQUEST_TIMEOUT_MILLIS = 6_000; // for a whole request; legitimate clients may take seconds
  private static final long LINGER_TIMEOUT_MILLIS = 1_000; // for a write, and for the client to close its side
  private static final int MAX_BODY_BYTES = 1 << 20; // read and discarded

  /** A connection from a client of the management API. */
  private final class Client {
    final AsynchronousSocketChannel channel;
    final RequestParser parser = new RequestParser();
    final ByteBuffer in = ByteBuffer.allocate(1024);
    final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MILLIS);
    ByteBuffer out;
    int discardedBytes;

    Client(AsynchronousSocketChannel channel) {
      this.channel = channel;
    }

    long remainingMillis() {
      return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }
  }

  private interface IoStep {
    void onCompleted(Client client, int bytes) throws IOException;
  }

  private final Routes routes;
  private final Consumer<Throwable> failureListener;
  private final AsynchronousChannelGroup group;
  private final AsynchronousServerSocketChannel server;
  private final Set<Client> clients = new LinkedHashSet<>(); // in order of arrival; guarded by itself
  private final CompletionHandler<Integer, Client> readHandler = handler(this::onRead);
  private final CompletionHandler<Integer, Client> writeHandler = handler(this::onWritten);
  private final CompletionHandler<Integer, Client> drainHandler = handler(this::onDrained);

  private final CompletionHandler<AsynchronousSocketChannel, Void> acceptHandler = new CompletionHandler<>() {
    @Override
    public void completed(AsynchronousSocketChannel channel, Void none) {
      onAccepted(new Client(channel));
      accept();
    }

    @Override
    public void failed(Throwable fault, Void none) {
      if (server.isOpen()) {
        failureListener.accept(fault);
        disconnectOldest(); // usually out of descriptors: closing a connection frees one
        accept();
      }
    }
  };

  /**
   * Takes the address; callers wait until {@link #start} is called.
   *
   * @param failureListener called on the server's thread when a connection cannot be accepted
   * @throws IOException if it cannot listen on the address
   */
  public ManagementServer(InetSocketAddress listen, Routes routes, Consumer<Throwable> failureListener)
      throws IOException {
    this.routes = routes;
    this.failureListener = failureListener;
    group = AsynchronousChannelGroup.withFixedThreadPool(1, task -> {
      Thread thread = new Thread(null, task, "management", 1 << 18);
      thread.setDaemon(true);
      return thread;
    });
    try {
      server = AsynchronousServerSocketChannel.open(group);
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(listen, 2 * MAX_CONNECTIONS);
    } catch (IOException | RuntimeException fault) {
      group.shutdownNow();
      throw new IOException("cannot listen for management requests on " + listen + ": " + fault.getMessage(), fault);
    }
  }

  /** Starts to accept and answer requests. */
  public void start() {
    accept();
  }

  /** The address that the server listens on. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) server.getLocalAddress();
  }

  private void accept() {
    if (server.isOpen()) {
      server.accept(null, acceptHandler);
    }
  }

  private CompletionHandler<Integer, Client> handler(IoStep step) {
    return new CompletionHandler<>() {
      @Override
      public void completed(Integer bytes, Client client) {
        try {
          step.onCompleted(client, bytes);
        } catch (IOException | RuntimeException fault) {
          disconnect(client);
        }
      }

      @Override
      public void failed(Throwable failure, Client client) {
        disconnect(client); // timed out, or the connection broke
      }
    };
  }

  private void onAccepted(Client client) {
    synchronized (clients) {
      clients.add(client);
    }
    if (clientCount() > MAX_CONNECTIONS) {
      disconnectOldest();
    }
    read(client);
  }

  private int clientCount() {
    synchronized (clients) {
      return clients.size();
    }
  }

  private void disconnectOldest() {
    Client oldest;
    synchronized (clients) {
      Iterator<Client> all = clients.iterator();
      oldest = all.hasNext() ? all.next() : null;
    }
    if (oldest != null) {
      disconnect(oldest);
    }
  }

  private void disconnect(Client client) {
    synchronized (clients) {
      clients.remove(client);
    }
    try {
      client.channel.close();
    } catch (IOException ignored) {
      // closed all the same
    }
  }

  private void read(Client client) {
    client.in.clear();
    client.channel.read(client.in, client.remainingMillis(), TimeUnit.MILLISECONDS, client, readHandler);
  }

  private void onRead(Client client, int bytes) {
    if (InterruptedCalls.isInterrupted(bytes)) {
      read(client);
      return;
    }
    if (bytes < 0) {
      client.parser.onEndOfInput();
    } else {
      client.parser.feed(client.in.flip());
    }
    if (!client.parser.isDone()) {
      read(client);
      return;
    }
    client.discardedBytes = client.in.remaining();
    if (client.parser.errorResponse() != null) {
      respond(client, client.parser.errorResponse());
    } else {
      routes.handle(client.parser.request()).whenComplete((response, fault) -> respond(client, fault == null ? response
          : ManagementResponse.error(503, "Service Unavailable", String.valueOf(fault.getMessage()))));
    }
  }

  private void respond(Client client, ManagementResponse response) {
    client.out = ByteBuffer.wrap(response.encode());
    write(client);
  }

  private void write(Client client) {
    client.channel.write(client.out, LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, client, writeHandler);
  }

  private void onWritten(Client client, int bytes) throws IOException {
    if (client.out.hasRemaining()) {
      write(client);
      return;
    }
    client.channel.shutdownOutput();
    drain(client); // closing with unread data would reset the connection and lose the response
  }

  private void drain(Client client) {
    client.in.clear();
    client.channel.read(client.in, LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, client, drainHandler);
  }

  private void onDrained(Client client, int bytes) {
    client.discardedBytes += Math.max(0, bytes);
    boolean isEnded = bytes < 0 && !InterruptedCalls.isInterrupted(bytes);
    if (isEnded || client.discardedBytes > MAX_BODY_BYTES || client.deadlineNanos - System.nanoTime() < 0) {
      disconnect(client);
    } else {
      drain(client);
    }
  }

  @Override
  public void close() {
    try {
      group.shutdownNow();
    } catch (IOException fault) {
      failureListener.accept(fault);
    }
  }
}
