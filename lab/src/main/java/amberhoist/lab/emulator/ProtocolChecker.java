package amberhoist.lab.emulator;

import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Observes everything that passes between clients, proxies and providers, and checks it against the rules of the
 * protocol, without knowledge of the implementation:
 *
 * <ul>
 *   <li>each client gets one final answer, by its deadline;
 *   <li>an invocation has at most one attempt in flight;
 *   <li>no attempt goes to a draining provider later than 500 ms after the update that announced the drain;
 *   <li>a cold provider does not get more attempts than its budget;
 *   <li>clients of a silent provider are moved within 7 s;
 *   <li>the end of a provider's connection ends the client's within 1 s;
 *   <li>a proxy does not cut off an established client without {@code MOVE}.
 * </ul>
 */
public final class ProtocolChecker {
  static final int UP = 1;
  static final int REJECTED = 2;
  static final int FAILED = 3;
  private static final int SENT = 4;
  private static final int MAX_KEPT_VIOLATIONS = 20;
  private static final long TOLERANCE_MICROS = 50_000; // beyond each time limit
  private static final long DRAIN_GRACE_MICROS = 500_000;
  private static final long MAX_SILENCE_MICROS = 7_000_000;
  private static final long MAX_END_DELAY_MICROS = 1_000_000;
  /**
   * Tolerance on a cold provider's budget of N attempts: this many times the square root of N, plus this many. Proxies
   * share no state, so attempts of all of them within their parts of the budget coincide at random, and a run has
   * hundreds of windows in which that can occur.
   */
  private static final double BUDGET_DEVIATIONS = 2;
  /**
   * Exceeding a cold provider's budget is a violation only if at least this fraction of the attempts came from proxies
   * that knew of its start.
   */
  private static final double MIN_INFORMED_FRACTION = 2 / 3.0;

  /**
   * A broken rule.
   *
   * @param atMicros since the start of the run
   * @param subject the client, proxy or provider concerned
   */
  public record Violation(long atMicros, String rule, String subject) {
    @Override
    public String toString() {
      return String.format("%.3f s: %s: %s", atMicros / 1e6, rule, subject);
    }
  }

  private final Simulation simulation;
  private final Map<String, ProviderKnowledge> knowledge = new HashMap<>(); // by "proxy/provider"
  private final Map<String, ArrayDeque<ColdAttempt>> coldAttempts = new HashMap<>();
  private final List<Violation> firstViolations = new ArrayList<>();
  private long violationCount;

  ProtocolChecker(Simulation simulation) {
    this.simulation = simulation;
  }

  /** The number of violations. */
  public long violationCount() {
    return violationCount;
  }

  /** The first violations, at most 20, in order of time. */
  public List<Violation> violations() {
    return firstViolations;
  }

  private void report(String rule, String subject) {
    violationCount++;
    if (firstViolations.size() < MAX_KEPT_VIOLATIONS) {
      firstViolations.add(new Violation(simulation.time.now() - Simulation.START_MICROS, rule, subject));
    }
  }

  private static String describe(ClientSession session) {
    return "client " + session.client.openRequest().key() + " at proxy " + session.proxy.index;
  }

  /** An open request received by a cold provider; {@code startKnown} if its proxy knew of the provider's start. */
  private record ColdAttempt(long receivedAt, boolean startKnown) {
  }

  /** What a proxy knows of a provider: its latest start, and since when it is not ready, 0 if it is ready. */
  private record ProviderKnowledge(long startedAt, long drainingSince) {
  }

  /** A proxy has started with this list; what it knew before a restart is discarded. */
  void onProxyStarted(EmulatedProxy proxy, List<Server> servers) {
    knowledge.keySet().removeIf(pair -> pair.startsWith(proxy.index + "/"));
    servers.forEach(server -> onDirectoryUpdate(proxy, server));
  }

  /** A proxy receives a directory update. Updates may be reordered: one from before the latest start is ignored. */
  void onDirectoryUpdate(EmulatedProxy proxy, Server server) {
    knowledge.merge(proxy.index + "/" + server.name(), new ProviderKnowledge(server.startedAt(),
        server.state() == ServerState.READY ? 0 : simulation.time.now()),
        (previous, update) -> update.startedAt() < previous.startedAt() ? previous
            : update.drainingSince() > 0 && previous.drainingSince() > 0
                ? new ProviderKnowledge(update.startedAt(), previous.drainingSince()) : update);
  }

  private ProviderKnowledge knowledgeOf(Attempt attempt) {
    return knowledge.getOrDefault(attempt.proxy.index + "/" + attempt.provider.name, new ProviderKnowledge(0, 0));
  }

  /** A proxy sends an attempt's open request to a provider. */
  void onOpenRequestSent(Attempt attempt) {
    simulation.eventHash.add(SENT, simulation.time.now(), attempt.proxy.index, attempt.provider.name.hashCode());
    if (attempt.session.attemptsInFlight > 0) {
      report("two attempts out", describe(attempt.session));
    }
    long drainingSince = knowledgeOf(attempt).drainingSince();
    if (drainingSince > 0 && simulation.time.now() - drainingSince > DRAIN_GRACE_MICROS + TOLERANCE_MICROS) {
      report("sent to a draining provider", attempt.provider.name + " by proxy " + attempt.proxy.index);
    }
  }

  /** A proxy sends a client a final answer of this kind: {@link #UP}, {@link #REJECTED} or {@link #FAILED}. */
  void onFinalAnswer(ClientSession session, int kind) {
    long now = simulation.time.now();
    simulation.eventHash.add(kind, now, session.proxy.index, session.id);
    session.answerCount++;
    if (session.answerCount > 1) {
      report("a second final answer", describe(session));
    }
    if (now > session.deadline + TOLERANCE_MICROS) {
      report("an answer too late", describe(session));
    }
  }

  /** A client's deadline has expired; a proxy that is still running must have answered it. */
  void onUnanswered(ClientSession session) {
    simulation.time.runAfter(TOLERANCE_MICROS, () -> {
      if (session.answerCount == 0 && session.invocationId != 0 && session.proxy.isRunning()
          && session.proxy.incarnation() == session.incarnation) {
        report("no final answer", describe(session));
      }
    });
  }

  /** A message of an established client gets no answer; its proxy must end or move the connection within 7 s. */
  void onUnanswered(Attempt attempt) {
    long now = simulation.time.now();
    if (attempt.unansweredSince == 0) {
      attempt.unansweredSince = now;
    } else if (now - attempt.unansweredSince > MAX_SILENCE_MICROS + TOLERANCE_MICROS) {
      report("a silent provider's client not moved", describe(attempt.session));
      attempt.unansweredSince = now; // reported once per period
    }
  }

  /** A proxy has seen the end of an established provider connection; it must end the client's within a second. */
  void onProviderEnded(Attempt attempt) {
    ClientSession session = attempt.session;
    simulation.time.runAfter(MAX_END_DELAY_MICROS + TOLERANCE_MICROS, () -> {
      if (!session.closed && !session.closedByClient && session.proxy.isRunning()
          && session.proxy.incarnation() == session.incarnation) {
        report("a client outlives its provider's end", describe(session));
      }
    });
  }

  /** A proxy has closed an established client connection without {@code MOVE}. */
  void onCutOff(ClientSession session) {
    report("a client cut off without MOVE", describe(session));
  }

  /** A provider has restarted. */
  void onProviderStarted(EmulatedProvider provider) {
    coldAttempts.remove(provider.name);
  }

  /**
   * A provider has received an open request. A cold provider must not get more than its budget from proxies that know
   * of its start; proxies that have not yet received the update cannot take it into account.
   */
  void onOpenRequestReceived(Attempt attempt) {
    EmulatedProvider provider = attempt.provider;
    if (!provider.isCold()) {
      return;
    }
    ArrayDeque<ColdAttempt> attempts = coldAttempts.computeIfAbsent(provider.name, any -> new ArrayDeque<>());
    long now = simulation.time.now();
    long window = simulation.experiment.fleet().coldWindow().toNanos() / 1000;
    attempts.add(new ColdAttempt(now, knowledgeOf(attempt).startedAt() >= provider.restartedAt()));
    while (attempts.peek().receivedAt() <= now - window) {
      attempts.poll();
    }
    double budget = simulation.experiment.fleet().coldMultiple() * simulation.newConnectionsPerSecond(provider)
        * provider.warmFraction() * window / 1e6;
    budget += BUDGET_DEVIATIONS * Math.sqrt(budget) + BUDGET_DEVIATIONS;
    simulation.figures.coldPeak = Math.max(simulation.figures.coldPeak, attempts.size() / budget);
    if (attempts.size() > budget) {
      long informed = attempts.stream().filter(ColdAttempt::startKnown).count();
      if (informed >= MIN_INFORMED_FRACTION * attempts.size()) {
        report("a cold provider over its budget", provider.name + ": " + attempts.size() + " over "
            + Math.round(budget * 10) / 10.0);
      }
      attempts.clear(); // the provider counts as overloaded; start a new window
    }
  }
}
