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

/** The platform's lines, as providers speak them: the forwarded first line, its answer, and the lines after it. */
public final class LineProviders implements ProviderSide {
  /** What is kept for a connection to a provider. */
  private static final class Leg {
    final Opening opening;
    /** How the provider said that the connection ends, null until it did. */
    Outcome farewell;

    Leg(Opening opening) {
      this.opening = opening;
    }
  }

  private final Loop loop;
  private final Transport transport;
  private final Counters counters;
  private final AddressBook addresses;
  private final BiConsumer<String, Throwable> undialled;
  private final LineReports reports;
  private Core core;

  /** Providers on this transport; {@code undialled} is told of one that no socket could be had for. */
  public LineProviders(Loop loop, Transport transport, Counters counters, AddressBook addresses,
      BiConsumer<String, Throwable> undialled) {
    this.loop = loop;
    this.transport = transport;
    this.counters = counters;
    this.addresses = addresses;
    this.undialled = undialled;
    reports = new LineReports(loop, transport, addresses);
  }

  /** Names the core. */
  public void wire(Core theCore) {
    core = theCore;
    reports.wire(theCore);
  }

  @Override
  public long dial(long invocation, Connection client, String provider) {
    InetSocketAddress address = addresses.of(provider);
    if (address == null) {
      return SlotTable.NONE;
    }
    Leg leg = new Leg((Opening) client.attachment());
    try {
      Connection c = transport.dial(address, invocation, client, this);
      c.attach(leg);
      return c.number();
    } catch (IOException fault) {
      undialled.accept(provider, fault);
      return SlotTable.NONE;
    }
  }

  @Override
  public void ask(String provider) {
    reports.ask(provider);
  }

  @Override
  public void connected(Connection c) {
    core.connected(loop.now(), c.invocation(), c.number());
  }

  @Override
  public void forward(Connection c, long millis) {
    transport.send(c, ((Leg) c.attachment()).opening.forward(millis),
        () -> core.written(loop.now(), c.invocation(), c.number()));
    transport.read(c);
  }

  @Override
  public void input(Connection c) {
    try {
      while (!c.finishing() && transport.holds(c)) {
        byte[] line = c.line(Opening.LONGEST);
        if (line == null) {
          return;
        }
        String text = Lines.text(line);
        ProviderLine kind = text == null ? ProviderLine.OTHER : ProviderLine.of(text);
        if (c.joined()) {
          pass(c, kind, text, line);
        } else {
          answer(c, kind, line);
        }
      }
    } catch (IOException overlong) {
      transport.broken(c);
    }
  }

  private void pass(Connection c, ProviderLine kind, String text, byte[] line) {
    if (kind != ProviderLine.LOAD) {
      core.returned(loop.now(), c.invocation(), c.number()); // a hung provider goes on telling loads
    }
    switch (kind) {
      case LOAD -> {
        double load = ProviderLine.load(text);
        if (!Double.isNaN(load)) {
          core.load(loop.now(), c.invocation(), c.number(), load);
        }
      }
      case BYE -> ((Leg) c.attachment()).farewell = Outcome.SERVED;
      case MOVE -> ((Leg) c.attachment()).farewell = Outcome.CANCELLED;
      default -> { }
    }
    Connection client = transport.get(c.peer());
    if (client != null) {
      counters.add(Count.LINES_TO_CLIENTS);
      transport.send(client, line);
    }
  }

  /** The first line of a provider: its answer to the attempt. A malformed one is the call's error. */
  private void answer(Connection c, ProviderLine kind, byte[] line) {
    if (kind != ProviderLine.UP) {
      Outcome outcome = switch (kind) {
        case BUSY -> Outcome.FULL;
        case BYE -> Outcome.SERVED;
        case MOVE -> Outcome.CANCELLED;
        default -> Outcome.ERROR;
      };
      core.callEnded(loop.now(), c.invocation(), c.number(), outcome);
      return;
    }
    core.up(loop.now(), c.invocation(), c.number());
    Connection client = transport.get(c.peer());
    if (c.joined() && client != null) {
      transport.send(client, line);
      transport.read(client);
    }
  }

  @Override
  public void inputEnded(Connection c) {
    end(c, transport::finish);
  }

  @Override
  public void broken(Connection c) {
    end(c, transport::reset);
  }

  /** The provider has ended: its client is ended the same way, and the core is told. */
  private void end(Connection c, Consumer<Connection> ending) {
    boolean wasJoined = c.joined();
    Connection client = transport.get(c.peer());
    if (wasJoined && client != null) {
      ending.accept(client);
    }
    ending.accept(c);
    if (wasJoined) {
      Outcome farewell = ((Leg) c.attachment()).farewell;
      core.ended(loop.now(), c.invocation(), c.number(), farewell == null ? Outcome.RESET : farewell);
    } else {
      core.callEnded(loop.now(), c.invocation(), c.number(), Outcome.RESET);
    }
  }
}
