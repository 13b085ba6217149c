package amberhoist.front;

import java.nio.channels.AsynchronousSocketChannel;

/**
 * A protocol that clients speak to the proxy. What a front owes the core, and what the core owes it, stands in
 * {@code docs/design/fronts.md}.
 */
public interface Front {
  /** A connection has been accepted for this front; the front gives it a {@link ClientSide} and reads from it. */
  void accepted(AsynchronousSocketChannel channel);
}
