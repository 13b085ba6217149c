package amberhoist.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A read or write that a signal interrupts must be repeated; a read was taken for the end of the connection. */
@Timeout(30)
class InterruptedCallsTest {
  private static final byte[] LINE = "line\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** A channel whose first read and first write are interrupted as the JDK reports it. */
  private static final class InterruptedChannel extends AsynchronousSocketChannel {
    private static final int INTERRUPTED = -3;
    private final CompletableFuture<String> written = new CompletableFuture<>();
    private int reads;
    private int writes;

    InterruptedChannel() {
      super(null);
    }

    @Override
    public <A> void read(ByteBuffer to, long timeout, TimeUnit unit, A id,
        CompletionHandler<Integer, ? super A> handler) {
      reads++;
      if (reads == 1) {
        handler.completed(INTERRUPTED, id);
      } else if (reads == 2) {
        to.put(LINE);
        handler.completed(LINE.length, id);
      }
    }

    @Override
    public <A> void write(ByteBuffer from, long timeout, TimeUnit unit, A id,
        CompletionHandler<Integer, ? super A> handler) {
      writes++;
      if (writes == 1) {
        handler.completed(INTERRUPTED, id);
        return;
      }
      byte[] bytes = new byte[from.remaining()];
      from.get(bytes);
      written.complete(new String(bytes, StandardCharsets.ISO_8859_1));
      handler.completed(bytes.length, id);
    }

    @Override
    public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value) {
      return this;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {}

    @Override
    public AsynchronousSocketChannel bind(SocketAddress local) {
      throw new UnsupportedOperationException();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return Set.of();
    }

    @Override
    public AsynchronousSocketChannel shutdownInput() {
      return this;
    }

    @Override
    public AsynchronousSocketChannel shutdownOutput() {
      return this;
    }

    @Override
    public SocketAddress getRemoteAddress() {
      return null;
    }

    @Override
    public SocketAddress getLocalAddress() {
      return null;
    }

    @Override
    public <A> void connect(SocketAddress remote, A id, CompletionHandler<Void, ? super A> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Future<Void> connect(SocketAddress remote) {
      throw new UnsupportedOperationException();
    }

    @Override
    public <A> void read(ByteBuffer[] to, int offset, int length, long timeout, TimeUnit unit, A id,
        CompletionHandler<Long, ? super A> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Future<Integer> read(ByteBuffer to) {
      throw new UnsupportedOperationException();
    }

    @Override
    public <A> void write(ByteBuffer[] from, int offset, int length, long timeout, TimeUnit unit, A id,
        CompletionHandler<Long, ? super A> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Future<Integer> write(ByteBuffer from) {
      throw new UnsupportedOperationException();
    }
  }

  /** Answers a line with the same line. */
  private static final class Echo implements ConnectionHandler {
    private final CompletableFuture<String> ended = new CompletableFuture<>();
    private Transport transport;

    @Override
    public void onInput(Connection connection) {
      try {
        transport.send(connection, connection.pollLine(LINE.length));
      } catch (java.io.IOException tooLong) {
        throw new AssertionError(tooLong);
      }
    }

    @Override
    public void onInputEnded(Connection connection) {
      ended.complete("FIN");
    }

    @Override
    public void onBroken(Connection connection) {
      ended.complete("broken");
    }
  }

  @Test
  void repeatsAnInterruptedReadAndAnInterruptedWrite() throws Exception {
    EventLoop loop = new EventLoop(fault -> { }, lag -> { });
    try {
      Echo echo = new Echo();
      echo.transport = new Transport(loop, new DescriptorBudget(connection -> { }), SocketLimits.DEFAULT, relay -> { });
      InterruptedChannel channel = new InterruptedChannel();
      CompletableFuture<Connection> registered = new CompletableFuture<>();
      loop.post(() -> {
        Connection connection = echo.transport.registerAccepted(channel, echo);
        registered.complete(connection);
        echo.transport.read(connection);
      });
      Object first = CompletableFuture.anyOf(channel.written, echo.ended).get();
      assertEquals("line\r\n", first, "what the peer is written, or the end of the connection");
      CompletableFuture<Integer> queued = new CompletableFuture<>();
      loop.post(() -> queued.complete(registered.join().queuedBytes));
      assertEquals(0, queued.get());
      assertNull(echo.ended.getNow(null));
    } finally {
      loop.close();
    }
  }
}
