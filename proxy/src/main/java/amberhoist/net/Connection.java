package amberhoist.net;

import amberhoist.core.SlotTable;
import amberhoist.core.Wheel.Timer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;

/** A socket with its state: a buffer of received bytes, split into lines, and a queue of bytes to be written. */
public final class Connection {
  /** The purpose of a connection. */
  public enum Role {
    /** From a client that has not sent its open request yet. */
    NEW,
    /** From a client whose invocation is pending, has an attempt in flight, or is established with a provider. */
    CLIENT,
    /** To a provider. */
    PROVIDER
  }

  private static final int INITIAL_BUFFER_BYTES = 512;

  final AsynchronousSocketChannel channel;
  final Handler handler;
  final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  long number;
  Role role;
  long invocation = SlotTable.NONE;
  long peer = SlotTable.NONE;
  Object attachment;
  ByteBuffer in = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
  int scanned; // bytes at the start of the buffer known to contain no line end
  int queued;
  int discarded; // bytes received after the final answer
  long linger;
  boolean connected;
  boolean reading;
  boolean writing;
  boolean unwritable; // a write has failed; input that the peer sent before is still read
  boolean joined;
  /** The queue is being flushed before the sending side is ended; further input is discarded. */
  boolean finishing;
  boolean finished; // FIN has been sent
  boolean inputEnded;
  Runnable written; // runs once the queue has been written; may be null
  Timer timer;

  Connection(AsynchronousSocketChannel channel, Role role, Handler handler, long linger) {
    this.channel = channel;
    this.role = role;
    this.handler = handler;
    this.linger = linger;
  }

  /** The id of this connection in the table of connections. */
  public long number() {
    return number;
  }

  /** The purpose of this connection. */
  public Role role() {
    return role;
  }

  /** The handler of the protocol spoken on this connection. */
  public Handler handler() {
    return handler;
  }

  /** The id of the invocation that this connection belongs to, or {@link SlotTable#NONE}. */
  public long invocation() {
    return invocation;
  }

  /** Sets the id of the invocation that this connection belongs to. */
  public void invocation(long newInvocationId) {
    invocation = newInvocationId;
  }

  /** The id of the connection that lines are relayed to, or {@link SlotTable#NONE}. */
  public long peer() {
    return peer;
  }

  /** Whether lines are relayed between this connection and its peer. */
  public boolean joined() {
    return joined;
  }

  /** Whether this connection is being ended, so that further input is discarded. */
  public boolean finishing() {
    return finishing;
  }

  /** The number of bytes received and not yet consumed. */
  public int pending() {
    return in.position();
  }

  /** The state that the protocol handler keeps for this connection, initially null. */
  public Object attachment() {
    return attachment;
  }

  /** Sets the state that the protocol handler keeps for this connection. */
  public void attach(Object newAttachment) {
    attachment = newAttachment;
  }

  /** Overrides how many microseconds to wait for the peer to end its side after FIN has been sent. */
  public void linger(long micros) {
    linger = micros;
  }

  /** Sets the timer of this connection and cancels the previous one; null only cancels. */
  public void timer(Timer newTimer) {
    if (timer != null) {
      timer.cancel();
    }
    timer = newTimer;
  }

  /**
   * Removes the next complete line from the input, line end included; null if there is none yet.
   *
   * @param maxLength the maximum length of a line in bytes, line end included
   * @throws IOException if a line is longer
   */
  public byte[] line(int maxLength) throws IOException {
    int end = in.position();
    for (int i = scanned; i < end; i++) {
      if (in.get(i) == '\n') {
        if (i >= maxLength) {
          throw new IOException("line exceeds the maximum length");
        }
        byte[] line = new byte[i + 1];
        in.flip().get(line);
        in.compact();
        scanned = 0;
        return line;
      }
    }
    scanned = end;
    if (end >= maxLength) {
      throw new IOException("line exceeds the maximum length");
    }
    if (!in.hasRemaining()) {
      ByteBuffer larger = ByteBuffer.allocate(Math.min(2 * in.capacity(), maxLength));
      in = larger.put(in.flip());
    }
    return null;
  }

  /** The remote address, for the log; looked up only when a log line is written. */
  @Override
  public String toString() {
    try {
      return String.valueOf(channel.getRemoteAddress());
    } catch (IOException fault) {
      return "disconnected";
    }
  }

  /** Closes the socket immediately. */
  void close() {
    if (timer != null) {
      timer.cancel();
    }
    try {
      channel.close();
    } catch (IOException fault) {
      // the socket is unusable either way
    }
  }
}
