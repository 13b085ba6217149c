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
      connection.timer(
          loop.timerWheel().arm(loop.now() + 2 * transport.limits().lingerMicros(), now -> transport.closeNow(connection)));
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

  /** A slow reader on the other side keeps this connection from being read, so its progress counts as well. */
  private long halfClosedProgress(Connection connection) {
    Connection peer = transport.get(connection.peerId);
    return connection.readBytes + connection.writtenBytes + (peer == null ? 0 : peer.writtenBytes);
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
