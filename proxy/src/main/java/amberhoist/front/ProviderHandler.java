package amberhoist.front;

import amberhoist.net.Connection;
import amberhoist.net.ConnectionHandler;

/** Handles connections to providers and carries out attempts in the provider's protocol. */
public interface ProviderHandler extends ConnectionHandler {
  /**
   * Starts to connect to a provider on behalf of a client's invocation.
   *
   * @return the id of the new connection, or {@link amberhoist.core.SlotTable#NONE} if none could be started
   */
  long connect(long invocationId, Connection client, String provider);

  /** Whether an address of this provider is known. */
  boolean hasAddress(String provider);

  /** Requests a load report from a provider; the core is notified if one arrives. */
  void requestLoadReport(String provider);

  /** Forwards the open request on a connected connection, stating how many milliseconds the proxy will wait. */
  void forward(Connection provider, long waitMillis);
}
