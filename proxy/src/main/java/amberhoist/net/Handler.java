package amberhoist.net;

/**
 * What becomes of the things that happen on a connection. A connection has one handler for life, which belongs
 * to the protocol spoken on it. All calls come on the loop's thread, one after the other.
 */
public interface Handler {
  /** Bytes have come; {@link Connection#line} takes them. What is left over stays for the next call. */
  void input(Connection c);

  /** The peer has ended its sending side; the connection is not being ended yet. */
  void inputEnded(Connection c);

  /** The connection broke or could not be made; it is not being ended yet. */
  void broken(Connection c);

  /** A connection that was being made now stands. */
  default void connected(Connection c) {}

  /** The connection is being ended or is closed: whatever is kept for it is free. It may be called twice. */
  default void released(Connection c) {}
}
