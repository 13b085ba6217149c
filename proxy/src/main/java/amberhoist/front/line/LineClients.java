package amberhoist.front.line;

import amberhoist.core.Core;
import amberhoist.front.ClientSide;
import amberhoist.front.Front;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Outcomes.Outcome;
import amberhoist.net.Connection;
import amberhoist.net.Connection.Role;
import amberhoist.net.DescriptorBudget;
import amberhoist.net.Loop;
import amberhoist.net.Transport;
import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The platform's lines, as clients speak them: the first line, the final answer, and the lines after it. */
public final class LineClients implements Front, ClientSide {
  private static final byte[] PONG = Lines.ascii("PONG\r\n");
  private static final byte[] ERR = Lines.ascii("ERR\r\n");
  private static final byte[] MOVE = Lines.ascii("MOVE\r\n");

  /** What a new client may still do; it is replaced by the {@link Opening} once that has come. */
  private static final class Greeting {
    int pings;
  }

  private final Loop loop;
  private final Transport transport;
  private final DescriptorBudget descriptors;
  private final Counters counters;
  private final EventLog log;
  private final Map<String, Long> ids = new HashMap<>(); // of the clients held or joined
  private LineLimits limits = LineLimits.DEFAULT;
  private long mostAdvice = Long.MAX_VALUE;
  private Core core;
  private boolean leaving;
  private long leaveAdvice;

  /** A front for clients on this transport; {@link #wire} names its core. */
  public LineClients(Loop loop, Transport transport, DescriptorBudget descriptors, Counters counters, EventLog log) {
    this.loop = loop;
    this.transport = transport;
    this.descriptors = descriptors;
    this.counters = counters;
    this.log = log;
  }

  /** Names the core. */
  public void wire(Core theCore) {
    core = theCore;
  }

  /** Goes by other limits, and tells rejected clients to wait no longer than so many microseconds. */
  public void limits(LineLimits others, long longestAdvice) {
    limits = others;
    mostAdvice = longestAdvice;
  }

  @Override
  public void accepted(AsynchronousSocketChannel channel) {
    Connection c = transport.accepted(channel, this);
    c.attach(new Greeting());
    if (leaving) {
      reject(c, leaveAdvice);
      return;
    }
    c.timer(loop.wheel().arm(loop.now() + limits.firstLine(), at -> overdue(c)));
    transport.read(c);
  }

  /** No first line in time. Where none has begun, one may be on its way: what never was sent on may be tried again. */
  private void overdue(Connection c) {
    bad(c, "no first line in time", c.pending() > 0 ? ERR : Lines.rejection(0));
  }

  @Override
  public void leave(long retryAfter) {
    leaving = true;
    leaveAdvice = retryAfter;
    transport.forEach(Role.NEW, c -> reject(c, retryAfter));
  }

  /** Makes room by ending a connection that nothing is owed, at once; one that may be about to ask is told so. */
  public void evict(Connection c) {
    counters.add(Count.EVICTED);
    log.tell(Event.CLIENT_EVICTED, "descriptors run short", "peer", c);
    if (c.role() == Role.NEW && c.pending() == 0) {
      transport.send(c, Lines.rejection(limits.crowdedAdvice()));
    }
    transport.drop(c);
  }

  @Override
  public void input(Connection c) {
    if (c.role() == Role.CLIENT && !c.joined()) {
      // Guards against lines for a provider that never saw them: a client waits after its first one.
      malformed(c, "lines before the answer");
      core.clientFailed(loop.now(), c.invocation());
      return;
    }
    try {
      while (!c.finishing() && transport.holds(c) && (c.role() == Role.NEW || c.joined())) {
        byte[] line = c.line(Opening.LONGEST);
        if (line == null) {
          return;
        }
        if (c.role() == Role.NEW) {
          firstLine(c, line);
        } else {
          pass(c, line);
        }
      }
    } catch (IOException overlong) {
      if (c.role() == Role.NEW) {
        malformed(c, "a first line without end");
      } else {
        transport.broken(c);
      }
    }
  }

  private void firstLine(Connection c, byte[] line) {
    String text = Lines.text(line);
    if (text == null) {
      malformed(c, "a line without CRLF");
    } else if (text.equals("PING")) {
      counters.add(Count.PINGED);
      if (++((Greeting) c.attachment()).pings > limits.pings()) {
        malformed(c, "too many PINGs");
      } else {
        transport.send(c, PONG);
      }
    } else {
      try {
        opening(c, Opening.parse(text));
      } catch (MalformedLine fault) {
        malformed(c, fault.getMessage());
      }
    }
  }

  private void opening(Connection c, Opening opening) {
    if (c.pending() > 0 || ids.containsKey(opening.id())) {
      malformed(c, c.pending() > 0 ? "lines before the answer" : "an id that is in use");
      return;
    }
    c.timer(null);
    c.attach(opening);
    transport.taken(c);
    ids.put(opening.id(), c.number());
    if (!descriptors.room(0) || descriptors.crowded() && opening.provider() == null) {
      counters.add(Count.CROWDED_OUT);
      counters.outcomes().taken(opening.type());
      counters.outcomes().ended(opening.type(), Outcome.REFUSED);
      log.tell(Event.CLIENT_CROWDED_OUT, "descriptors run short", "peer", c);
      reject(c, limits.crowdedAdvice()); // a provider connection would take the last descriptors
      return;
    }
    long arrived = loop.now();
    // Behind what has already come in: news from the directory must reach the balancer first.
    loop.post(() -> {
      if (transport.holds(c) && !c.finishing()) {
        c.invocation(core.invocation(arrived, c.number(), opening.arrival()));
      } else {
        counters.outcomes().taken(opening.type()); // it left, or was told, before its turn came
        counters.outcomes().ended(opening.type(), Outcome.REFUSED);
      }
    });
  }

  private void malformed(Connection c, String why) {
    bad(c, why, ERR);
  }

  private void bad(Connection c, String why, byte[] answer) {
    counters.add(Count.MALFORMED);
    log.tell(Event.CLIENT_MALFORMED, why, "peer", c);
    c.linger(limits.badLinger());
    answer(c, answer);
  }

  private void pass(Connection c, byte[] line) {
    Connection provider = transport.get(c.peer());
    if (provider != null) {
      counters.add(Count.LINES_TO_PROVIDERS);
      core.asked(loop.now(), c.invocation(), c.peer());
      transport.send(provider, line);
    }
  }

  @Override
  public void inputEnded(Connection c) {
    end(c, transport::finish, false);
  }

  @Override
  public void broken(Connection c) {
    end(c, transport::reset, true);
  }

  /** The client has ended: its provider is ended the same way, and the core is told. */
  private void end(Connection c, Consumer<Connection> ending, boolean reset) {
    if (c.role() == Role.NEW) {
      if (!reset && c.pending() > 0) {
        malformed(c, "a first line that is never finished");
      }
      ending.accept(c);
      return;
    }
    Connection provider = transport.get(c.peer());
    if (c.joined() && provider != null) {
      ending.accept(provider);
    } else if (!reset) {
      transport.send(c, ERR); // one final answer, also to one that only ended its sending side; an attempt may have run
    }
    ending.accept(c);
    core.clientLeft(loop.now(), c.invocation());
  }

  @Override
  public void released(Connection c) {
    if (c.attachment() instanceof Opening opening) {
      ids.remove(opening.id(), c.number());
    }
  }

  private void answer(Connection c, byte[] answer) {
    transport.send(c, answer);
    transport.finish(c);
  }

  @Override
  public void reject(Connection c, long retryAfter) {
    answer(c, Lines.rejection(Math.min(retryAfter, mostAdvice)));
  }

  @Override
  public void fail(Connection c) {
    answer(c, ERR);
  }

  @Override
  public void move(Connection c) {
    transport.on(c.peer(), transport::finish);
    answer(c, MOVE);
  }
}
