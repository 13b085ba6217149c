package amberhoist.service;

import amberhoist.config.PlatformConfig;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import amberhoist.mgmt.ManagementServer;
import amberhoist.net.DescriptorBudget;

/**
 * Divides the limit on file descriptors between the process itself, its connections and the other processes of an
 * upgrade. Confined to the event loop's thread.
 */
final class DescriptorLimits {
  /** 12 of the JVM and its channel group, three directory watches, a file, and 8 for clients that are rejected. */
  private static final int OWN_DESCRIPTORS = 24;

  private static final int MIN_CONNECTION_DESCRIPTORS = 18;

  private final DescriptorBudget budget;
  private final EventLog log;
  private int heldByOthers;

  DescriptorLimits(DescriptorBudget budget, EventLog log) {
    this.budget = budget;
    this.log = log;
  }

  /** Sets the number of descriptors that the other processes of this proxy hold; {@link #apply} makes use of it. */
  void setHeldByOthers(int descriptors) {
    heldByOthers = descriptors;
  }

  /** Limits the connections by this configuration; returns the number of descriptors that this process holds. */
  int apply(PlatformConfig platform) {
    int reserved = reserved(platform);
    int limit = platform.maxDescriptors();
    int held = reserved + budget.held();
    if (heldByOthers > 0) { // during an upgrade each process may take half of what none holds yet
      limit = held + Math.max(0, limit - heldByOthers - held) / 2;
    }
    budget.setLimit(Math.max(MIN_CONNECTION_DESCRIPTORS, limit - reserved));
    return held;
  }

  /** Logs whether the limit is less than the proxy needs, or less than its connections hold. */
  void logShortage(PlatformConfig platform) {
    int reserved = reserved(platform);
    int limit = platform.maxDescriptors();
    int least = reserved + MIN_CONNECTION_DESCRIPTORS;
    if (limit < least) {
      log.log(Event.LIMITS_RAISED, "the limit on descriptors is too low", "limit", limit, "least", least);
    }
    if (budget.isExceeded()) {
      log.log(Event.LIMITS_EXCEEDED, "connections hold more descriptors than the limit", "limit", limit, "held",
          reserved + budget.held());
    }
  }

  /** The number of descriptors that the process needs besides its connections. */
  static int reserved(PlatformConfig platform) {
    return OWN_DESCRIPTORS + (platform.managementAddress() == null ? 0 : ManagementServer.MAX_DESCRIPTORS);
  }
}
