package amberhoist.net;

import amberhoist.core.SlotTable;
import amberhoist.core.TimerWheel.Timer;
import amberhoist.relay.Relay;
import amberhoist.relay.Relay.Side;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;

/** A socket with its state: a buffer of received bytes, split into lines, and a queue of bytes to be written. */
public final class Connection {
  /** The purpose of a connection. */
  public enum Role {
    /** From a client that has not sent its open request yet. */
    PENDING_CLIENT,
    /** From a client whose invocation is pending, has an attempt in flight, or is established with a provider. */
    CLIENT,
    /** To a provider. */
    PROVIDER
  }

  private static final String BROKEN_PIPE = "Broken pipe";
  private static final int INITIAL_BUFFER_BYTES = 512;

  final AsynchronousSocketChannel channel;
  final ConnectionHandler handler;
  final ArrayDeque<ByteBuffer> outputQueue = new ArrayDeque<>();
  long id;
  Role role;
  long invocationId = SlotTable.NONE;
  long peerId = SlotTable.NONE;
  Object attachment;
  ByteBuffer inputBuffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
  int scannedBytes; // bytes at the start of the buffer known to contain no line end
  int queuedBytes;
  int discardedBytes; // bytes received after the final answer
  long lingerMicros;
  boolean connected;
  boolean reading;
  boolean writing;
  boolean writeFailed; // a write has failed; input that the peer sent before is still read
  Relay relay; // null before lines are relayed
  /** The queue is being flushed before the sending side is ended; further input is discarded. */
  boolean finishing;
  /** The queue is being written before FIN is sent; input is still handled. */
  boolean outputEnding;
  boolean outputEnded; // FIN has been sent
  boolean inputEnded;
  boolean resetWhenWritten; // ends by a reset instead of FIN once the queue is written
  long readBytes;
  long writtenBytes;
  Throwable fault; // of the last operation that failed; null if none has
  Runnable onWritten; // runs once the queue has been written; may be null
  Timer timer;

  Connection(AsynchronousSocketChannel channel, Role role, ConnectionHandler handler, long lingerMicros) {
    this.channel = channel;
    this.role = role;
    this.handler = handler;
    this.lingerMicros = lingerMicros;
  }

  /** The id of this connection in the table of connections. */
  public long id() {
    return id;
  }

  /** The purpose of this connection. */
  public Role role() {
    return role;
  }

  /** The side of a relay that this connection stands on. */
  Side side() {
    return role == Role.PROVIDER ? Side.PROVIDER : Side.CLIENT;
  }

  /** The handler of the protocol spoken on this connection. */
  public ConnectionHandler handler() {
    return handler;
  }

  /** The id of the invocation that this connection belongs to, or {@link SlotTable#NONE}. */
  public long invocationId() {
    return invocationId;
  }

  /** Sets the id of the invocation that this connection belongs to. */
  public void invocationId(long newInvocationId) {
    invocationId = newInvocationId;
  }

  /** The id of the connection that lines are relayed to, or {@link SlotTable#NONE}. */
  public long peerId() {
    return peerId;
  }

  /** Whether lines are relayed between this connection and its peer. */
  public boolean relaying() {
    return relay != null;
  }

  /** The relay that this connection belongs to, null before lines are relayed. */
  public Relay relay() {
    return relay;
  }

  /**
   * Whether the peer had sent FIN before the write that failed: Linux then reports EPIPE, for which Java has only the
   * text, and otherwise ECONNRESET.
   */
  boolean hasFinPrecededFault() {
    return faultText().equals(BROKEN_PIPE);
  }

  /** The fault that broke this connection, in a few words; empty if there is none. */
  public String faultText() {
    return fault == null ? "" : String.valueOf(fault.getMessage());
  }

  /** Whether this connection is being ended, so that further input is discarded. */
  public boolean finishing() {
    return finishing;
  }

  /** The number of bytes received and not yet consumed. */
  public int bufferedBytes() {
    return inputBuffer.position();
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
  public void lingerMicros(long micros) {
    lingerMicros = micros;
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
  public byte[] pollLine(int maxLength) throws IOException {
    int end = inputBuffer.position();
    for (int i = scannedBytes; i < end; i++) {
      if (inputBuffer.get(i) == '\n') {
        if (i >= maxLength) {
          throw new IOException("line exceeds the maximum length");
        }
        byte[] line = new byte[i + 1];
        inputBuffer.flip().get(line);
        inputBuffer.compact();
        scannedBytes = 0;
        return line;
      }
    }
    scannedBytes = end;
    if (end >= maxLength) {
      throw new IOException("line exceeds the maximum length");
    }
    if (!inputBuffer.hasRemaining()) {
      ByteBuffer larger = ByteBuffer.allocate(Math.min(2 * inputBuffer.capacity(), maxLength));
      inputBuffer = larger.put(inputBuffer.flip());
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
