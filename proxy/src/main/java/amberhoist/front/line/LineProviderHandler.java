package amberhoist.front.line;

import amberhoist.core.Core;
import amberhoist.core.SlotTable;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.directory.ProviderRegistry;
import amberhoist.front.ProviderHandler;
import amberhoist.ids.RequestIds;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.net.Connection;
import amberhoist.net.EventLoop;
import amberhoist.net.Transport;
import amberhoist.relay.Relay.Ending;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Speaks the line protocol with providers: the forwarded first line, the answer to it, and the lines after that. */
public final class LineProviderHandler implements ProviderHandler {
  /** The state of one connection to a provider. */
  private static final class ProviderSession {
    final OpenRequest request;
    /** The outcome that the closing line of the provider announced, null until there is one. */
    Outcome closingOutcome;

    ProviderSession(OpenRequest request) {
      this.request = request;
    }
  }

  private final EventLoop loop;
  private final Transport transport;
  private final Counters counters;
  private final ProviderRegistry registry;
  private final RequestIds requestIds;
  private final BiConsumer<String, Throwable> onConnectFailed;
  private final LoadReportFetcher reports;
  private final RelayCloser relayCloser;
  private Core core;

  /** Creates a handler; {@code onConnectFailed} is called with a provider if no socket to it could be opened. */
  public LineProviderHandler(EventLoop loop, Transport transport, Counters counters, ProviderRegistry registry,
      RequestIds requestIds, BiConsumer<String, Throwable> onConnectFailed) {
    this.loop = loop;
    this.transport = transport;
    this.counters = counters;
    this.registry = registry;
    this.requestIds = requestIds;
    this.onConnectFailed = onConnectFailed;
    reports = new LoadReportFetcher(loop, transport, registry);
    relayCloser = new RelayCloser(transport);
  }

  /** Sets the core to notify of events; must be called before the first connection. */
  public void setCore(Core newCore) {
    core = newCore;
    reports.setCore(newCore);
  }

  @Override
  public long connect(long invocation, Connection client, String provider) {
    InetSocketAddress address = registry.addressOf(provider);
    if (address == null) {
      return SlotTable.NONE;
    }
    ProviderSession session = new ProviderSession((OpenRequest) client.attachment());
    try {
      Connection connection = transport.connect(address, invocation, client, this);
      connection.attach(session);
      return connection.id();
    } catch (IOException fault) {
      onConnectFailed.accept(provider, fault);
      return SlotTable.NONE;
    }
  }

  @Override
  public boolean hasAddress(String provider) {
    return registry.addressOf(provider) != null;
  }

  @Override
  public void requestLoadReport(String provider) {
    reports.fetch(provider);
  }

  @Override
  public void onConnected(Connection provider) {
    core.onConnected(loop.now(), provider.invocationId(), provider.id());
  }

  @Override
  public void forward(Connection provider, long millis) {
    OpenRequest request = ((ProviderSession) provider.attachment()).request;
    requestIds.onForwarded(request.id());
    transport.send(provider, request.forwardedLine(millis),
        () -> core.onOpenRequestWritten(loop.now(), provider.invocationId(), provider.id()));
    transport.read(provider);
  }

  @Override
  public void onInput(Connection provider) {
    try {
      while (!provider.finishing() && transport.contains(provider)) {
        byte[] line = provider.pollLine(OpenRequest.MAX_LINE_BYTES);
        if (line == null) {
          return;
        }
        String text = Lines.withoutLineEnd(line);
        ProviderLine kind = text == null ? ProviderLine.OTHER : ProviderLine.parse(text);
        if (provider.relaying()) {
          relayLine(provider, kind, text, line);
        } else {
          onAnswer(provider, kind, line);
        }
      }
    } catch (IOException lineTooLong) {
      transport.onBroken(provider);
    }
  }

  private void relayLine(Connection provider, ProviderLine kind, String text, byte[] line) {
    if (kind != ProviderLine.LOAD) {
      // LOAD is no sign of life: a hung provider may still send it
      core.onProviderLine(loop.now(), provider.invocationId(), provider.id());
    }
    switch (kind) {
      case LOAD -> {
        double load = ProviderLine.parseLoad(text);
        if (!Double.isNaN(load)) {
          core.onLoadLine(loop.now(), provider.invocationId(), provider.id(), load);
        }
      }
      case BYE -> ((ProviderSession) provider.attachment()).closingOutcome = Outcome.SERVED;
      case MOVE -> ((ProviderSession) provider.attachment()).closingOutcome = Outcome.CANCELLED;
      default -> { }
    }
    boolean isReplacedByMove = provider.relay().isMoving() && (kind == ProviderLine.BYE || kind == ProviderLine.MOVE);
    Connection client = transport.get(provider.peerId());
    if (client != null && !isReplacedByMove) {
      counters.increment(Count.LINES_TO_CLIENTS);
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
      if (kind == ProviderLine.BUSY) {
        requestIds.onTurnedAway(((ProviderSession) provider.attachment()).request.id());
      }
      core.onAttemptFailed(loop.now(), provider.invocationId(), provider.id(), outcome);
      return;
    }
    core.onUp(loop.now(), provider.invocationId(), provider.id());
    Connection client = transport.get(provider.peerId());
    if (provider.relaying() && client != null) {
      transport.send(client, line);
      transport.read(client);
    }
  }

  @Override
  public void onInputEnded(Connection provider) {
    end(provider, Ending.FIN);
  }

  @Override
  public void onBroken(Connection provider) {
    end(provider, Ending.RESET);
  }

  private void end(Connection provider, Ending ending) {
    if (provider.relaying()) {
      relayCloser.onEnded(provider, ending);
      Outcome closingOutcome = ((ProviderSession) provider.attachment()).closingOutcome;
      core.onConnectionEnded(loop.now(), provider.invocationId(), provider.id(),
          closingOutcome == null ? Outcome.RESET : closingOutcome);
    } else {
      if (ending == Ending.FIN) {
        transport.finish(provider);
      } else {
        transport.reset(provider);
      }
      core.onAttemptFailed(loop.now(), provider.invocationId(), provider.id(), Outcome.RESET);
    }
  }
}
