package amberhoist.front;

import amberhoist.net.Connection;
import amberhoist.net.ConnectionHandler;

/** Handles a client's connection and sends it the core's answers in the client's protocol. */
public interface ClientHandler extends ConnectionHandler {
  /** Answers with a rejection and closes; a {@code retryAfterMicros} of 0 gives no retry-after. */
  void reject(Connection client, long retryAfterMicros);

  /** Answers that the invocation has failed, and closes. */
  void fail(Connection client);

  /**
   * Sends the client a request to move, between two lines, and closes both its connection and the provider's. Lines
   * that the provider has written come before it unless it is to happen at once.
   */
  void move(Connection client, boolean atOnce);
}
