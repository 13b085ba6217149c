package amberhoist.mgmt;

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
 * The operators' door: takes calls at an address of its own, on a thread of its own, so that no caller waits behind
 * another or behind the clients. Callers are bounded in number and time.
 */
public final class ManagementServer implements AutoCloseable {
  /** Callers at once; above that the one that has been here longest goes. */
  static final int CALLERS = 24;
  /** What the door holds at most: its callers, the listener, and the group's poller with its wake-up pair. */
  public static final int DESCRIPTORS = CALLERS + 5;

  private static final long PATIENCE = 6_000; // ms for a whole call: some dawdle for seconds and mean it
  private static final long LINGER = 1_000; // ms for the caller to end its side
  private static final int BODY_MOST = 1 << 20; // read and ignored

  /** A connection from an operator. */
  private final class Caller {
    final AsynchronousSocketChannel channel;
    final CallParser parser = new CallParser();
    final ByteBuffer in = ByteBuffer.allocate(1024);
    final long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE);
    ByteBuffer out;
    int ignored;

    Caller(AsynchronousSocketChannel channel) {
      this.channel = channel;
    }

    long left() {
      return Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime()));
    }
  }

  private interface Step {
    void on(Caller caller, int bytes) throws IOException;
  }

  private final Routes routes;
  private final Consumer<Throwable> faults;
  private final AsynchronousChannelGroup group;
  private final AsynchronousServerSocketChannel server;
  private final Set<Caller> callers = new LinkedHashSet<>(); // guarded by itself, oldest first
  private final CompletionHandler<Integer, Caller> asked = handler(this::asked);
  private final CompletionHandler<Integer, Caller> answered = handler(this::answered);
  private final CompletionHandler<Integer, Caller> drained = handler(this::drained);

  private final CompletionHandler<AsynchronousSocketChannel, Void> accepted = new CompletionHandler<>() {
    @Override
    public void completed(AsynchronousSocketChannel channel, Void none) {
      arrive(new Caller(channel));
      accept();
    }

    @Override
    public void failed(Throwable fault, Void none) {
      if (server.isOpen()) {
        faults.accept(fault);
        leaveOldest(); // out of descriptors, mostly: one caller less is one more
        accept();
      }
    }
  };

  /** Listens there, and answers by these routes from now on; {@code faults} is told what goes wrong meanwhile. */
  public ManagementServer(InetSocketAddress listen, Routes routes, Consumer<Throwable> faults) throws IOException {
    this.routes = routes;
    this.faults = faults;
    group = AsynchronousChannelGroup.withFixedThreadPool(1, task -> {
      Thread thread = new Thread(null, task, "door", 1 << 18);
      thread.setDaemon(true);
      return thread;
    });
    try {
      server = AsynchronousServerSocketChannel.open(group);
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(listen, 2 * CALLERS);
    } catch (IOException | RuntimeException fault) {
      group.shutdownNow();
      throw new IOException("cannot listen for operators on " + listen + ": " + fault.getMessage(), fault);
    }
    accept();
  }

  /** The address that is listened on. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) server.getLocalAddress();
  }

  private void accept() {
    if (server.isOpen()) {
      server.accept(null, accepted);
    }
  }

  private CompletionHandler<Integer, Caller> handler(Step step) {
    return new CompletionHandler<>() {
      @Override
      public void completed(Integer bytes, Caller caller) {
        try {
          step.on(caller, bytes);
        } catch (IOException | RuntimeException fault) {
          leave(caller);
        }
      }

      @Override
      public void failed(Throwable gone, Caller caller) {
        leave(caller); // the time is up, or the connection is gone
      }
    };
  }

  private void arrive(Caller caller) {
    synchronized (callers) {
      callers.add(caller);
    }
    if (count() > CALLERS) {
      leaveOldest();
    }
    read(caller);
  }

  private int count() {
    synchronized (callers) {
      return callers.size();
    }
  }

  private void leaveOldest() {
    Caller oldest;
    synchronized (callers) {
      Iterator<Caller> all = callers.iterator();
      oldest = all.hasNext() ? all.next() : null;
    }
    if (oldest != null) {
      leave(oldest);
    }
  }

  private void leave(Caller caller) {
    synchronized (callers) {
      callers.remove(caller);
    }
    try {
      caller.channel.close();
    } catch (IOException gone) {
      // it is closed either way
    }
  }

  private void read(Caller caller) {
    caller.in.clear();
    caller.channel.read(caller.in, caller.left(), TimeUnit.MILLISECONDS, caller, asked);
  }

  private void asked(Caller caller, int bytes) {
    if (bytes < 0) {
      caller.parser.ended();
    } else {
      caller.parser.take(caller.in.flip());
    }
    if (!caller.parser.done()) {
      read(caller);
      return;
    }
    caller.ignored = caller.in.remaining();
    if (caller.parser.fault() != null) {
      say(caller, caller.parser.fault());
    } else {
      routes.answer(caller.parser.call()).whenComplete((answer, fault) -> say(caller, fault == null ? answer
          : Answer.no(503, "Service Unavailable", String.valueOf(fault.getMessage()))));
    }
  }

  private void say(Caller caller, Answer answer) {
    caller.out = ByteBuffer.wrap(answer.bytes());
    write(caller);
  }

  private void write(Caller caller) {
    caller.channel.write(caller.out, LINGER, TimeUnit.MILLISECONDS, caller, answered);
  }

  private void answered(Caller caller, int bytes) throws IOException {
    if (caller.out.hasRemaining()) {
      write(caller);
      return;
    }
    caller.channel.shutdownOutput();
    drain(caller); // closed with a body unread, the connection would be reset and the answer with it
  }

  private void drain(Caller caller) {
    caller.in.clear();
    caller.channel.read(caller.in, LINGER, TimeUnit.MILLISECONDS, caller, drained);
  }

  private void drained(Caller caller, int bytes) {
    caller.ignored += Math.max(0, bytes);
    if (bytes < 0 || caller.ignored > BODY_MOST || caller.until - System.nanoTime() < 0) {
      leave(caller);
    } else {
      drain(caller);
    }
  }

  @Override
  public void close() {
    try {
      group.shutdownNow();
    } catch (IOException gone) {
      faults.accept(gone);
    }
  }
}
