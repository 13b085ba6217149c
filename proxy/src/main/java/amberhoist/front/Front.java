package amberhoist.front;

import java.nio.channels.AsynchronousSocketChannel;

/**
 * Implements a protocol that clients speak to the proxy. {@code docs/design/fronts.md} describes the contract between
 * a front and the core.
 */
public interface Front {
  /** Takes over an accepted connection: sets a {@link ClientHandler} as its handler and starts to read. */
  void onAccepted(AsynchronousSocketChannel channel);

  /**
   * Called when the proxy stops. Rejects clients that have not sent their open request yet, and those accepted from now
   * on, giving them this retry-after; an open request that is already on its way is thereby answered.
   */
  void rejectNewClients(long retryAfterMicros);
}
