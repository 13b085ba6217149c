package amberhoist.front;

import amberhoist.net.Connection;
import amberhoist.net.Handler;

/** The handler of a connection to a provider: how an attempt is said in the provider's protocol. */
public interface ProviderSide extends Handler {
  /**
   * Starts to connect on behalf of a client's invocation.
   *
   * @return the new connection's number, or {@link amberhoist.core.SlotTable#NONE} if none could be started
   */
  long dial(long invocation, Connection client, String provider);

  /** Asks a provider for its load report, which the core is told, should one come. */
  void ask(String provider);

  /** The connection stands: says what is asked of the provider, and that the proxy waits so long. */
  void forward(Connection provider, long millis);
}
