package amberhoist.log;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * An output stream that queues a bounded number of bytes and writes them on its own thread. Otherwise a reader of
 * standard error that stops reading would block the event loop on a full pipe. A write that does not fit into the queue
 * is dropped as a whole and counted; the number of drops is reported once there is room again.
 */
public final class BoundedOutputStream extends OutputStream {
  private final OutputStream target;
  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private final LongConsumer dropListener;
  private int maxQueuedBytes;
  private int queuedBytes;
  private boolean writing;
  private long droppedWrites;
  private long unreportedDrops;

  /**
   * Creates an output to this target.
   *
   * @param dropListener called on the writing thread with the number of writes dropped since the last call
   */
  public BoundedOutputStream(OutputStream target, int maxQueuedBytes, LongConsumer dropListener) {
    this.target = target;
    this.maxQueuedBytes = maxQueuedBytes;
    this.dropListener = dropListener;
    Thread writer = new Thread(null, this::writeLoop, "log", 1 << 18);
    writer.setDaemon(true);
    writer.start();
  }

  /** Sets the maximum number of queued bytes. */
  public synchronized void setMaxQueuedBytes(int maxBytes) {
    maxQueuedBytes = maxBytes;
  }

  /** The number of writes dropped so far. */
  public synchronized long droppedWrites() {
    return droppedWrites;
  }

  @Override
  public void write(int b) {
    write(new byte[] {(byte) b}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] from, int offset, int length) {
    if (queuedBytes + length > maxQueuedBytes) {
      droppedWrites++;
      unreportedDrops++;
      return;
    }
    byte[] copy = new byte[length];
    System.arraycopy(from, offset, copy, 0, length);
    queue.add(copy);
    queuedBytes += length;
    notifyAll();
  }

  private synchronized byte[] takeChunk() throws InterruptedException {
    while (queue.isEmpty()) {
      writing = false;
      notifyAll();
      wait();
    }
    writing = true;
    byte[] chunk = queue.remove();
    queuedBytes -= chunk.length;
    return chunk;
  }

  private synchronized long takeUnreportedDrops() {
    long count = queuedBytes <= maxQueuedBytes / 2 ? unreportedDrops : 0; // wait until there is room for the report
    unreportedDrops -= count;
    return count;
  }

  private void writeLoop() {
    try {
      while (true) {
        byte[] chunk = takeChunk();
        try {
          target.write(chunk);
          target.flush();
        } catch (IOException ignored) {
          // there is nowhere left to report it
        }
        long count = takeUnreportedDrops();
        if (count > 0) {
          dropListener.accept(count);
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the queue is written or the timeout expires; meant for the end of the process. */
  public synchronized void awaitWritten(long timeoutMillis) {
    long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
    try {
      for (long remainingMillis = timeoutMillis; (!queue.isEmpty() || writing) && remainingMillis > 0;
          remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000) {
        wait(remainingMillis);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
