package amberhoist.lab.emulator;

import amberhoist.core.InvocationRequest;
import amberhoist.lab.experiment.Experiment.Type;

/** An emulated client: it wants a connection during its lifetime, and retries and reconnects until it has one. */
final class EmulatedClient {
  final Type type;
  final int typeIndex;
  final int tenantIndex;
  final int group;
  final String zone;
  private final World simulation;
  private final String clientKey;
  private final String groupName;
  private final long wantsFrom;
  private final long wantsUntil;
  private final double typicalLoad; // microseconds of work per second, as is load
  private final double behavior; // from 0 to 1; selects how the client waits after a rejection
  private Visit currentSession;
  private boolean isReturning;
  private int rejections;
  private double load;
  private final double valueFraction; // of its value; below 1 if the tenant was over its share at arrival

  EmulatedClient(World simulation, long number, int typeIndex, int tenantIndex, int group, String zone, long lifeMicros,
      double valueFraction) {
    this.simulation = simulation;
    this.typeIndex = typeIndex;
    this.tenantIndex = tenantIndex;
    this.group = group;
    this.zone = zone;
    this.valueFraction = valueFraction;
    type = simulation.experiment.classes().get(typeIndex);
    clientKey = Long.toHexString(number);
    groupName = "g" + group;
    typicalLoad = type.load().toNanos() / 1000.0 * simulation.chance.logNormal(type.spread());
    load = typicalLoad * simulation.chance.logNormal(type.swing());
    behavior = simulation.chance.part();
    wantsFrom = simulation.time.now();
    wantsUntil = wantsFrom + lifeMicros;
    simulation.time.at(wantsUntil, this::disconnect);
  }

  /** Its current load, microseconds of work per second. */
  double load() {
    return load;
  }

  /** Value of a second of its connection. */
  double worth() {
    return type.worth() * valueFraction
        * (simulation.experiment.load().byWork() ? typicalLoad / simulation.usualLoad() : 1);
  }

  private boolean isDone() {
    return simulation.time.now() >= wantsUntil;
  }

  /** The request that it sends to a proxy. */
  InvocationRequest arrival() {
    return new InvocationRequest(type.name(), simulation.experiment.tenants().get(tenantIndex).name(), clientKey,
        groupName, type.deadline().toMillis(), simulation.experiment.load().hints() ? typicalLoad : 0, false,
        isReturning, null);
  }

  /** Connects to a proxy, unless its lifetime is over or it has a connection. */
  void connect() {
    if (isDone() || currentSession != null) {
      return;
    }
    EmulatedProxy proxy = simulation.front(this);
    if (proxy == null) {
      connectAfter(simulation.backoff(1));
      return;
    }
    long now = simulation.time.now();
    long deadline = now + type.deadline().toNanos() / 1000;
    Visit session = new Visit(this, proxy, now, deadline);
    currentSession = session;
    simulation.figures.asked();
    simulation.time.after(simulation.clientDelay(), () -> proxy.arrive(session));
    simulation.time.at(deadline, () -> expire(session));
  }

  /** The client's deadline has passed without a final answer. */
  private void expire(Visit session) {
    if (currentSession == session && session.answers == 0) {
      session.gaveUp = true;
      currentSession = null;
      simulation.checker.unanswered(session);
      simulation.time.after(simulation.clientDelay(), () -> session.proxy.clientLeft(session));
      connectAfter(simulation.backoff(++rejections));
    }
  }

  private void connectAfter(long delayMicros) {
    simulation.time.after(delayMicros, this::connect);
  }

  /** No proxy accepted the connection. */
  void refused(Visit session) {
    if (currentSession == session) {
      currentSession = null;
      connectAfter(simulation.backoff(1));
    }
  }

  /** The proxy has rejected or failed the request; {@code retryAfter} in microseconds, 0 for none. */
  void rejected(Visit session, long retryAfter) {
    if (currentSession != session) {
      return;
    }
    currentSession = null;
    rejections++;
    simulation.figures.rejected();
    if (behavior < simulation.experiment.clients().atOnce()) {
      connectAfter(1000);
    } else if (retryAfter > 0 && behavior > 1 - simulation.experiment.clients().honour()) {
      connectAfter(retryAfter);
    } else {
      connectAfter(simulation.backoff(rejections));
    }
  }

  /** The connection is established. */
  void served(Visit session) {
    if (currentSession != session || session.closed) {
      return;
    }
    rejections = 0;
    simulation.figures.served(this, simulation.time.now() - session.sentAt);
    simulation.time.after(simulation.chance.between(0, simulation.messagePeriod()), () -> sendMessage(session));
    simulation.time.after(nextLoadChange(), () -> changeLoad(session));
    if (isDone()) {
      disconnect();
    }
  }

  /** Sends a message; one that is answered in time counts as service until the next message. */
  private void sendMessage(Visit session) {
    if (currentSession != session || session.closed || session.joined == null || !session.proxy.holds(session.joined)) {
      return;
    }
    Attempt attempt = session.joined;
    session.proxy.asked(attempt);
    EmulatedProvider provider = attempt.provider;
    if (provider.answers(session.proxy)) {
      double micros = provider.messageTime(type);
      boolean inTime = micros <= type.message().toNanos() / 1000.0;
      if (inTime) {
        simulation.figures.good(this);
      }
      long delay = simulation.delay(provider.zone, session.proxy.zone);
      attempt.unansweredSince = 0;
      simulation.time.after(2 * delay + (long) micros, () -> session.proxy.returned(attempt));
    } else {
      simulation.checker.unanswered(attempt);
    }
    simulation.time.after(simulation.messagePeriod(), () -> sendMessage(session));
  }

  private long nextLoadChange() {
    return (long) (simulation.chance.exponential(type.change().toNanos() / 1000.0));
  }

  private void changeLoad(Visit session) {
    if (currentSession == session && !session.closed && session.joined != null) {
      load = typicalLoad * simulation.chance.logNormal(type.swing());
      session.joined.provider.loadChanged(session.joined, load);
      simulation.time.after(nextLoadChange(), () -> changeLoad(session));
    }
  }

  /** The connection has ended, by MOVE ({@code moved}) or otherwise. */
  void ended(Visit session, boolean moved) {
    if (currentSession == session) {
      currentSession = null;
      isReturning = true;
      simulation.figures.ended(moved);
      connectAfter(simulation.rejoin());
    }
  }

  /** The proxy has reset the connection. */
  void cut(Visit session) {
    ended(session, false);
  }

  /** Closes its connection, and connects again after this time in microseconds. */
  void drop(long reconnectMicros) {
    if (currentSession != null) {
      Visit session = currentSession;
      currentSession = null;
      isReturning = true;
      session.gaveUp = true;
      simulation.time.after(simulation.clientDelay(), () -> session.proxy.clientLeft(session));
      connectAfter(reconnectMicros);
    }
  }

  private void disconnect() {
    simulation.figures.wanted(this, wantsFrom, Math.min(simulation.time.now(), wantsUntil));
    simulation.gone(this);
    if (currentSession != null) {
      Visit session = currentSession;
      currentSession = null;
      session.gaveUp = true;
      simulation.time.after(simulation.clientDelay(), () -> session.proxy.clientLeft(session));
    }
  }

  /** The simulation ends within the client's lifetime. */
  void worldEnds() {
    simulation.figures.wanted(this, wantsFrom, simulation.time.now());
  }
}
