package amberhoist.front;

import amberhoist.net.Connection;
import amberhoist.net.Handler;

/** The handler of a client's connection: how the core's answers are said in the client's protocol. */
public interface ClientSide extends Handler {
  /** The final answer is a rejection; {@code retryAfter} microseconds, 0 for no advice. */
  void reject(Connection client, long retryAfter);

  /** The final answer is that the invocation has failed. */
  void fail(Connection client);

  /** The client is told to move, between two messages, and both sides are ended. */
  void move(Connection client);
}
