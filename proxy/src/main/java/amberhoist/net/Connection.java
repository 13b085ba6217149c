package amberhoist.net;

import amberhoist.core.SlotTable;
import amberhoist.core.Wheel.Timer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;

/** A socket with its state: the lines it brings, and a bounded queue of what is to be written to it. */
public final class Connection {
  /** What a connection is for. */
  public enum Role {
    /** From a client that has not asked for anything yet. */
    NEW,
    /** From a client whose invocation is held or called, or joined to a provider. */
    CLIENT,
    /** To a provider. */
    PROVIDER
  }

  private static final int FIRST_BUFFER = 512;

  final AsynchronousSocketChannel channel;
  final Handler handler;
  final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  long number;
  Role role;
  long invocation = SlotTable.NONE;
  long peer = SlotTable.NONE;
  Object attachment;
  ByteBuffer in = ByteBuffer.allocate(FIRST_BUFFER);
  int scanned; // bytes of the buffer known to hold no line end
  int queued;
  int discarded; // bytes that came after its answer
  long linger;
  boolean connected;
  boolean reading;
  boolean writing;
  boolean unwritable; // a write has failed: what the peer has said until then is still read
  boolean joined;
  /** The queue is to be written out and the sending side ended; nothing more is taken in. */
  boolean finishing;
  boolean finished; // the sending side has been ended
  boolean inputEnded;
  Runnable written; // runs when the queue has been written out
  Timer timer;

  Connection(AsynchronousSocketChannel channel, Role role, Handler handler, long linger) {
    this.channel = channel;
    this.role = role;
    this.handler = handler;
    this.linger = linger;
  }

  /** Its number in the table of connections. */
  public long number() {
    return number;
  }

  /** What it is for. */
  public Role role() {
    return role;
  }

  /** Its handler, which the front or the provider side gave it. */
  public Handler handler() {
    return handler;
  }

  /** The invocation it belongs to, or {@link SlotTable#NONE}. */
  public long invocation() {
    return invocation;
  }

  /** Names the invocation it belongs to. */
  public void invocation(long theInvocation) {
    invocation = theInvocation;
  }

  /** The number of the connection at the other side, or {@link SlotTable#NONE}. */
  public long peer() {
    return peer;
  }

  /** Whether lines pass between it and its peer. */
  public boolean joined() {
    return joined;
  }

  /** Whether it is being ended: nothing more is taken from it. */
  public boolean finishing() {
    return finishing;
  }

  /** How many bytes have come that nobody has taken. */
  public int pending() {
    return in.position();
  }

  /** What its protocol keeps for it, null at first. */
  public Object attachment() {
    return attachment;
  }

  /** Keeps this for its protocol. */
  public void attach(Object theAttachment) {
    attachment = theAttachment;
  }

  /** Waits so many microseconds for the peer's end once ours is sent, in place of the usual time. */
  public void linger(long micros) {
    linger = micros;
  }

  /** Sets the timer of the connection, in place of the one it had. */
  public void timer(Timer theTimer) {
    if (timer != null) {
      timer.cancel();
    }
    timer = theTimer;
  }

  /**
   * The next whole line of the input, its end included, or null.
   *
   * @param longest the longest line that the protocol allows, its end included
   * @throws IOException when a line is longer
   */
  public byte[] line(int longest) throws IOException {
    int end = in.position();
    for (int i = scanned; i < end; i++) {
      if (in.get(i) == '\n') {
        if (i >= longest) {
          throw new IOException("overlong line");
        }
        byte[] line = new byte[i + 1];
        in.flip().get(line);
        in.compact();
        scanned = 0;
        return line;
      }
    }
    scanned = end;
    if (end >= longest) {
      throw new IOException("overlong line");
    }
    if (!in.hasRemaining()) {
      ByteBuffer larger = ByteBuffer.allocate(Math.min(2 * in.capacity(), longest));
      in = larger.put(in.flip());
    }
    return null;
  }

  /** The address of the other end, for the log; made only when a line of it is written. */
  @Override
  public String toString() {
    try {
      return String.valueOf(channel.getRemoteAddress());
    } catch (IOException gone) {
      return "gone";
    }
  }

  /** Closes the socket at once. */
  void close() {
    if (timer != null) {
      timer.cancel();
    }
    try {
      channel.close();
    } catch (IOException gone) {
      // a socket that cannot be closed any more is as good as closed
    }
  }
}
