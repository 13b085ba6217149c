package amberhoist.front;

import amberhoist.core.Commands;
import amberhoist.core.SlotTable;
import amberhoist.net.Connection;
import amberhoist.net.Transport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Takes the core's commands to the connections that they name, each in its own protocol. */
public final class Switchboard implements Commands {
  private final Transport transport;
  private final ProviderSide providers;
  private final Runnable watch;
  private final Consumer<String> log;

  /** A switchboard that makes sure of the directory's watch, and logs, in these ways. */
  public Switchboard(Transport transport, ProviderSide providers, Runnable watch, Consumer<String> log) {
    this.transport = transport;
    this.providers = providers;
    this.watch = watch;
    this.log = log;
  }

  @Override
  public long dial(long invocation, long client, String provider) {
    Connection from = transport.get(client);
    return from == null ? SlotTable.NONE : providers.dial(invocation, from, provider);
  }

  @Override
  public void forward(long provider, long millis) {
    transport.on(provider, c -> providers.forward(c, millis));
  }

  @Override
  public void abandon(long provider) {
    transport.on(provider, transport::drop);
  }

  @Override
  public void join(long client, long provider) {
    Connection c = transport.get(client);
    Connection p = transport.get(provider);
    if (c != null && p != null) {
      transport.join(c, p);
    }
  }

  private void client(long number, BiConsumer<ClientSide, Connection> command) {
    transport.on(number, c -> command.accept((ClientSide) c.handler(), c));
  }

  @Override
  public void reject(long client, long retryAfter) {
    client(client, (side, c) -> side.reject(c, retryAfter));
  }

  @Override
  public void fail(long client) {
    client(client, ClientSide::fail);
  }

  @Override
  public void move(long client) {
    client(client, ClientSide::move);
  }

  @Override
  public void ask(String provider) {
    providers.ask(provider);
  }

  @Override
  public void watch() {
    watch.run();
  }

  @Override
  public void log(String message) {
    log.accept(message);
  }
}
