package amberhoist.front;

import amberhoist.core.Commands;
import amberhoist.core.SlotTable;
import amberhoist.net.Connection;
import amberhoist.net.Transport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Dispatches the core's commands to the protocol handlers of the connections concerned. */
public final class CommandDispatcher implements Commands {
  private final Transport transport;
  private final ProviderHandler providerHandler;
  private final Runnable ensureWatch;
  private final Consumer<String> log;

  /** Creates a dispatcher; {@code ensureWatch} starts the directory watch if needed, {@code log} logs a message. */
  public CommandDispatcher(Transport transport, ProviderHandler providerHandler, Runnable ensureWatch,
      Consumer<String> log) {
    this.transport = transport;
    this.providerHandler = providerHandler;
    this.ensureWatch = ensureWatch;
    this.log = log;
  }

  @Override
  public long connect(long invocationId, long clientId, String provider) {
    Connection client = transport.get(clientId);
    return client == null ? SlotTable.NONE : providerHandler.connect(invocationId, client, provider);
  }

  @Override
  public boolean hasAddress(String provider) {
    return providerHandler.hasAddress(provider);
  }

  @Override
  public void forwardOpenRequest(long connectionId, long waitMillis) {
    transport.ifPresent(connectionId, provider -> providerHandler.forward(provider, waitMillis));
  }

  @Override
  public void abandon(long connectionId) {
    transport.ifPresent(connectionId, transport::closeNow);
  }

  @Override
  public void relay(long clientId, long connectionId) {
    Connection client = transport.get(clientId);
    Connection provider = transport.get(connectionId);
    if (client != null && provider != null) {
      transport.relay(client, provider);
    }
  }

  private void onClient(long id, BiConsumer<ClientHandler, Connection> command) {
    transport.ifPresent(id, client -> command.accept((ClientHandler) client.handler(), client));
  }

  @Override
  public void reject(long clientId, long retryAfterMicros) {
    onClient(clientId, (handler, client) -> handler.reject(client, retryAfterMicros));
  }

  @Override
  public void fail(long clientId) {
    onClient(clientId, ClientHandler::fail);
  }

  @Override
  public void move(long clientId, boolean atOnce) {
    onClient(clientId, (handler, client) -> handler.move(client, atOnce));
  }

  @Override
  public boolean isHeldBack(long connectionId) {
    Connection provider = transport.get(connectionId);
    return provider != null && transport.hasBackpressure(provider);
  }

  @Override
  public void requestLoadReport(String provider) {
    providerHandler.requestLoadReport(provider);
  }

  @Override
  public void watchDirectory() {
    ensureWatch.run();
  }

  @Override
  public void log(String message) {
    log.accept(message);
  }
}
