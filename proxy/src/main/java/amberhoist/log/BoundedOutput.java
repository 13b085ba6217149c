package amberhoist.log;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * Writes on a thread of its own what it is given, and holds only so many bytes that wait. Guards against a reader
 * of standard error that stops reading: a pipe then blocks whoever writes to it, and that must not be the loop.
 * What does not fit is dropped whole and counted, and told once there is room again.
 */
public final class BoundedOutput extends OutputStream {
  private final OutputStream target;
  private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
  private final LongConsumer tell;
  private int most;
  private int bytes;
  private boolean writing;
  private long dropped;
  private long untold;

  /** An output to this target; {@code tell} is run on the writing thread with the number of writes dropped. */
  public BoundedOutput(OutputStream target, int most, LongConsumer tell) {
    this.target = target;
    this.most = most;
    this.tell = tell;
    Thread writer = new Thread(null, this::drain, "log", 1 << 18);
    writer.setDaemon(true);
    writer.start();
  }

  /** Holds so many bytes at most from now on. */
  public synchronized void limit(int bytesMost) {
    most = bytesMost;
  }

  /** How many writes have been dropped so far. */
  public synchronized long dropped() {
    return dropped;
  }

  @Override
  public void write(int b) {
    write(new byte[] {(byte) b}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] from, int offset, int length) {
    if (bytes + length > most) {
      dropped++;
      untold++;
      return;
    }
    byte[] copy = new byte[length];
    System.arraycopy(from, offset, copy, 0, length);
    waiting.add(copy);
    bytes += length;
    notifyAll();
  }

  private synchronized byte[] next() throws InterruptedException {
    while (waiting.isEmpty()) {
      writing = false;
      notifyAll();
      wait();
    }
    writing = true;
    byte[] chunk = waiting.remove();
    bytes -= chunk.length;
    return chunk;
  }

  private synchronized long takeUntold() {
    long count = bytes <= most / 2 ? untold : 0; // only once there is room to tell it
    untold -= count;
    return count;
  }

  private void drain() {
    try {
      while (true) {
        byte[] chunk = next();
        try {
          target.write(chunk);
          target.flush();
        } catch (IOException closed) {
          // nobody can be told that nobody listens
        }
        long count = takeUntold();
        if (count > 0) {
          tell.accept(count);
        }
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until all is written, for so many milliseconds at most; for the end of the process. */
  public synchronized void await(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    try {
      for (long left = millis; (!waiting.isEmpty() || writing) && left > 0;
          left = (end - System.nanoTime()) / 1_000_000) {
        wait(left);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
