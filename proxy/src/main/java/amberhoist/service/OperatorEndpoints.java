package amberhoist.service;

import amberhoist.admin.AdminSocket;
import amberhoist.config.AdminAddress;
import amberhoist.config.ProxyConfig;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.mgmt.ManagementOperations;
import amberhoist.mgmt.ManagementServer;
import amberhoist.mgmt.Routes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * The addresses at which operators reach the proxy: the admin socket and the management API, where configured. They are
 * taken before the first client is accepted, since that may fail, and answer only once the proxy serves.
 */
final class OperatorEndpoints {
  private final EventLog log;
  private volatile AdminSocket adminSocket;
  private volatile ManagementServer managementServer;

  OperatorEndpoints(EventLog log) {
    this.log = log;
  }

  /**
   * Takes the addresses; callers wait until {@link #start}.
   *
   * @throws IOException if an address cannot be taken
   */
  void takeAddresses(ProxyConfig config, AdminSocket.Source source, ManagementOperations operations)
      throws IOException {
    SocketAddress adminAddress = AdminAddress.parse(config.operator().admin().listen());
    if (adminAddress != null) {
      adminSocket = new AdminSocket(adminAddress, config.operator().admin().timeout(), source, log);
    }
    InetSocketAddress managementAddress = config.platform().managementAddress();
    if (managementAddress != null) {
      managementServer = new ManagementServer(managementAddress, new Routes(operations),
          fault -> log.log(Event.DOOR_FAILED, "cannot accept a connection", "why", fault));
    }
  }

  /** Starts to answer. */
  void start() throws IOException {
    if (adminSocket != null) {
      adminSocket.start();
    }
    if (managementServer != null) {
      managementServer.start();
      log.log(Event.DOOR_LISTENS, "the management API listens", "address", managementServer.address());
    }
  }

  /** The address of the management API, or null if there is none. */
  InetSocketAddress managementAddress() throws IOException {
    return managementServer == null ? null : managementServer.address();
  }

  /** The address of the admin socket, or null if there is none. */
  SocketAddress adminAddress() {
    return adminSocket == null ? null : adminSocket.address();
  }

  void close() {
    if (adminSocket != null) {
      adminSocket.close();
    }
    if (managementServer != null) {
      managementServer.close();
    }
  }
}
