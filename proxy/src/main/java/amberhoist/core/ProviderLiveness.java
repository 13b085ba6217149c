package amberhoist.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Tracks whether one provider still returns lines, over all its established connections. When a whole machine has
 * vanished or hung, this shows sooner on all connections together than on each by itself.
 */
final class ProviderLiveness {
  private static final int MIN_SILENT_CONNECTIONS = 2;

  private final Set<Long> establishedIds = new LinkedHashSet<>();
  private final Set<Long> unansweredIds = new LinkedHashSet<>();
  private long lastLineAt;

  void addConnection(long invocationId, long now) {
    establishedIds.add(invocationId);
    lastLineAt = now;
  }

  void onClientLine(long invocationId) {
    unansweredIds.add(invocationId);
  }

  void onProviderLine(long invocationId, long now) {
    unansweredIds.remove(invocationId);
    lastLineAt = now;
  }

  void removeConnection(long invocationId) {
    establishedIds.remove(invocationId);
    unansweredIds.remove(invocationId);
  }

  /**
   * Whether several connections wait for a line and none has had one within the timeout. A healthy provider returns
   * lines within 50 ms at any load; ten times that on several connections is conclusive even after a stall here.
   *
   * @param isHeldBack whether the lines of an invocation are not read now, so that its wait shows nothing
   */
  boolean isSilent(long now, long timeoutMicros, LongPredicate isHeldBack) {
    return now - lastLineAt >= timeoutMicros
        && unansweredIds.stream().filter(id -> !isHeldBack.test(id)).count() >= MIN_SILENT_CONNECTIONS;
  }

  /** A copy of the ids of the invocations established with the provider. */
  List<Long> invocationIds() {
    return new ArrayList<>(establishedIds);
  }

  boolean isEmpty() {
    return establishedIds.isEmpty();
  }
}
