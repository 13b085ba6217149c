package amberhoist.net;

import amberhoist.core.SlotTable;
import amberhoist.core.Wheel.Timer;
import amberhoist.front.line.Opening;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;

/** A socket with its state: the lines it brings, and a bounded queue of what is to be written to it. */
final class Connection {
  /** What a connection is for. */
  enum Role {
    /** From a client; its first line has not come. */
    NEW,
    /** From a client whose invocation is held or called, or joined to a provider. */
    CLIENT,
    /** To a provider. */
    PROVIDER
  }

  /** Above this the other side is not read from: back-pressure. */
  static final int QUEUE_MOST = 4 * Opening.LONGEST;
  private static final int FIRST_BUFFER = 512;

  final AsynchronousSocketChannel channel;
  final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  long number;
  Role role;
  long invocation = SlotTable.NONE;
  long peer = SlotTable.NONE;
  Opening opening;
  ByteBuffer in = ByteBuffer.allocate(FIRST_BUFFER);
  int scanned; // bytes of the buffer known to hold no line end
  int queued;
  int pings;
  int discarded; // bytes that came after its answer
  long linger = Proxy.LINGER;
  boolean connected;
  boolean reading;
  boolean writing;
  boolean joined;
  /** The queue is to be written out and the sending side ended; nothing more is taken in. */
  boolean finishing;
  boolean finished; // the sending side has been ended
  boolean inputEnded;
  /** How the provider said that the connection ends, null until it did. */
  amberhoist.decide.Balancer.Outcome farewell;
  Runnable written; // runs when the queue has been written out
  Timer timer;

  Connection(AsynchronousSocketChannel channel, Role role) {
    this.channel = channel;
    this.role = role;
  }

  /**
   * The next whole line of the input, its end included, or null.
   *
   * @throws IOException when a line is longer than the protocol allows
   */
  byte[] line() throws IOException {
    int end = in.position();
    for (int i = scanned; i < end; i++) {
      if (in.get(i) == '\n') {
        if (i >= Opening.LONGEST) {
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
    if (end >= Opening.LONGEST) {
      throw new IOException("overlong line");
    }
    if (!in.hasRemaining()) {
      ByteBuffer larger = ByteBuffer.allocate(Math.min(2 * in.capacity(), Opening.LONGEST));
      in = larger.put(in.flip());
    }
    return null;
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
