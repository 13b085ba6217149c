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
 * The table of connections, and what can be done to one: reading, writing its queue, ending it in good order or
 * by a reset. It knows no protocol; what comes is told to each connection's {@link Handler}. All of it runs on
 * the loop's thread.
 *
 * <p>Two connections that are joined hold each other up: while much waits to be written to one of them, the
 * other is not read from.
 */
public final class Transport {
  private final Loop loop;
  private final DescriptorBudget descriptors;
  private SocketLimits limits;
  private final SlotTable<Connection> connections = new SlotTable<>();

  private final CompletionHandler<Void, Long> connected = handler((c, none) -> {
    c.connected = true;
    c.handler.connected(c);
  }, this::broken);
  private final CompletionHandler<Integer, Long> read = handler((c, n) -> {
    c.reading = false;
    read(c, n);
  }, this::broken);
  private final CompletionHandler<Integer, Long> wrote = handler((c, n) -> {
    c.writing = false;
    c.queued -= n;
    write(c);
  }, this::unwritable);

  private interface Completed<V> {
    void on(Connection connection, V result);
  }

  /** A transport on this loop, whose descriptors this descriptors counts. */
  public Transport(Loop loop, DescriptorBudget descriptors, SocketLimits limits) {
    this.loop = loop;
    this.descriptors = descriptors;
    this.limits = limits;
  }

  /** Goes by other limits from now on; what is queued already stays. */
  public void limits(SocketLimits others) {
    limits = others;
  }

  /** A handler that finds its connection by number: a late completion finds none and changes nothing. */
  private <V> CompletionHandler<V, Long> handler(Completed<V> completed, Consumer<Connection> failed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(V result, Long number) {
        loop.run(() -> on(number, c -> completed.on(c, result)));
      }

      @Override
      public void failed(Throwable fault, Long number) {
        loop.run(() -> on(number, failed));
      }
    };
  }

  /** Takes in a connection that stands; the caller says what becomes of it, and then reads. */
  public Connection accepted(AsynchronousSocketChannel channel, Handler handler) {
    Connection c = new Connection(channel, Role.NEW, handler, limits.linger());
    c.number = connections.add(c);
    descriptors.arrived(c);
    c.connected = true;
    noDelay(c);
    return c;
  }

  /**
   * Begins a connection to a provider on behalf of a client's invocation.
   *
   * @throws IOException when no socket can be had
   */
  public Connection dial(InetSocketAddress address, long invocation, Connection client, Handler handler)
      throws IOException {
    Connection c = provider(handler);
    c.invocation = invocation;
    c.peer = client.number;
    return connect(c, address);
  }

  /**
   * Begins a connection to a provider that no client waits for.
   *
   * @throws IOException when no socket can be had
   */
  public Connection dial(InetSocketAddress address, Handler handler) throws IOException {
    return connect(provider(handler), address);
  }

  private Connection provider(Handler handler) throws IOException {
    AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group());
    Connection c = new Connection(channel, Role.PROVIDER, handler, limits.linger());
    c.number = connections.add(c);
    descriptors.taken(c);
    noDelay(c);
    return c;
  }

  private Connection connect(Connection c, InetSocketAddress address) throws IOException {
    try {
      c.channel.connect(address, c.number, connected);
    } catch (RuntimeException fault) {
      drop(c); // an address that no socket can be connected to
      throw new IOException(fault.toString(), fault);
    }
    return c;
  }

  private static void noDelay(Connection c) {
    try {
      c.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException gone) {
      // the first read or write will tell
    }
  }

  /** A new client has asked for a connection: from now on it counts as one that is served. */
  public void taken(Connection c) {
    c.role = Role.CLIENT;
    descriptors.taken(c);
  }

  /** The connection with this number, or null when it is closed. */
  public Connection get(long number) {
    return connections.get(number);
  }

  /** Does this to a connection, if it is still there. */
  public void on(long number, Consumer<Connection> action) {
    Connection c = connections.get(number);
    if (c != null) {
      action.accept(c);
    }
  }

  /** Does this to each connection that is for this and not being ended. */
  public void forEach(Role role, Consumer<Connection> action) {
    List<Connection> those = new ArrayList<>(); // the action may end them
    connections.forEach(number -> on(number, c -> {
      if (c.role == role && !c.finishing) {
        those.add(c);
      }
    }));
    those.forEach(action);
  }

  /** How many connections are held. */
  public int size() {
    return connections.size();
  }

  /** Whether this connection is still in the table. */
  public boolean holds(Connection c) {
    return connections.get(c.number) == c;
  }

  /** Joins client and provider: from now on each holds up the other, and their ends are each other's. */
  public void join(Connection client, Connection provider) {
    client.peer = provider.number;
    client.joined = true;
    provider.joined = true;
  }

  /** Reads on, unless that is going on, not wanted any more, or held up by the other side. */
  public void read(Connection c) {
    Connection peer = connections.get(c.peer);
    boolean held = c.joined && !c.finishing && peer != null && peer.queued > limits.queue();
    boolean wanted = c.discarded <= limits.discard();
    if (!c.reading && !c.inputEnded && !held && wanted && holds(c)) {
      c.reading = true;
      c.channel.read(c.in, c.number, read);
    }
  }

  private void read(Connection c, int bytes) {
    if (bytes < 0) {
      c.inputEnded = true;
      if (c.unwritable) {
        broken(c); // the write has taken the error that this read would have met
      } else if (!c.finishing) {
        c.handler.inputEnded(c);
      } else if (c.finished) {
        drop(c);
      }
      return;
    }
    if (c.role == Role.NEW) {
      descriptors.heard(c);
    }
    if (c.finishing) {
      c.in.clear(); // whatever still comes is of no interest
      c.scanned = 0;
      c.discarded += bytes;
    } else {
      c.handler.input(c);
    }
    read(c);
  }

  /** Queues bytes to be written; nothing is queued on a connection that is being ended. */
  public void send(Connection c, byte[] bytes) {
    if (!c.finishing && !c.unwritable) {
      c.queue.add(ByteBuffer.wrap(bytes));
      c.queued += bytes.length;
      write(c);
    }
  }

  /** The same, and runs this once all that is queued has been written. */
  public void send(Connection c, byte[] bytes, Runnable written) {
    c.written = written;
    send(c, bytes);
  }

  /** Writes on: a channel takes one write at a time. */
  private void write(Connection c) {
    while (!c.queue.isEmpty() && !c.queue.peek().hasRemaining()) {
      c.queue.remove();
    }
    if (c.writing || !c.connected || !holds(c)) {
      return;
    }
    if (!c.queue.isEmpty()) {
      c.writing = true;
      c.channel.write(c.queue.peek(), c.number, wrote);
    } else if (c.written != null) {
      Runnable then = c.written;
      c.written = null;
      then.run();
    } else if (c.finishing && !c.finished) {
      c.finished = true;
      endOutput(c);
    }
    Connection peer = connections.get(c.peer);
    if (peer != null && c.queued <= limits.queue()) {
      read(peer);
    }
  }

  private void endOutput(Connection c) {
    try {
      c.channel.shutdownOutput();
    } catch (IOException gone) {
      drop(c);
      return;
    }
    if (c.inputEnded) {
      drop(c);
    } else {
      c.timer(loop.wheel().arm(loop.now() + c.linger, at -> drop(c)));
    }
  }

  /** Ends a connection in good order: what is queued, then FIN; then it waits a little for the peer's end. */
  public void finish(Connection c) {
    if (c.unwritable) {
      drop(c); // nothing can be said to it any more
    } else if (!c.finishing && holds(c)) {
      c.finishing = true;
      descriptors.ends(c);
      c.handler.released(c);
      long patience = 2 * limits.linger(); // for a peer that takes nothing in
      c.timer(loop.wheel().arm(loop.now() + patience, at -> drop(c)));
      write(c);
      read(c);
    }
  }

  /** Closes a connection at once. */
  public void drop(Connection c) {
    if (holds(c)) {
      connections.remove(c.number);
      descriptors.left(c);
      c.handler.released(c);
      c.close();
    }
  }

  /** Ends a connection by a reset. */
  public void reset(Connection c) {
    Resets.arm(c.channel);
    drop(c);
  }

  /** The connection broke, could not be made, or brought what no peer may send. */
  public void broken(Connection c) {
    if (c.finishing) {
      drop(c); // it has been ended already; the other side must still get what is queued for it
    } else {
      c.handler.broken(c);
    }
  }

  /**
   * A write has failed. What the peer said before it went may still wait to be read, held up or just not seen yet: it
   * is read to its end first, and that end is the connection's.
   */
  private void unwritable(Connection c) {
    if (c.finishing || c.inputEnded) {
      broken(c);
      return;
    }
    c.unwritable = true;
    c.queue.clear();
    c.queued = 0;
    c.timer(loop.wheel().arm(loop.now() + limits.linger() / 2, at -> broken(c))); // whoever holds up its reading
    read(c);
    on(c.peer, this::read); // nothing holds the other side up any more
  }

  /** Closes all connections at once. */
  public void close() {
    connections.forEach(number -> on(number, this::drop));
  }
}
