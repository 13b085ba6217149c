package amberhoist.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** What both sides of one connection have written and read. Times are those of {@link System#nanoTime}; thread-safe. */
final class ConnectionHistory {
  /** How a side saw its connection end. */
  enum SeenEnd {
    NONE,
    FIN,
    RESET
  }

  final String id;
  final ConnectionScript script;
  final long deadlineMillis;
  private final List<String> sentByClient = new ArrayList<>();
  private final List<String> readByClient = new ArrayList<>();
  private final List<String> sentByProvider = new ArrayList<>();
  private final List<String> readByProvider = new ArrayList<>();
  private long requestedAt;
  private String answer;
  private long answeredAt;
  private SeenEnd endSeenByClient = SeenEnd.NONE;
  private long clientEndAt;
  private SeenEnd endSeenByProvider = SeenEnd.NONE;
  private long providerEndedAt;
  private boolean clientHasEnded;

  ConnectionHistory(String id, ConnectionScript script, long deadlineMillis) {
    this.id = id;
    this.script = script;
    this.deadlineMillis = deadlineMillis;
  }

  synchronized void onRequested(long time) {
    requestedAt = time;
  }

  synchronized void onAnswered(long time, String line) {
    answeredAt = time;
    answer = line;
  }

  synchronized void onClientSent(String line) {
    sentByClient.add(line);
  }

  synchronized void onClientRead(String line) {
    readByClient.add(line);
  }

  synchronized void onProviderSent(String line) {
    sentByProvider.add(line);
  }

  synchronized void onProviderRead(String line) {
    readByProvider.add(line);
  }

  /** The client has ended its sending side or its connection. */
  synchronized void onClientEnded() {
    clientHasEnded = true;
  }

  synchronized void onEndSeenByClient(long time, SeenEnd end) {
    clientEndAt = time;
    endSeenByClient = end;
  }

  synchronized void onEndSeenByProvider(SeenEnd end) {
    endSeenByProvider = end;
  }

  /** The provider has ended its sending side or its connection. */
  synchronized void onProviderEnded(long time) {
    providerEndedAt = time;
  }

  /** A copy that no longer changes. */
  synchronized Snapshot snapshot() {
    return new Snapshot(id, script, deadlineMillis, List.copyOf(sentByClient), List.copyOf(readByClient),
        List.copyOf(sentByProvider), List.copyOf(readByProvider), requestedAt, answer, answeredAt, endSeenByClient,
        clientEndAt, endSeenByProvider, providerEndedAt, clientHasEnded);
  }

  /** The state of a history at one time; a time of 0 means that the event has not occurred. */
  record Snapshot(String id, ConnectionScript script, long deadlineMillis, List<String> sentByClient,
      List<String> readByClient, List<String> sentByProvider, List<String> readByProvider, long requestedAt,
      String answer, long answeredAt, SeenEnd endSeenByClient, long clientEndAt, SeenEnd endSeenByProvider,
      long providerEndedAt, boolean clientHasEnded) {
    boolean isEstablished() {
      return answer != null && answer.startsWith("UP ");
    }

    /** Whether the client was told to move by the proxy. */
    boolean isMoved() {
      return readByClient.contains("MOVE");
    }
  }
}
