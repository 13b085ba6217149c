package amberhoist.lab.emulator;

import amberhoist.core.InvocationRequest;
import amberhoist.lab.experiment.Experiment.ConnectionClass;

/** An emulated client: it wants a connection during its lifetime, and retries and reconnects until it has one. */
final class EmulatedClient {
  final ConnectionClass type;
  final int typeIndex;
  final int tenantIndex;
  final int group;
  final String zone;
  private final Simulation simulation;
  private final String clientKey;
  private final String groupName;
  private final long wantsFrom;
  private final long wantsUntil;
  private final double typicalLoad; // microseconds of work per second, as is load
  private final double behavior; // from 0 to 1; selects how the client waits after a rejection
  private ClientSession currentSession;
  private boolean isReturning;
  private int rejections;
  private double load;
  private final double valueFraction; // of its value; below 1 if the tenant was over its share at arrival

  EmulatedClient(Simulation simulation, long number, int typeIndex, int tenantIndex, int group, String zone,
      long lifeMicros, double valueFraction) {
    this.simulation = simulation;
    this.typeIndex = typeIndex;
    this.tenantIndex = tenantIndex;
    this.group = group;
    this.zone = zone;
    this.valueFraction = valueFraction;
    type = simulation.experiment.classes().get(typeIndex);
    clientKey = Long.toHexString(number);
    groupName = "g" + group;
    typicalLoad = type.load().toNanos() / 1000.0 * simulation.random.nextLogNormal(type.spread());
    load = typicalLoad * simulation.random.nextLogNormal(type.swing());
    behavior = simulation.random.nextFraction();
    wantsFrom = simulation.time.now();
    wantsUntil = wantsFrom + lifeMicros;
    simulation.time.runAt(wantsUntil, this::disconnect);
  }

  /** Its current load, microseconds of work per second. */
  double load() {
    return load;
  }

  /** Value of a second of its connection. */
  double value() {
    return type.worth() * valueFraction
        * (simulation.experiment.load().byWork() ? typicalLoad / simulation.typicalLoad() : 1);
  }

  private boolean isDone() {
    return simulation.time.now() >= wantsUntil;
  }

  /** The request that it sends to a proxy. */
  InvocationRequest openRequest() {
    return new InvocationRequest(type.name(), simulation.experiment.tenants().get(tenantIndex).name(), clientKey,
        groupName, type.deadline().toMillis(), simulation.experiment.load().hints() ? typicalLoad : 0, false,
        isReturning, null);
  }

  /** Connects to a proxy, unless its lifetime is over or it has a connection. */
  void connect() {
    if (isDone() || currentSession != null) {
      return;
    }
    EmulatedProxy proxy = simulation.assignProxy(this);
    if (proxy == null) {
      connectAfter(simulation.backoff(1));
      return;
    }
    long now = simulation.time.now();
    long deadline = now + type.deadline().toNanos() / 1000;
    ClientSession session = new ClientSession(this, proxy, now, deadline);
    currentSession = session;
    simulation.figures.countRequest();
    simulation.time.runAfter(simulation.clientDelay(), () -> proxy.onOpenRequest(session));
    simulation.time.runAt(deadline, () -> expire(session));
  }

  /** The client's deadline has passed without a final answer. */
  private void expire(ClientSession session) {
    if (currentSession == session && session.answerCount == 0) {
      session.closedByClient = true;
      currentSession = null;
      simulation.checker.onUnanswered(session);
      simulation.time.runAfter(simulation.clientDelay(), () -> session.proxy.onClientClosed(session));
      connectAfter(simulation.backoff(++rejections));
    }
  }

  private void connectAfter(long delayMicros) {
    simulation.time.runAfter(delayMicros, this::connect);
  }

  /** No proxy accepted the connection. */
  void onConnectionRefused(ClientSession session) {
    if (currentSession == session) {
      currentSession = null;
      connectAfter(simulation.backoff(1));
    }
  }

  /** The proxy has rejected or failed the request; {@code retryAfter} in microseconds, 0 for none. */
  void onRejected(ClientSession session, long retryAfter) {
    if (currentSession != session) {
      return;
    }
    currentSession = null;
    rejections++;
    simulation.figures.countRejection();
    if (behavior < simulation.experiment.clients().atOnce()) {
      connectAfter(1000);
    } else if (retryAfter > 0 && behavior > 1 - simulation.experiment.clients().honour()) {
      connectAfter(retryAfter);
    } else {
      connectAfter(simulation.backoff(rejections));
    }
  }

  /** The connection is established. */
  void onEstablished(ClientSession session) {
    if (currentSession != session || session.closed) {
      return;
    }
    rejections = 0;
    simulation.figures.countSetup(this, simulation.time.now() - session.startedAt);
    simulation.time.runAfter(simulation.random.nextBetween(0, simulation.messageIntervalMicros()),
        () -> sendMessage(session));
    simulation.time.runAfter(nextLoadChange(), () -> changeLoad(session));
    if (isDone()) {
      disconnect();
    }
  }

  /** Sends a message; one that is answered in time counts as service until the next message. */
  private void sendMessage(ClientSession session) {
    if (currentSession != session || session.closed || session.relayedAttempt == null
        || !session.proxy.isOpen(session.relayedAttempt)) {
      return;
    }
    Attempt attempt = session.relayedAttempt;
    session.proxy.onClientLine(attempt);
    EmulatedProvider provider = attempt.provider;
    if (provider.isResponding(session.proxy)) {
      double micros = provider.messageMicros(type);
      boolean inTime = micros <= type.message().toNanos() / 1000.0;
      if (inTime) {
        simulation.figures.addServed(this);
      }
      long delay = simulation.networkDelay(provider.zone, session.proxy.zone);
      attempt.unansweredSince = 0;
      simulation.time.runAfter(2 * delay + (long) micros, () -> session.proxy.onProviderLine(attempt));
    } else {
      simulation.checker.onUnanswered(attempt);
    }
    simulation.time.runAfter(simulation.messageIntervalMicros(), () -> sendMessage(session));
  }

  private long nextLoadChange() {
    return (long) (simulation.random.nextExponential(type.change().toNanos() / 1000.0));
  }

  private void changeLoad(ClientSession session) {
    if (currentSession == session && !session.closed && session.relayedAttempt != null) {
      load = typicalLoad * simulation.random.nextLogNormal(type.swing());
      session.relayedAttempt.provider.onLoadChanged(session.relayedAttempt, load);
      simulation.time.runAfter(nextLoadChange(), () -> changeLoad(session));
    }
  }

  /** The connection has ended, by MOVE ({@code moved}) or otherwise. */
  void onConnectionEnded(ClientSession session, boolean moved) {
    if (currentSession == session) {
      currentSession = null;
      isReturning = true;
      simulation.figures.countEnd(moved);
      connectAfter(simulation.reconnectDelay());
    }
  }

  /** The proxy has reset the connection. */
  void onConnectionReset(ClientSession session) {
    onConnectionEnded(session, false);
  }

  /** Closes its connection, and connects again after this time in microseconds. */
  void dropConnection(long reconnectMicros) {
    if (currentSession != null) {
      ClientSession session = currentSession;
      currentSession = null;
      isReturning = true;
      session.closedByClient = true;
      simulation.time.runAfter(simulation.clientDelay(), () -> session.proxy.onClientClosed(session));
      connectAfter(reconnectMicros);
    }
  }

  private void disconnect() {
    simulation.figures.addWanted(this, wantsFrom, Math.min(simulation.time.now(), wantsUntil));
    simulation.removeClient(this);
    if (currentSession != null) {
      ClientSession session = currentSession;
      currentSession = null;
      session.closedByClient = true;
      simulation.time.runAfter(simulation.clientDelay(), () -> session.proxy.onClientClosed(session));
    }
  }

  /** The simulation ends within the client's lifetime. */
  void onSimulationEnd() {
    simulation.figures.addWanted(this, wantsFrom, simulation.time.now());
  }
}
