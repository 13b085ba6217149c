package amberhoist.lab.emulator;

import amberhoist.decide.Balancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Baseline for comparisons: picks any ready server at random, and retries on failure while attempts are left. */
final class RandomBalancer implements Balancer {
  private static final long MIN_ATTEMPT_MICROS = 1000; // no attempt starts with less time left

  private final Map<String, Server> ready = new TreeMap<>();
  private final Map<Long, Request> unanswered = new HashMap<>();
  private SplittableRandom random = new SplittableRandom(0);
  private Settings settings;
  private Actions actions;
  private boolean stopped;

  @Override
  public void start(long now, Settings newSettings, long seed, Actions newActions) {
    settings = newSettings;
    actions = newActions;
    random = new SplittableRandom(seed);
  }

  @Override
  public void configure(long now, Settings newSettings) {
    settings = newSettings;
  }

  @Override
  public void onServerList(long now, ListUpdateKind kind, List<Server> servers) {
    if (kind == ListUpdateKind.FULL || kind == ListUpdateKind.STALE) {
      ready.clear();
    }
    for (Server server : servers) {
      if (server.state() == ServerState.READY) {
        ready.put(server.name(), server);
      } else {
        ready.remove(server.name());
      }
    }
  }

  @Override
  public void onHandover(long now, Request request, String server) {
    // the connection exists; there is no request to answer
  }

  @Override
  public void onRequest(long now, Request request) {
    unanswered.put(request.id(), request);
    startAttempt(now, request, 0);
  }

  private void startAttempt(long now, Request request, int attempt) {
    long remaining = request.deadline() - now;
    if (stopped || ready.isEmpty() || attempt >= settings.maxAttempts() || remaining < MIN_ATTEMPT_MICROS) {
      unanswered.remove(request.id());
      actions.reject(request.id(), settings.maxRetryAfterMicros());
      return;
    }
    List<String> names = new ArrayList<>(ready.keySet());
    actions.startAttempt(request.id(), names.get(random.nextInt(names.size())), remaining - MIN_ATTEMPT_MICROS / 2);
  }

  @Override
  public void onEstablished(long now, long requestId, int attempt, long latencyMicros) {
    unanswered.remove(requestId);
  }

  @Override
  public void onAttemptEnded(long now, long requestId, int attempt, Outcome outcome, long latencyMicros,
      boolean clientClosed) {
    Request request = unanswered.get(requestId);
    if (!clientClosed && request != null) {
      startAttempt(now, request, attempt + 1);
    }
  }

  @Override
  public void onLoad(long now, long requestId, int attempt, double load) {
    // loads are ignored
  }

  @Override
  public void onQueueingDelay(long now, long requestId, int attempt, double delayMicros) {
    // queueing delays are ignored
  }

  @Override
  public void onLoadReport(long now, String server, double utilization) {
    // none is requested
  }

  @Override
  public boolean shouldSend(long now, long requestId) {
    return true;
  }

  @Override
  public void stopAttempts(long now) {
    stopped = true;
  }

  @Override
  public void onClientDisconnected(long now, long requestId) {
    unanswered.remove(requestId);
  }

  @Override
  public void suspend(long now, String server) {}

  @Override
  public void resume(long now, String server) {}

  @Override
  public void restoreAffinity(long now, Map<String, String> serversByClient) {}

  @Override
  public boolean isExcluded(long now, String server) {
    return false;
  }

  @Override
  public void onTimer(long now, long token) {
    // none is scheduled
  }
}
