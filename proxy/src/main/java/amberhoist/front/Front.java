package amberhoist.front;

import java.nio.channels.AsynchronousSocketChannel;

/**
 * A protocol that clients speak to the proxy. What a front owes the core, and what the core owes it, stands in
 * {@code docs/design/fronts.md}.
 */
public interface Front {
  /** A connection has been accepted for this front; the front gives it a {@link ClientSide} and reads from it. */
  void accepted(AsynchronousSocketChannel channel);

  /**
   * The proxy ends. Clients that have not asked for anything yet, and those that are still accepted, are rejected and
   * told to wait so many microseconds: a request of theirs that is on its way then has its answer already.
   */
  void leave(long retryAfter);
}
