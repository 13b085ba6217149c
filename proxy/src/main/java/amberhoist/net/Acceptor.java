package amberhoist.net;

import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/** Accepts connections for one front while file descriptors are available. */
public final class Acceptor {
  private static final long BACKLOG_GRACE_MICROS = 20_000; // time to accept the backlog before closing

  private final EventLoop loop;
  private final DescriptorBudget descriptorBudget;
  private final Counters counters;
  private final Consumer<AsynchronousSocketChannel> front;
  private SocketLimits limits;
  private AsynchronousServerSocketChannel server;
  private boolean paused; // no accept pending: the last one failed
  private boolean closing;

  private final CompletionHandler<AsynchronousSocketChannel, Void> acceptHandler = new CompletionHandler<>() {
    @Override
    public void completed(AsynchronousSocketChannel channel, Void none) {
      loop.run(() -> {
        counters.increment(Count.ACCEPTED);
        front.accept(channel);
        accept();
      });
    }

    @Override
    public void failed(Throwable fault, Void none) {
      if (server.isOpen()) {
        // Usually out of descriptors: accepting must resume later.
        loop.run(() -> {
          counters.increment(Count.ACCEPT_FAILED);
          paused = true;
          scheduleAccept();
        });
      }
    }
  };

  /** Creates an acceptor that passes accepted channels to a front. */
  public Acceptor(EventLoop loop, DescriptorBudget descriptorBudget, Counters counters, SocketLimits limits,
      Consumer<AsynchronousSocketChannel> front) {
    this.loop = loop;
    this.descriptorBudget = descriptorBudget;
    this.counters = counters;
    this.limits = limits;
    this.front = front;
  }

  /** Changes the limits; the backlog stays as it was. */
  public void limits(SocketLimits newLimits) {
    limits = newLimits;
  }

  /** Starts to listen and accept; if {@code shared}, other processes may listen on the same address. */
  public void listen(InetSocketAddress address, boolean shared) throws IOException {
    server = AsynchronousServerSocketChannel.open(loop.channelGroup());
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
    try {
      server.bind(address, limits.backlog());
    } catch (IOException fault) {
      throw new IOException("cannot listen for clients on " + address + ": " + fault.getMessage(), fault);
    }
    accept();
  }

  /** The address listened on. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) server.getLocalAddress();
  }

  /**
   * Leaves the address to another process that listens on it: accepts the whole backlog, even when descriptors run
   * short, and then closes. Connections still in the backlog at the close would be reset.
   */
  public void acceptBacklogAndClose() {
    closing = true;
    if (paused) {
      accept();
    }
    loop.timerWheel().arm(loop.now() + BACKLOG_GRACE_MICROS, now -> close());
  }

  private void accept() {
    if (!server.isOpen()) {
      return;
    }
    paused = false;
    if (!closing) {
      descriptorBudget.makeRoomForClient();
    }
    server.accept(null, acceptHandler);
  }

  private void scheduleAccept() {
    loop.timerWheel().arm(loop.now() + limits.acceptPauseMicros(), now -> {
      if (paused) {
        accept();
      }
    });
  }

  /** Stops accepting. */
  public void close() {
    try {
      server.close();
    } catch (IOException fault) {
      // the socket is unusable either way
    }
  }
}
