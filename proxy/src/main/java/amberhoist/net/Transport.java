package amberhoist.net;

import amberhoist.core.SlotTable;
import amberhoist.net.Connection.Role;
import amberhoist.net.option.InterruptedCalls;
import amberhoist.net.option.UnsupportedOptions;
import amberhoist.relay.Relay;
import amberhoist.relay.Relay.Side;
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
 * reset. It knows no protocol and passes all events to the {@link ConnectionHandler} of the connection. Everything
 * runs on the event loop's thread.
 *
 * <p>Two connections that relay lines to each other exert backpressure: while too many bytes wait to be written to one
 * of them, the other is not read.
 */
public final class Transport {
  private final EventLoop loop;
  private final DescriptorBudget descriptorBudget;
  private final GracefulClose gracefulClose;
  private SocketLimits limits;
  private final Consumer<Relay> relayListener;
  private final SlotTable<Connection> connections = new SlotTable<>();

  private final CompletionHandler<Void, Long> connectHandler;
  private final CompletionHandler<Integer, Long> readHandler;
  private final CompletionHandler<Integer, Long> writeHandler;

  /**
   * Creates a transport on this event loop that accounts for its descriptors in this budget.
   *
   * @param relayListener receives each relay once both of its connections are closed
   */
  public Transport(EventLoop loop, DescriptorBudget descriptorBudget, SocketLimits limits,
      Consumer<Relay> relayListener) {
    this.relayListener = relayListener;
    this.loop = loop;
    gracefulClose = new GracefulClose(loop, this);
    this.descriptorBudget = descriptorBudget;
    this.limits = limits;
    Completions completions = new Completions(loop, connections);
    connectHandler = completions.handler((connection, none) -> {
      connection.connected = true;
      connection.handler.onConnected(connection);
    }, this::onBroken);
    readHandler = completions.handler((connection, bytes) -> {
      connection.reading = false;
      if (InterruptedCalls.isInterrupted(bytes)) {
        read(connection);
      } else {
        onRead(connection, bytes);
      }
    }, this::onBroken);
    writeHandler = completions.handler((connection, bytes) -> {
      connection.writing = false;
      if (!InterruptedCalls.isInterrupted(bytes)) {
        connection.queuedBytes -= bytes;
        connection.writtenBytes += bytes;
      }
      write(connection);
    }, this::onWriteFailed);
  }

  /** Changes the limits; bytes already queued stay queued. */
  public void limits(SocketLimits newLimits) {
    limits = newLimits;
  }

  SocketLimits limits() {
    return limits;
  }

  /** Registers an accepted connection; the caller sets it up and then starts reading. */
  public Connection registerAccepted(AsynchronousSocketChannel channel, ConnectionHandler handler) {
    Connection connection = new Connection(channel, Role.PENDING_CLIENT, handler, limits.lingerMicros());
    connection.id = connections.add(connection);
    descriptorBudget.onAccepted(connection);
    connection.connected = true;
    setNoDelay(connection);
    return connection;
  }

  /**
   * Starts to connect to a provider on behalf of a client's invocation.
   *
   * @throws IOException if no socket can be opened or connected
   */
  public Connection connect(InetSocketAddress address, long invocationId, Connection client, ConnectionHandler handler)
      throws IOException {
    Connection connection = openToProvider(handler);
    connection.invocationId = invocationId;
    connection.peerId = client.id;
    return startConnect(connection, address);
  }

  /**
   * Starts to connect to a provider for a connection that belongs to no client.
   *
   * @throws IOException if no socket can be opened or connected
   */
  public Connection connect(InetSocketAddress address, ConnectionHandler handler) throws IOException {
    return startConnect(openToProvider(handler), address);
  }

  private Connection openToProvider(ConnectionHandler handler) throws IOException {
    AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.channelGroup());
    Connection connection = new Connection(channel, Role.PROVIDER, handler, limits.lingerMicros());
    connection.id = connections.add(connection);
    descriptorBudget.onAssigned(connection);
    setNoDelay(connection);
    return connection;
  }

  private Connection startConnect(Connection connection, InetSocketAddress address) throws IOException {
    try {
      connection.channel.connect(address, connection.id, connectHandler);
    } catch (RuntimeException fault) {
      closeNow(connection); // the address is invalid for a connect
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
  public void markAsClient(Connection connection) {
    connection.role = Role.CLIENT;
    descriptorBudget.onAssigned(connection);
  }

  /** The connection with this id, or null if it is closed. */
  public Connection get(long id) {
    return connections.get(id);
  }

  /** Runs the action on the connection with this id; does nothing if it is closed. */
  public void ifPresent(long id, Consumer<Connection> action) {
    Connection connection = connections.get(id);
    if (connection != null) {
      action.accept(connection);
    }
  }

  /** Runs the action on each connection of this role that is not being ended. */
  public void forEach(Role role, Consumer<Connection> action) {
    List<Connection> matching = new ArrayList<>(); // a copy, since the action may remove connections
    connections.forEach(id -> ifPresent(id, connection -> {
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
  public boolean contains(Connection connection) {
    return connections.get(connection.id) == connection;
  }

  /** Starts to relay lines between client and provider; backpressure applies, and when one ends, the other does too. */
  public void relay(Connection client, Connection provider) {
    client.peerId = provider.id;
    client.relay = new Relay(client.invocationId);
    provider.relay = client.relay;
  }

  /** Starts a read unless one is in progress, input is no longer wanted, or the peer's queue exerts backpressure. */
  public void read(Connection connection) {
    boolean inputWanted = connection.discardedBytes <= limits.maxDiscardedBytes();
    if (!connection.reading && !connection.inputEnded && inputWanted
        && !hasBackpressure(connection) && contains(connection)) {
      connection.reading = true;
      connection.channel.read(connection.inputBuffer, connection.id, readHandler);
    }
  }

  /** Whether a connection is not read because too many bytes wait to be written to its peer. */
  public boolean hasBackpressure(Connection connection) {
    Connection peer = connections.get(connection.peerId);
    return connection.relaying() && !connection.finishing && peer != null
        && peer.queuedBytes > limits.maxQueuedBytes();
  }

  private void onRead(Connection connection, int bytes) {
    if (bytes < 0) {
      connection.inputEnded = true;
      if (connection.writeFailed && !connection.hasFinPrecededFault()) {
        onBroken(connection); // the failed write has consumed the socket error that this read would have reported
      } else if (!connection.finishing) {
        connection.handler.onInputEnded(connection);
      } else if (connection.outputEnded) {
        closeNow(connection);
      }
      return;
    }
    connection.readBytes += bytes;
    if (connection.role == Role.PENDING_CLIENT) {
      descriptorBudget.onInput(connection);
    }
    if (connection.finishing) {
      connection.inputBuffer.clear(); // input after the final answer is discarded
      connection.scannedBytes = 0;
      connection.discardedBytes += bytes;
      addUndelivered(connection, connection.side().other(), bytes);
    } else {
      connection.handler.onInput(connection);
    }
    read(connection);
  }

  /** Queues bytes to be written; ignored on a connection that is being ended or cannot be written. */
  public void send(Connection connection, byte[] bytes) {
    if (!connection.finishing && !connection.outputEnding && !connection.writeFailed) {
      connection.outputQueue.add(ByteBuffer.wrap(bytes));
      connection.queuedBytes += bytes.length;
      write(connection);
    } else {
      addUndelivered(connection, connection.side(), bytes.length);
    }
  }

  private static void addUndelivered(Connection connection, Side receiver, long bytes) {
    if (connection.relay != null) {
      connection.relay.addUndelivered(receiver, bytes);
    }
  }

  /** Queues bytes to be written, and runs {@code onWritten} once the queue has been written. */
  public void send(Connection connection, byte[] bytes, Runnable onWritten) {
    connection.onWritten = onWritten;
    send(connection, bytes);
  }

  /** Continues to write the queue; a channel allows one write at a time. */
  void write(Connection connection) {
    while (!connection.outputQueue.isEmpty() && !connection.outputQueue.peek().hasRemaining()) {
      connection.outputQueue.remove();
    }
    if (connection.writing || !connection.connected || !contains(connection)) {
      return;
    }
    if (!connection.outputQueue.isEmpty()) {
      connection.writing = true;
      connection.channel.write(connection.outputQueue.peek(), connection.id, writeHandler);
    } else if (connection.onWritten != null) {
      Runnable callback = connection.onWritten;
      connection.onWritten = null;
      callback.run();
    } else {
      gracefulClose.onQueueWritten(connection);
    }
    Connection peer = connections.get(connection.peerId);
    if (peer != null && connection.queuedBytes <= limits.maxQueuedBytes()) {
      read(peer);
    }
  }

  /**
   * Ends the sending side only: writes the queue and sends FIN, and goes on handling input until the peer ends. Lines
   * sent from then on are ignored.
   *
   * @param maxWaitMicros how long the peer may take to end, at most ten times the linger time
   * @param onStalled called if the peer has not ended by then, or has sent nothing for the linger time
   */
  public void endOutput(Connection connection, long maxWaitMicros, Runnable onStalled) {
    if (!connection.finishing && !connection.outputEnding && contains(connection)) {
      gracefulClose.endOutput(connection, maxWaitMicros, onStalled);
    }
  }

  /** Closes a connection gracefully: writes the queue, sends FIN, then waits briefly for the peer to end its side. */
  public void finish(Connection connection) {
    if (connection.writeFailed) {
      closeNow(connection); // nothing can be written any more
    } else if (!connection.finishing && contains(connection)) {
      descriptorBudget.onFinishing(connection);
      connection.handler.onReleased(connection);
      gracefulClose.finish(connection);
    }
  }

  /** Closes a connection immediately, discarding its queue. */
  public void closeNow(Connection connection) {
    if (contains(connection)) {
      connections.remove(connection.id);
      descriptorBudget.onClosed(connection);
      connection.handler.onReleased(connection);
      addUndelivered(connection, connection.side(), connection.queuedBytes);
      connection.close();
      if (connection.relay != null && connection.relay.onClosed()) {
        relayListener.accept(connection.relay);
      }
    }
  }

  /** Closes a connection immediately by a reset. */
  public void reset(Connection connection) {
    UnsupportedOptions.resetOnClose(connection.channel);
    closeNow(connection);
  }

  /** Resets a connection once its queue is written and sent; discards its input meanwhile. */
  public void resetAfterWriting(Connection connection) {
    connection.resetWhenWritten = true;
    finish(connection);
  }

  /** Handles a connection that broke, could not be established, or received invalid input. */
  public void onBroken(Connection connection) {
    if (connection.finishing) {
      closeNow(connection); // already being ended; the queue of its peer must still be written
    } else {
      connection.handler.onBroken(connection);
    }
  }

  /**
   * Handles a failed write. Lines that the peer sent before it closed may still be unread, so the input is read to its
   * end first, and the connection ends with it.
   */
  private void onWriteFailed(Connection connection) {
    if (connection.finishing || connection.inputEnded) {
      onBroken(connection);
      return;
    }
    connection.writeFailed = true;
    addUndelivered(connection, connection.side(), connection.queuedBytes);
    connection.outputQueue.clear();
    connection.queuedBytes = 0;
    gracefulClose.awaitEndAfterFailedWrite(connection, () -> onBroken(connection));
    read(connection);
    ifPresent(connection.peerId, this::read); // the queue is empty, so backpressure ends
  }

  /** Closes all connections immediately. */
  public void closeAll() {
    connections.forEach(id -> ifPresent(id, this::closeNow));
  }
}
