package amberhoist.net;

import java.util.function.LongSupplier;

/** The timer of a connection for an operation that may take long but has to progress. */
final class StallTimer {
  private final EventLoop loop;

  StallTimer(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Sets the timer of a connection. It runs the action once the progress has not changed for a while.
   *
   * @param timeoutMicros for how long the progress must stay the same, in microseconds
   * @param end when the action runs whatever the progress, a time of the loop's clock in microseconds
   */
  void arm(Connection connection, long timeoutMicros, long end, LongSupplier progress, Runnable onStalled) {
    long before = progress.getAsLong();
    connection.timer(loop.timerWheel().arm(Math.min(end, loop.now() + timeoutMicros), now -> {
      if (progress.getAsLong() == before || now >= end) {
        onStalled.run();
      } else {
        arm(connection, timeoutMicros, end, progress, onStalled);
      }
    }));
  }
}
