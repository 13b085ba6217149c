package amberhoist.front.line;

import amberhoist.core.Core;
import amberhoist.core.SlotTable;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.directory.AddressBook;
import amberhoist.front.ProviderSide;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.net.Connection;
import amberhoist.net.Loop;
import amberhoist.net.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Speaks the line protocol with providers: the forwarded first line, the answer to it, and the lines after that. */
public final class LineProviders implements ProviderSide {
  /** The state of one connection to a provider. */
  private static final class ProviderSession {
    final Opening request;
    /** The outcome that the closing line of the provider announced, null until there is one. */
    Outcome closingOutcome;

    ProviderSession(Opening request) {
      this.request = request;
    }
  }

  private final Loop loop;
  private final Transport transport;
  private final Counters counters;
  private final AddressBook registry;
  private final BiConsumer<String, Throwable> onConnectFailed;
  private final LineReports reports;
  private Core core;

  /** Creates a handler; {@code onConnectFailed} is called with a provider if no socket to it could be opened. */
  public LineProviders(Loop loop, Transport transport, Counters counters, AddressBook registry,
      BiConsumer<String, Throwable> onConnectFailed) {
    this.loop = loop;
    this.transport = transport;
    this.counters = counters;
    this.registry = registry;
    this.onConnectFailed = onConnectFailed;
    reports = new LineReports(loop, transport, registry);
  }

  /** Sets the core to notify of events; must be called before the first connection. */
  public void wire(Core newCore) {
    core = newCore;
    reports.wire(newCore);
  }

  @Override
  public long dial(long invocation, Connection client, String provider) {
    InetSocketAddress address = registry.of(provider);
    if (address == null) {
      return SlotTable.NONE;
    }
    ProviderSession session = new ProviderSession((Opening) client.attachment());
    try {
      Connection connection = transport.dial(address, invocation, client, this);
      connection.attach(session);
      return connection.number();
    } catch (IOException fault) {
      onConnectFailed.accept(provider, fault);
      return SlotTable.NONE;
    }
  }

  @Override
  public void ask(String provider) {
    reports.ask(provider);
  }

  @Override
  public void connected(Connection provider) {
    core.connected(loop.now(), provider.invocation(), provider.number());
  }

  @Override
  public void forward(Connection provider, long millis) {
    transport.send(provider, ((ProviderSession) provider.attachment()).request.forward(millis),
        () -> core.written(loop.now(), provider.invocation(), provider.number()));
    transport.read(provider);
  }

  @Override
  public void input(Connection provider) {
    try {
      while (!provider.finishing() && transport.holds(provider)) {
        byte[] line = provider.line(Opening.LONGEST);
        if (line == null) {
          return;
        }
        String text = Lines.text(line);
        ProviderLine kind = text == null ? ProviderLine.OTHER : ProviderLine.of(text);
        if (provider.joined()) {
          relayLine(provider, kind, text, line);
        } else {
          onAnswer(provider, kind, line);
        }
      }
    } catch (IOException lineTooLong) {
      transport.broken(provider);
    }
  }

  private void relayLine(Connection provider, ProviderLine kind, String text, byte[] line) {
    if (kind != ProviderLine.LOAD) {
      // LOAD is no sign of life: a hung provider may still send it
      core.returned(loop.now(), provider.invocation(), provider.number());
    }
    switch (kind) {
      case LOAD -> {
        double load = ProviderLine.load(text);
        if (!Double.isNaN(load)) {
          core.load(loop.now(), provider.invocation(), provider.number(), load);
        }
      }
      case BYE -> ((ProviderSession) provider.attachment()).closingOutcome = Outcome.SERVED;
      case MOVE -> ((ProviderSession) provider.attachment()).closingOutcome = Outcome.CANCELLED;
      default -> { }
    }
    Connection client = transport.get(provider.peer());
    if (client != null) {
      counters.add(Count.LINES_TO_CLIENTS);
      transport.send(client, line);
    }
  }

  /** Handles the first line of a provider, its answer to the attempt. A malformed one fails the attempt. */
  private void onAnswer(Connection provider, ProviderLine kind, byte[] line) {
    if (kind != ProviderLine.UP) {
      Outcome outcome = switch (kind) {
        case BUSY -> Outcome.FULL;
        case BYE -> Outcome.SERVED;
        case MOVE -> Outcome.CANCELLED;
        default -> Outcome.ERROR;
      };
      core.callEnded(loop.now(), provider.invocation(), provider.number(), outcome);
      return;
    }
    core.up(loop.now(), provider.invocation(), provider.number());
    Connection client = transport.get(provider.peer());
    if (provider.joined() && client != null) {
      transport.send(client, line);
      transport.read(client);
    }
  }

  @Override
  public void inputEnded(Connection provider) {
    end(provider, transport::finish);
  }

  @Override
  public void broken(Connection provider) {
    end(provider, transport::reset);
  }

  /** Handles the end of a provider connection: ends its client in the same way and notifies the core. */
  private void end(Connection provider, Consumer<Connection> close) {
    boolean wasRelaying = provider.joined();
    Connection client = transport.get(provider.peer());
    if (wasRelaying && client != null) {
      close.accept(client);
    }
    close.accept(provider);
    if (wasRelaying) {
      Outcome closingOutcome = ((ProviderSession) provider.attachment()).closingOutcome;
      core.ended(loop.now(), provider.invocation(), provider.number(),
          closingOutcome == null ? Outcome.RESET : closingOutcome);
    } else {
      core.callEnded(loop.now(), provider.invocation(), provider.number(), Outcome.RESET);
    }
  }
}
