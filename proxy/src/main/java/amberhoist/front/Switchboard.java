package amberhoist.front;

import amberhoist.core.Commands;
import amberhoist.core.SlotTable;
import amberhoist.net.Connection;
import amberhoist.net.Transport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Dispatches the core's commands to the protocol handlers of the connections concerned. */
public final class Switchboard implements Commands {
  private final Transport transport;
  private final ProviderSide providers;
  private final Runnable ensureWatch;
  private final Consumer<String> log;

  /** Creates a dispatcher; {@code ensureWatch} starts the directory watch if needed, {@code log} logs a message. */
  public Switchboard(Transport transport, ProviderSide providers, Runnable ensureWatch, Consumer<String> log) {
    this.transport = transport;
    this.providers = providers;
    this.ensureWatch = ensureWatch;
    this.log = log;
  }

  @Override
  public long dial(long invocationId, long clientId, String provider) {
    Connection client = transport.get(clientId);
    return client == null ? SlotTable.NONE : providers.dial(invocationId, client, provider);
  }

  @Override
  public void forward(long providerId, long millis) {
    transport.on(providerId, provider -> providers.forward(provider, millis));
  }

  @Override
  public void abandon(long providerId) {
    transport.on(providerId, transport::drop);
  }

  @Override
  public void join(long clientId, long providerId) {
    Connection client = transport.get(clientId);
    Connection provider = transport.get(providerId);
    if (client != null && provider != null) {
      transport.join(client, provider);
    }
  }

  private void onClient(long id, BiConsumer<ClientSide, Connection> command) {
    transport.on(id, client -> command.accept((ClientSide) client.handler(), client));
  }

  @Override
  public void reject(long clientId, long retryAfter) {
    onClient(clientId, (handler, client) -> handler.reject(client, retryAfter));
  }

  @Override
  public void fail(long clientId) {
    onClient(clientId, ClientSide::fail);
  }

  @Override
  public void move(long clientId) {
    onClient(clientId, ClientSide::move);
  }

  @Override
  public void ask(String provider) {
    providers.ask(provider);
  }

  @Override
  public void watch() {
    ensureWatch.run();
  }

  @Override
  public void log(String message) {
    log.accept(message);
  }
}
