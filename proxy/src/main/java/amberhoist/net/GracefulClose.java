package amberhoist.net;

import amberhoist.net.option.UnsupportedOptions;
import java.io.IOException;

/** Ends connections of a {@link Transport} in order: what is queued is written before FIN or a reset is sent. */
final class GracefulClose {
  private static final int MAX_WAIT_LINGERS = 10;

  private final EventLoop loop;
  private final Transport transport;
  private final StallTimer stallTimer;

  GracefulClose(EventLoop loop, Transport transport) {
    this.loop = loop;
    this.transport = transport;
    stallTimer = new StallTimer(loop);
  }

  /** The maximum time in microseconds to wait for a peer that makes progress slowly. */
  private long maxWaitMicros() {
    return MAX_WAIT_LINGERS * transport.limits().lingerMicros();
  }

  /** Ends the sending side and discards input from now on. */
  void finish(Connection connection) {
    connection.finishing = true;
    if (connection.outputEnded) {
      awaitInputEnd(connection);
    } else {
      stallTimer.arm(connection, maxWaitMicros(), Long.MAX_VALUE, () -> connection.writtenBytes,
          () -> transport.closeNow(connection));
      transport.write(connection);
    }
    transport.read(connection);
  }

  /** Ends the sending side and goes on handling input; see {@link Transport#endOutput}. */
  void endOutput(Connection connection, long maxWaitMicros, Runnable onStalled) {
    connection.outputEnding = true;
    long end = loop.now() + Math.min(maxWaitMicros, maxWaitMicros());
    stallTimer.arm(connection, transport.limits().lingerMicros(), end, () -> halfClosedProgress(connection), onStalled);
    transport.write(connection);
    transport.read(connection);
  }

  /** A write has failed: calls {@code onStalled} if the end of the input does not follow soon. */
  void awaitEndAfterFailedWrite(Connection connection, Runnable onStalled) {
    stallTimer.arm(connection, transport.limits().lingerMicros() / 2, loop.now() + maxWaitMicros(),
        () -> transport.hasBackpressure(connection) ? loop.now() : connection.readBytes, onStalled);
  }

  /** While a slow reader on either side prevents FIN or reading, time itself counts as progress: nobody is stalled. */
  private long halfClosedProgress(Connection connection) {
    boolean isBlocked = !connection.outputEnded || transport.hasBackpressure(connection);
    return isBlocked ? loop.now() : connection.readBytes;
  }

  /** The queue of a connection has been written: sends FIN or a reset if the connection is being ended. */
  void onQueueWritten(Connection connection) {
    if (connection.resetWhenWritten) {
      resetOnceSent(connection);
    } else if ((connection.finishing || connection.outputEnding) && !connection.outputEnded) {
      sendFin(connection);
    }
  }

  private void resetOnceSent(Connection connection) {
    if (UnsupportedOptions.hasUnsentBytes(connection.channel)) {
      loop.timerWheel().arm(loop.now() + EventLoop.TICK_MICROS, now -> transport.write(connection));
    } else {
      transport.reset(connection);
    }
  }

  private void sendFin(Connection connection) {
    connection.outputEnded = true;
    try {
      connection.channel.shutdownOutput();
    } catch (IOException fault) {
      connection.fault = fault;
      transport.onBroken(connection);
      return;
    }
    if (connection.finishing) {
      awaitInputEnd(connection);
    }
  }

  /** Both sending sides must have ended before a close, or it may reset the connection over unread input. */
  private void awaitInputEnd(Connection connection) {
    if (connection.inputEnded) {
      transport.closeNow(connection);
    } else {
      connection.timer(
          loop.timerWheel().arm(loop.now() + connection.lingerMicros, now -> transport.closeNow(connection)));
    }
  }
}
