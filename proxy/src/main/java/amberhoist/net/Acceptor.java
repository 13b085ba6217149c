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

/** Accepts connections for one front, as far as there are descriptors for them. */
public final class Acceptor {
  private static final long LAST_ACCEPTS = 20_000; // what waits is taken in within some ticks

  private final Loop loop;
  private final DescriptorBudget descriptors;
  private final Counters counters;
  private final Consumer<AsynchronousSocketChannel> front;
  private SocketLimits limits;
  private AsynchronousServerSocketChannel server;
  private boolean paused; // connections wait, for want of descriptors
  private boolean leaving;

  private final CompletionHandler<AsynchronousSocketChannel, Void> accepted = new CompletionHandler<>() {
    @Override
    public void completed(AsynchronousSocketChannel channel, Void none) {
      loop.run(() -> {
        counters.add(Count.ACCEPTED);
        front.accept(channel);
        accept();
      });
    }

    @Override
    public void failed(Throwable fault, Void none) {
      if (server.isOpen()) {
        // Out of descriptors, mostly: the loop of accepts must outlive that.
        loop.run(() -> {
          counters.add(Count.ACCEPT_FAILED);
          paused = true;
          acceptLater();
        });
      }
    }
  };

  /** An acceptor that hands what it accepts to a front. */
  public Acceptor(Loop loop, DescriptorBudget descriptors, Counters counters, SocketLimits limits,
      Consumer<AsynchronousSocketChannel> front) {
    this.loop = loop;
    this.descriptors = descriptors;
    this.counters = counters;
    this.limits = limits;
    this.front = front;
  }

  /** Goes by other limits from now on; the backlog stays. */
  public void limits(SocketLimits others) {
    limits = others;
  }

  /** Listens, and accepts from now on; where it is shared, other processes may listen on the same address. */
  public void open(InetSocketAddress listen, boolean shared) throws IOException {
    server = AsynchronousServerSocketChannel.open(loop.group());
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
    try {
      server.bind(listen, limits.backlog());
    } catch (IOException fault) {
      throw new IOException("cannot listen for clients on " + listen + ": " + fault.getMessage(), fault);
    }
    accept();
  }

  /** The address that is listened on. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) server.getLocalAddress();
  }

  /**
   * Leaves the address to another process that listens there: takes in all that waits, also where descriptors run
   * short, and then closes. Whatever still waited at the close would be reset.
   */
  public void leave() {
    leaving = true;
    if (paused) {
      accept();
    }
    loop.wheel().arm(loop.now() + LAST_ACCEPTS, at -> close());
  }

  private void accept() {
    if (!server.isOpen()) {
      return;
    }
    paused = !leaving && !descriptors.room(1);
    if (!paused) {
      server.accept(null, accepted);
    } else {
      acceptLater(); // better off waiting in the backlog than cut off for want of descriptors
    }
  }

  private void acceptLater() {
    loop.wheel().arm(loop.now() + limits.acceptPause(), at -> {
      if (paused) {
        accept();
      }
    });
  }

  /** Stops accepting. */
  public void close() {
    try {
      server.close();
    } catch (IOException closed) {
      // nothing listens any more either way
    }
  }
}
