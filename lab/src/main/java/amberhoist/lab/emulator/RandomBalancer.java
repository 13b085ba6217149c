package amberhoist.lab.emulator;

import amberhoist.decide.Balancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Any ready provider, again on failure while attempts are left: a floor to measure the module from. */
final class RandomBalancer implements Balancer {
  private static final long LEAST = 1000; // micros that a call needs at least

  private final Map<String, Server> ready = new TreeMap<>();
  private final Map<Long, Request> owed = new HashMap<>();
  private SplittableRandom random = new SplittableRandom(0);
  private Settings settings;
  private Actions actions;
  private boolean closing;

  @Override
  public void start(long now, Settings theSettings, long seed, Actions theActions) {
    settings = theSettings;
    actions = theActions;
    random = new SplittableRandom(seed);
  }

  @Override
  public void configure(long now, Settings others) {
    settings = others;
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
    // it stands, and nothing is owed for it
  }

  @Override
  public void onRequest(long now, Request request) {
    owed.put(request.id(), request);
    call(now, request, 0);
  }

  private void call(long now, Request request, int attempts) {
    long left = request.deadline() - now;
    if (closing || ready.isEmpty() || attempts >= settings.maxAttempts() || left < LEAST) {
      owed.remove(request.id());
      actions.reject(request.id(), settings.maxRetryAfterMicros());
      return;
    }
    List<String> names = new ArrayList<>(ready.keySet());
    actions.startAttempt(request.id(), names.get(random.nextInt(names.size())), left - LEAST / 2);
  }

  @Override
  public void onEstablished(long now, long request, int attempt, long latency) {
    owed.remove(request);
  }

  @Override
  public void onAttemptEnded(long now, long request, int attempt, Outcome outcome, long latency, boolean closed) {
    Request it = owed.get(request);
    if (!closed && it != null) {
      call(now, it, attempt + 1);
    }
  }

  @Override
  public void onLoad(long now, long request, int attempt, double load) {
    // it places without regard to loads
  }

  @Override
  public void onQueueingDelay(long now, long request, int attempt, double micros) {
    // nor to delays
  }

  @Override
  public void onLoadReport(long now, String server, double heat) {
    // it asks for none
  }

  @Override
  public boolean shouldSend(long now, long request) {
    return true;
  }

  @Override
  public void stopAttempts(long now) {
    closing = true;
  }

  @Override
  public void onClientDisconnected(long now, long request) {
    owed.remove(request);
  }

  @Override
  public void suspend(long now, String server) {}

  @Override
  public void resume(long now, String server) {}

  @Override
  public void restoreAffinity(long now, Map<String, String> clients) {}

  @Override
  public boolean isExcluded(long now, String server) {
    return false;
  }

  @Override
  public void onTimer(long now, long token) {
    // it asks for none
  }
}
