package amberhoist.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a provider still returns lines, from all connections joined to it. Guards against waiting on each
 * connection by itself when the whole machine has vanished or hung: its silence shows sooner on all of them.
 */
final class Pulse {
  private static final int WITNESSES = 2;

  private final Set<Long> joined = new LinkedHashSet<>();
  private final Set<Long> unanswered = new LinkedHashSet<>();
  private long returned;

  void join(long invocation, long now) {
    joined.add(invocation);
    returned = now;
  }

  void asked(long invocation) {
    unanswered.add(invocation);
  }

  void returned(long invocation, long now) {
    unanswered.remove(invocation);
    returned = now;
  }

  void end(long invocation) {
    joined.remove(invocation);
    unanswered.remove(invocation);
  }

  /**
   * Whether nothing has come on any connection for so long that the provider must be lost. A sound provider
   * returns lines within 50 ms at any load, as measured; several not returned for ten times that tell enough,
   * also when this process stood still for a moment.
   */
  boolean silent(long now, long quiet) {
    return unanswered.size() >= WITNESSES && now - returned >= quiet;
  }

  List<Long> joined() {
    return new ArrayList<>(joined);
  }

  boolean idle() {
    return joined.isEmpty();
  }
}
