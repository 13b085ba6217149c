package amberhoist.net;

import amberhoist.core.SlotTable;
import amberhoist.net.Connection.Role;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The table of connections and the operations on them: reading, writing queued bytes, closing gracefully or by a
 * reset. It knows no protocol and passes all events to the {@link Handler} of the connection. Everything
 * runs on the event loop's thread.
 *
 * <p>Two connections that relay lines to each other exert backpressure: while too many bytes wait to be written to one
 * of them, the other is not read.
 */
public final class Transport {
  private final Loop loop;
  private final DescriptorBudget descriptors;
  private SocketLimits limits;
  private final SlotTable<Connection> connections = new SlotTable<>();

  private final CompletionHandler<Void, Long> connectHandler = completion((connection, none) -> {
    connection.connected = true;
    connection.handler.connected(connection);
  }, this::broken);
  private final CompletionHandler<Integer, Long> readHandler = completion((connection, bytes) -> {
    connection.reading = false;
    onRead(connection, bytes);
  }, this::broken);
  private final CompletionHandler<Integer, Long> writeHandler = completion((connection, bytes) -> {
    connection.writing = false;
    connection.queued -= bytes;
    write(connection);
  }, this::onWriteFailed);

  private interface Completion<V> {
    void complete(Connection connection, V result);
  }

  /** Creates a transport on this event loop that accounts for its descriptors in this budget. */
  public Transport(Loop loop, DescriptorBudget descriptors, SocketLimits limits) {
    this.loop = loop;
    this.descriptors = descriptors;
    this.limits = limits;
  }

  /** Changes the limits; bytes already queued stay queued. */
  public void limits(SocketLimits newLimits) {
    limits = newLimits;
  }

  /** A completion handler that looks its connection up by id, so that completions after its close are ignored. */
  private <V> CompletionHandler<V, Long> completion(Completion<V> onCompleted, Consumer<Connection> onFailed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(V result, Long id) {
        loop.run(() -> on(id, connection -> onCompleted.complete(connection, result)));
      }

      @Override
      public void failed(Throwable fault, Long id) {
        loop.run(() -> on(id, onFailed));
      }
    };
  }

  /** Registers an accepted connection; the caller sets it up and then starts reading. */
  public Connection accepted(AsynchronousSocketChannel channel, Handler handler) {
    Connection connection = new Connection(channel, Role.NEW, handler, limits.linger());
    connection.number = connections.add(connection);
    descriptors.arrived(connection);
    connection.connected = true;
    setNoDelay(connection);
    return connection;
  }

  /**
   * Starts to connect to a provider on behalf of a client's invocation.
   *
   * @throws IOException if no socket can be opened or connected
   */
  public Connection dial(InetSocketAddress address, long invocation, Connection client, Handler handler)
      throws IOException {
    Connection connection = openToProvider(handler);
    connection.invocation = invocation;
    connection.peer = client.number;
    return startConnect(connection, address);
  }

  /**
   * Starts to connect to a provider for a connection that belongs to no client.
   *
   * @throws IOException if no socket can be opened or connected
   */
  public Connection dial(InetSocketAddress address, Handler handler) throws IOException {
    return startConnect(openToProvider(handler), address);
  }

  private Connection openToProvider(Handler handler) throws IOException {
    AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group());
    Connection connection = new Connection(channel, Role.PROVIDER, handler, limits.linger());
    connection.number = connections.add(connection);
    descriptors.taken(connection);
    setNoDelay(connection);
    return connection;
  }

  private Connection startConnect(Connection connection, InetSocketAddress address) throws IOException {
    try {
      connection.channel.connect(address, connection.number, connectHandler);
    } catch (RuntimeException fault) {
      drop(connection); // the address is invalid for a connect
      throw new IOException(fault.toString(), fault);
    }
    return connection;
  }

  private static void setNoDelay(Connection connection) {
    try {
      connection.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException fault) {
      // the first read or write will fail and report it
    }
  }

  /** Marks a connection as that of a client that has sent its open request, and counts it as served. */
  public void taken(Connection connection) {
    connection.role = Role.CLIENT;
    descriptors.taken(connection);
  }

  /** The connection with this id, or null if it is closed. */
  public Connection get(long id) {
    return connections.get(id);
  }

  /** Runs the action on the connection with this id; does nothing if it is closed. */
  public void on(long id, Consumer<Connection> action) {
    Connection connection = connections.get(id);
    if (connection != null) {
      action.accept(connection);
    }
  }

  /** Runs the action on each connection of this role that is not being ended. */
  public void forEach(Role role, Consumer<Connection> action) {
    List<Connection> matching = new ArrayList<>(); // a copy, since the action may remove connections
    connections.forEach(id -> on(id, connection -> {
      if (connection.role == role && !connection.finishing) {
        matching.add(connection);
      }
    }));
    matching.forEach(action);
  }

  /** The number of open connections. */
  public int size() {
    return connections.size();
  }

  /** Whether this connection is still open. */
  public boolean holds(Connection connection) {
    return connections.get(connection.number) == connection;
  }

  /** Starts to relay lines between client and provider; backpressure applies, and when one ends, the other does too. */
  public void join(Connection client, Connection provider) {
    client.peer = provider.number;
    client.joined = true;
    provider.joined = true;
  }

  /** Starts a read unless one is in progress, input is no longer wanted, or the peer's queue exerts backpressure. */
  public void read(Connection connection) {
    Connection peer = connections.get(connection.peer);
    boolean backpressure = connection.joined && !connection.finishing
        && peer != null && peer.queued > limits.queue();
    boolean inputWanted = connection.discarded <= limits.discard();
    if (!connection.reading && !connection.inputEnded && !backpressure && inputWanted && holds(connection)) {
      connection.reading = true;
      connection.channel.read(connection.in, connection.number, readHandler);
    }
  }

  private void onRead(Connection connection, int bytes) {
    if (bytes < 0) {
      connection.inputEnded = true;
      if (connection.unwritable) {
        broken(connection); // the failed write has consumed the socket error that this read would have reported
      } else if (!connection.finishing) {
        connection.handler.inputEnded(connection);
      } else if (connection.finished) {
        drop(connection);
      }
      return;
    }
    if (connection.role == Role.NEW) {
      descriptors.heard(connection);
    }
    if (connection.finishing) {
      connection.in.clear(); // input after the final answer is discarded
      connection.scanned = 0;
      connection.discarded += bytes;
    } else {
      connection.handler.input(connection);
    }
    read(connection);
  }

  /** Queues bytes to be written; ignored on a connection that is being ended or cannot be written. */
  public void send(Connection connection, byte[] bytes) {
    if (!connection.finishing && !connection.unwritable) {
      connection.queue.add(ByteBuffer.wrap(bytes));
      connection.queued += bytes.length;
      write(connection);
    }
  }

  /** Queues bytes to be written, and runs {@code onWritten} once the queue has been written. */
  public void send(Connection connection, byte[] bytes, Runnable onWritten) {
    connection.written = onWritten;
    send(connection, bytes);
  }

  /** Continues to write the queue; a channel allows one write at a time. */
  private void write(Connection connection) {
    while (!connection.queue.isEmpty() && !connection.queue.peek().hasRemaining()) {
      connection.queue.remove();
    }
    if (connection.writing || !connection.connected || !holds(connection)) {
      return;
    }
    if (!connection.queue.isEmpty()) {
      connection.writing = true;
      connection.channel.write(connection.queue.peek(), connection.number, writeHandler);
    } else if (connection.written != null) {
      Runnable callback = connection.written;
      connection.written = null;
      callback.run();
    } else if (connection.finishing && !connection.finished) {
      connection.finished = true;
      endOutput(connection);
    }
    Connection peer = connections.get(connection.peer);
    if (peer != null && connection.queued <= limits.queue()) {
      read(peer);
    }
  }

  private void endOutput(Connection connection) {
    try {
      connection.channel.shutdownOutput();
    } catch (IOException fault) {
      drop(connection);
      return;
    }
    if (connection.inputEnded) {
      drop(connection);
    } else {
      connection.timer(loop.wheel().arm(loop.now() + connection.linger, now -> drop(connection)));
    }
  }

  /** Closes a connection gracefully: writes the queue, sends FIN, then waits briefly for the peer to end its side. */
  public void finish(Connection connection) {
    if (connection.unwritable) {
      drop(connection); // nothing can be written any more
    } else if (!connection.finishing && holds(connection)) {
      connection.finishing = true;
      descriptors.ends(connection);
      connection.handler.released(connection);
      long timeoutMicros = 2 * limits.linger(); // for a peer that does not read
      connection.timer(loop.wheel().arm(loop.now() + timeoutMicros, now -> drop(connection)));
      write(connection);
      read(connection);
    }
  }

  /** Closes a connection immediately, discarding its queue. */
  public void drop(Connection connection) {
    if (holds(connection)) {
      connections.remove(connection.number);
      descriptors.left(connection);
      connection.handler.released(connection);
      connection.close();
    }
  }

  /** Closes a connection immediately by a reset. */
  public void reset(Connection connection) {
    Resets.arm(connection.channel);
    drop(connection);
  }

  /** Handles a connection that broke, could not be established, or received invalid input. */
  public void broken(Connection connection) {
    if (connection.finishing) {
      drop(connection); // already being ended; the queue of its peer must still be written
    } else {
      connection.handler.broken(connection);
    }
  }

  /**
   * Handles a failed write. Lines that the peer sent before it closed may still be unread, so the input is read to its
   * end first, and the connection ends with it.
   */
  private void onWriteFailed(Connection connection) {
    if (connection.finishing || connection.inputEnded) {
      broken(connection);
      return;
    }
    connection.unwritable = true;
    connection.queue.clear();
    connection.queued = 0;
    // the timer ends the connection even if backpressure prevents reading
    connection.timer(loop.wheel().arm(loop.now() + limits.linger() / 2, now -> broken(connection)));
    read(connection);
    on(connection.peer, this::read); // the queue is empty, so backpressure ends
  }

  /** Closes all connections immediately. */
  public void close() {
    connections.forEach(id -> on(id, this::drop));
  }
}
