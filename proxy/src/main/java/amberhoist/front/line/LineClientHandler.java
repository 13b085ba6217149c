package amberhoist.front.line;

import amberhoist.core.Core;
import amberhoist.front.ClientHandler;
import amberhoist.front.Front;
import amberhoist.ids.RequestIds;
import amberhoist.ids.RequestIds.Admission;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.SetupOutcomes.Outcome;
import amberhoist.net.Connection;
import amberhoist.net.Connection.Role;
import amberhoist.net.DescriptorBudget;
import amberhoist.net.EventLoop;
import amberhoist.net.Transport;
import amberhoist.relay.Relay.Ending;
import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Locale;

/** Speaks the line protocol with clients: the first line, the lines relayed after it, and the final answer. */
public final class LineClientHandler implements Front, ClientHandler {
  private static final byte[] PONG = Lines.encode("PONG\r\n");
  private static final byte[] ERR = Lines.encode("ERR\r\n");

  /** State of a client before its open request; the {@link OpenRequest} replaces it as the attachment. */
  private static final class PendingClient {
    int pings;
  }

  private final EventLoop loop;
  private final Transport transport;
  private final DescriptorBudget descriptors;
  private final Counters counters;
  private final EventLog log;
  private final RelayCloser relayCloser;
  private final RequestIds requestIds;
  private LineLimits limits = LineLimits.DEFAULT;
  private long maxRetryAfterMicros = Long.MAX_VALUE;
  private Core core;
  private boolean stopping;
  private long stopRetryAfterMicros;

  /** Creates a front for clients on this transport; {@link #setCore} must be called before the first client. */
  public LineClientHandler(EventLoop loop, Transport transport, DescriptorBudget descriptors, Counters counters,
      EventLog log, RequestIds requestIds) {
    this.loop = loop;
    this.transport = transport;
    this.descriptors = descriptors;
    this.counters = counters;
    this.log = log;
    this.requestIds = requestIds;
    relayCloser = new RelayCloser(transport);
  }

  /** Sets the core that handles invocations. */
  public void setCore(Core newCore) {
    core = newCore;
  }

  /** Changes the limits and the maximum retry-after, in microseconds, that rejected clients are given. */
  public void limits(LineLimits newLimits, long newMaxRetryAfterMicros) {
    limits = newLimits;
    maxRetryAfterMicros = newMaxRetryAfterMicros;
  }

  @Override
  public void onAccepted(AsynchronousSocketChannel channel) {
    Connection client = transport.registerAccepted(channel, this);
    client.attach(new PendingClient());
    if (stopping) {
      reject(client, stopRetryAfterMicros);
      return;
    }
    client.timer(
        loop.timerWheel().arm(loop.now() + limits.firstLineTimeoutMicros(), now -> onFirstLineTimeout(client)));
    transport.read(client);
  }

  /**
   * No complete first line arrived in time. If none has begun, one may still be on its way, so the client is rejected:
   * a request that was never forwarded may be retried.
   */
  private void onFirstLineTimeout(Connection client) {
    answerMalformed(client, "no complete first line within the timeout",
        client.bufferedBytes() > 0 ? ERR : Lines.busyLine(0));
  }

  @Override
  public void rejectNewClients(long retryAfterMicros) {
    stopping = true;
    stopRetryAfterMicros = retryAfterMicros;
    transport.forEach(Role.PENDING_CLIENT, client -> reject(client, retryAfterMicros));
  }

  /** Closes a connection that is owed no answer, to free its descriptor; a client that has sent nothing is rejected. */
  public void evict(Connection client) {
    counters.increment(Count.EVICTED);
    log.log(Event.CLIENT_EVICTED, "descriptors run short", "peer", client);
    if (client.role() == Role.PENDING_CLIENT && client.bufferedBytes() == 0) {
      transport.send(client, Lines.busyLine(limits.shortageRetryAfterMicros()));
    }
    transport.closeNow(client);
  }

  @Override
  public void onInput(Connection client) {
    if (client.role() == Role.CLIENT && !client.relaying()) {
      // A client must wait for the answer after its first line; no provider would receive further lines.
      failMalformed(client, "lines before the answer to the first one");
      core.onClientFailed(loop.now(), client.invocationId());
      return;
    }
    try {
      while (!client.finishing() && transport.contains(client)
          && (client.role() == Role.PENDING_CLIENT || client.relaying())) {
        byte[] line = client.pollLine(OpenRequest.MAX_LINE_BYTES);
        if (line == null) {
          return;
        }
        if (client.role() == Role.PENDING_CLIENT) {
          onFirstLine(client, line);
        } else {
          relayLine(client, line);
        }
      }
    } catch (IOException lineTooLong) {
      if (client.role() == Role.PENDING_CLIENT) {
        failMalformed(client, "first line exceeds the maximum length");
      } else {
        transport.onBroken(client);
      }
    }
  }

  private void onFirstLine(Connection client, byte[] line) {
    String text = Lines.withoutLineEnd(line);
    if (text == null) {
      failMalformed(client, "line does not end in CRLF");
    } else if (text.equals("PING")) {
      counters.increment(Count.PINGED);
      if (++((PendingClient) client.attachment()).pings > limits.maxPings()) {
        failMalformed(client, "too many PINGs");
      } else {
        transport.send(client, PONG);
      }
    } else {
      try {
        onOpenRequest(client, OpenRequest.parse(text));
      } catch (MalformedLineException fault) {
        failMalformed(client, fault.getMessage());
      }
    }
  }

  private void onOpenRequest(Connection client, OpenRequest request) {
    if (client.bufferedBytes() > 0) {
      failMalformed(client, "lines before the answer to the first one");
      return;
    }
    Admission admission = requestIds.begin(request.id(), client.id(), request.establishedProvider() != null,
        loop.clock().monotonic());
    if (admission != Admission.GRANTED) {
      failMalformed(client, admission == Admission.IN_USE ? "id is already in use" : "id may have run already");
      return;
    }
    client.timer(null);
    client.attach(request);
    transport.markAsClient(client);
    if (descriptors.isNearlyExhausted() && request.establishedProvider() == null || !descriptors.makeRoom()) {
      counters.increment(Count.CROWDED_OUT);
      counters.setupOutcomes().countRequested(request.type());
      counters.setupOutcomes().countEnded(request.type(), Outcome.REFUSED);
      log.log(Event.CLIENT_CROWDED_OUT, "descriptors run short", "peer", client);
      reject(client, limits.shortageRetryAfterMicros()); // a provider connection would use the last descriptors
      return;
    }
    long arrived = loop.now();
    // Queued behind input already received, so that pending directory updates reach the balancer first.
    loop.post(() -> {
      if (transport.contains(client) && !client.finishing()) {
        client.invocationId(core.onInvocation(arrived, client.id(), request.toArrival()));
        log.log(Event.INVOCATION_ARRIVED, "a client requests a connection", "invocation", client.invocationId(),
            "request", request.id(), "class", request.type(), "peer", client);
      } else {
        counters.setupOutcomes().countRequested(request.type()); // the client disconnected or was answered meanwhile
        counters.setupOutcomes().countEnded(request.type(), Outcome.REFUSED);
      }
    });
  }

  private void failMalformed(Connection client, String reason) {
    answerMalformed(client, reason, ERR);
  }

  private void answerMalformed(Connection client, String reason, byte[] answer) {
    counters.increment(Count.MALFORMED);
    log.log(Event.CLIENT_MALFORMED, reason, "peer", client);
    client.lingerMicros(limits.malformedLingerMicros());
    answerAndFinish(client, answer);
  }

  private void relayLine(Connection client, byte[] line) {
    Connection provider = transport.get(client.peerId());
    if (provider != null && !client.relay().isMoving()) {
      counters.increment(Count.LINES_TO_PROVIDERS);
      core.onClientLine(loop.now(), client.invocationId(), client.peerId());
      transport.send(provider, line);
    }
  }

  @Override
  public void onInputEnded(Connection client) {
    end(client, Ending.FIN);
  }

  @Override
  public void onBroken(Connection client) {
    end(client, Ending.RESET);
  }

  /** Handles the end of a client connection and notifies the core. */
  private void end(Connection client, Ending ending) {
    if (client.role() == Role.PENDING_CLIENT) {
      if (ending == Ending.FIN && client.bufferedBytes() > 0) {
        failMalformed(client, "connection ended within the first line");
      }
      close(client, ending);
      return;
    }
    if (client.relaying()) {
      relayCloser.onEnded(client, ending);
    } else {
      log.log(Event.CLIENT_LEFT, "the client has left before its answer", "invocation", client.invocationId(), "how",
          ending.name().toLowerCase(Locale.ROOT), "why", client.faultText());
      if (ending == Ending.FIN) {
        transport.send(client, ERR); // it may have ended only its sending side; an attempt may have run
      }
      close(client, ending);
    }
    core.onClientDisconnected(loop.now(), client.invocationId());
  }

  private void close(Connection client, Ending ending) {
    if (ending == Ending.FIN) {
      transport.finish(client);
    } else {
      transport.reset(client);
    }
  }

  @Override
  public void onReleased(Connection client) {
    if (client.attachment() instanceof OpenRequest request) {
      requestIds.end(request.id(), client.id(), loop.clock().monotonic());
    }
  }

  private void answerAndFinish(Connection client, byte[] answer) {
    transport.send(client, answer);
    transport.finish(client);
  }

  @Override
  public void reject(Connection client, long retryAfterMicros) {
    answerAndFinish(client, Lines.busyLine(Math.min(retryAfterMicros, maxRetryAfterMicros)));
  }

  @Override
  public void fail(Connection client) {
    answerAndFinish(client, ERR);
  }

  @Override
  public void move(Connection client, boolean atOnce) {
    relayCloser.move(client, atOnce);
  }
}
