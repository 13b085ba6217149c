package amberhoist.front.line;

import amberhoist.core.Commands;
import amberhoist.net.Connection;
import amberhoist.net.Connection.Role;
import amberhoist.net.Transport;
import amberhoist.relay.Relay;
import amberhoist.relay.Relay.Action;
import amberhoist.relay.Relay.Ending;
import amberhoist.relay.Relay.Side;
import java.util.List;
import java.util.function.Consumer;

/** Carries out the actions of a {@link Relay} that ends on the two connections of that relay. */
final class RelayCloser {
  private static final byte[] MOVE = Lines.encode("MOVE\r\n");

  private final Transport transport;

  RelayCloser(Transport transport) {
    this.transport = transport;
  }

  /** One of the relay's connections has ended; all lines read from it have been passed on. */
  void onEnded(Connection connection, Ending ending) {
    Side side = connection.role() == Role.PROVIDER ? Side.PROVIDER : Side.CLIENT;
    run(connection, connection.relay().onEnded(side, ending, connection.faultText()));
  }

  /** The proxy moves the client: ends both connections, at once or after lines that the provider has written. */
  void move(Connection client, boolean atOnce) {
    run(client, client.relay().onMove(atOnce));
  }

  private void run(Connection connection, List<Action> actions) {
    long clientId = connection.role() == Role.PROVIDER ? connection.peerId() : connection.id();
    long providerId = connection.role() == Role.PROVIDER ? connection.id() : connection.peerId();
    for (Action action : actions) {
      switch (action) {
        case END_PROVIDER_OUTPUT -> with(providerId, this::endOutput);
        case MOVE_CLIENT -> with(clientId, client -> {
          transport.send(client, MOVE);
          transport.finish(client);
        });
        case FINISH_CLIENT -> with(clientId, transport::finish);
        case FINISH_PROVIDER -> with(providerId, transport::finish);
        case RESET_CLIENT -> with(clientId, transport::resetAfterWriting);
        case RESET_PROVIDER -> with(providerId, transport::resetAfterWriting);
        case CLOSE_CLIENT -> with(clientId, transport::closeNow);
        case CLOSE_PROVIDER -> with(providerId, transport::closeNow);
      }
    }
  }

  private void endOutput(Connection provider) {
    Runnable onStalled = () -> run(provider, provider.relay().onProviderStalled());
    long maxWaitMicros = provider.relay().isMoving() ? Commands.MAX_MOVE_WAIT_MICROS : Long.MAX_VALUE;
    transport.endOutput(provider, maxWaitMicros, onStalled);
  }

  private void with(long connectionId, Consumer<Connection> operation) {
    transport.ifPresent(connectionId, operation);
  }
}
