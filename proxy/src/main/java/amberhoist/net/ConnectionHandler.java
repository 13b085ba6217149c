package amberhoist.net;

/**
 * Handles the events of a connection. A connection keeps one handler for its lifetime, which implements the protocol
 * spoken on it. All methods are called on the event loop's thread.
 */
public interface ConnectionHandler {
  /** Bytes have been received; {@link Connection#pollLine} consumes them. The rest is kept for the next call. */
  void onInput(Connection connection);

  /** The peer has ended its sending side; not called for a connection that is being ended. */
  void onInputEnded(Connection connection);

  /** The connection broke or could not be established; not called for a connection that is being ended. */
  void onBroken(Connection connection);

  /** An outgoing connection is now connected. */
  default void onConnected(Connection connection) {}

  /** The connection is being ended or has been closed: releases the resources kept for it. May be called twice. */
  default void onReleased(Connection connection) {}
}
