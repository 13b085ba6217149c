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

/** Speaks the line protocol with clients: the first line, the lines relayed after it, and the final answer. */
public final class LineClients implements Front, ClientSide {
  private static final byte[] PONG = Lines.ascii("PONG\r\n");
  private static final byte[] ERR = Lines.ascii("ERR\r\n");
  private static final byte[] MOVE = Lines.ascii("MOVE\r\n");

  /** State of a client before its open request; the {@link Opening} replaces it as the attachment. */
  private static final class PendingClient {
    int pings;
  }

  private final Loop loop;
  private final Transport transport;
  private final DescriptorBudget descriptors;
  private final Counters counters;
  private final EventLog log;
  /** Connections of the clients being served, by the id in their open request. */
  private final Map<String, Long> connectionIds = new HashMap<>();
  private LineLimits limits = LineLimits.DEFAULT;
  private long maxRetryAfterMicros = Long.MAX_VALUE;
  private Core core;
  private boolean stopping;
  private long stopRetryAfterMicros;

  /** Creates a front for clients on this transport; {@link #wire} must be called before the first client. */
  public LineClients(Loop loop, Transport transport, DescriptorBudget descriptors, Counters counters,
      EventLog log) {
    this.loop = loop;
    this.transport = transport;
    this.descriptors = descriptors;
    this.counters = counters;
    this.log = log;
  }

  /** Sets the core that handles invocations. */
  public void wire(Core newCore) {
    core = newCore;
  }

  /** Changes the limits and the maximum retry-after, in microseconds, that rejected clients are given. */
  public void limits(LineLimits newLimits, long newMaxRetryAfterMicros) {
    limits = newLimits;
    maxRetryAfterMicros = newMaxRetryAfterMicros;
  }

  @Override
  public void accepted(AsynchronousSocketChannel channel) {
    Connection client = transport.accepted(channel, this);
    client.attach(new PendingClient());
    if (stopping) {
      reject(client, stopRetryAfterMicros);
      return;
    }
    client.timer(
        loop.wheel().arm(loop.now() + limits.firstLine(), now -> onFirstLineTimeout(client)));
    transport.read(client);
  }

  /**
   * No complete first line arrived in time. If none has begun, one may still be on its way, so the client is rejected:
   * a request that was never forwarded may be retried.
   */
  private void onFirstLineTimeout(Connection client) {
    answerMalformed(client, "no complete first line within the timeout",
        client.pending() > 0 ? ERR : Lines.rejection(0));
  }

  @Override
  public void leave(long retryAfter) {
    stopping = true;
    stopRetryAfterMicros = retryAfter;
    transport.forEach(Role.NEW, client -> reject(client, retryAfter));
  }

  /** Closes a connection that is owed no answer, to free its descriptor; a client that has sent nothing is rejected. */
  public void evict(Connection client) {
    counters.add(Count.EVICTED);
    log.tell(Event.CLIENT_EVICTED, "descriptors run short", "peer", client);
    if (client.role() == Role.NEW && client.pending() == 0) {
      transport.send(client, Lines.rejection(limits.crowdedAdvice()));
    }
    transport.drop(client);
  }

  @Override
  public void input(Connection client) {
    if (client.role() == Role.CLIENT && !client.joined()) {
      // A client must wait for the answer after its first line; no provider would receive further lines.
      failMalformed(client, "lines before the answer to the first one");
      core.clientFailed(loop.now(), client.invocation());
      return;
    }
    try {
      while (!client.finishing() && transport.holds(client)
          && (client.role() == Role.NEW || client.joined())) {
        byte[] line = client.line(Opening.LONGEST);
        if (line == null) {
          return;
        }
        if (client.role() == Role.NEW) {
          onFirstLine(client, line);
        } else {
          relayLine(client, line);
        }
      }
    } catch (IOException lineTooLong) {
      if (client.role() == Role.NEW) {
        failMalformed(client, "first line exceeds the maximum length");
      } else {
        transport.broken(client);
      }
    }
  }

  private void onFirstLine(Connection client, byte[] line) {
    String text = Lines.text(line);
    if (text == null) {
      failMalformed(client, "line does not end in CRLF");
    } else if (text.equals("PING")) {
      counters.add(Count.PINGED);
      if (++((PendingClient) client.attachment()).pings > limits.pings()) {
        failMalformed(client, "too many PINGs");
      } else {
        transport.send(client, PONG);
      }
    } else {
      try {
        onOpenRequest(client, Opening.parse(text));
      } catch (MalformedLine fault) {
        failMalformed(client, fault.getMessage());
      }
    }
  }

  private void onOpenRequest(Connection client, Opening request) {
    if (client.pending() > 0 || connectionIds.containsKey(request.id())) {
      failMalformed(client,
          client.pending() > 0 ? "lines before the answer to the first one" : "id is already in use");
      return;
    }
    client.timer(null);
    client.attach(request);
    transport.taken(client);
    connectionIds.put(request.id(), client.number());
    if (!descriptors.room(0) || descriptors.crowded() && request.provider() == null) {
      counters.add(Count.CROWDED_OUT);
      counters.outcomes().taken(request.type());
      counters.outcomes().ended(request.type(), Outcome.REFUSED);
      log.tell(Event.CLIENT_CROWDED_OUT, "descriptors run short", "peer", client);
      reject(client, limits.crowdedAdvice()); // a provider connection would use the last descriptors
      return;
    }
    long arrived = loop.now();
    // Queued behind input already received, so that pending directory updates reach the balancer first.
    loop.post(() -> {
      if (transport.holds(client) && !client.finishing()) {
        client.invocation(core.invocation(arrived, client.number(), request.arrival()));
      } else {
        counters.outcomes().taken(request.type()); // the client disconnected or was answered meanwhile
        counters.outcomes().ended(request.type(), Outcome.REFUSED);
      }
    });
  }

  private void failMalformed(Connection client, String reason) {
    answerMalformed(client, reason, ERR);
  }

  private void answerMalformed(Connection client, String reason, byte[] answer) {
    counters.add(Count.MALFORMED);
    log.tell(Event.CLIENT_MALFORMED, reason, "peer", client);
    client.linger(limits.badLinger());
    answerAndFinish(client, answer);
  }

  private void relayLine(Connection client, byte[] line) {
    Connection provider = transport.get(client.peer());
    if (provider != null) {
      counters.add(Count.LINES_TO_PROVIDERS);
      core.asked(loop.now(), client.invocation(), client.peer());
      transport.send(provider, line);
    }
  }

  @Override
  public void inputEnded(Connection client) {
    end(client, transport::finish, false);
  }

  @Override
  public void broken(Connection client) {
    end(client, transport::reset, true);
  }

  /** Handles the end of a client connection: ends its provider in the same way and notifies the core. */
  private void end(Connection client, Consumer<Connection> close, boolean reset) {
    if (client.role() == Role.NEW) {
      if (!reset && client.pending() > 0) {
        failMalformed(client, "connection ended within the first line");
      }
      close.accept(client);
      return;
    }
    Connection provider = transport.get(client.peer());
    if (client.joined() && provider != null) {
      close.accept(provider);
    } else if (!reset) {
      transport.send(client, ERR); // it may have ended only its sending side; an attempt may have run
    }
    close.accept(client);
    core.clientLeft(loop.now(), client.invocation());
  }

  @Override
  public void released(Connection client) {
    if (client.attachment() instanceof Opening request) {
      connectionIds.remove(request.id(), client.number());
    }
  }

  private void answerAndFinish(Connection client, byte[] answer) {
    transport.send(client, answer);
    transport.finish(client);
  }

  @Override
  public void reject(Connection client, long retryAfter) {
    answerAndFinish(client, Lines.rejection(Math.min(retryAfter, maxRetryAfterMicros)));
  }

  @Override
  public void fail(Connection client) {
    answerAndFinish(client, ERR);
  }

  @Override
  public void move(Connection client) {
    transport.on(client.peer(), transport::finish);
    answerAndFinish(client, MOVE);
  }
}
