package amberhoist.upgrade;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What this process has applied of the shared record. A change is due because it has not been applied yet, whichever
 * read or update of the record has brought it; two readings of the record are never compared with each other. Does no
 * I/O; confined to one thread.
 */
final class AppliedRecord {
  private final String token;
  private Set<String> suspensions; // null before the first record
  private Map<String, String> foreignBindings = Map.of(); // stored for another process, before this one joined

  /** Creates the state of the process with this token, which has applied nothing yet. */
  AppliedRecord(String token) {
    this.token = token;
  }

  /** This process has joined the others by storing this record. */
  void join(UpgradeRecord record) {
    foreignBindings = record.bindings();
  }

  /**
   * Takes note of a record that this process has read or stored. Returns the suspended providers if they are to be
   * applied, and counts them as applied from then on.
   */
  Optional<Set<String>> observe(UpgradeRecord record) {
    if (!record.bindings().equals(foreignBindings)) {
      foreignBindings = Map.of();
    }
    if (record.suspended().equals(suspensions)) {
      return Optional.empty();
    }
    suspensions = record.suspended();
    return Optional.of(suspensions);
  }

  /**
   * Whether the record holds bindings for this process, once it serves: clients are moved to the process that has
   * started last. The process that applies bindings takes them out of the record, so that equal ones are due again when
   * another process stores them.
   */
  boolean areBindingsDue(UpgradeRecord record) {
    return !record.bindings().isEmpty() && foreignBindings.isEmpty() && !record.hasSuccessor(token);
  }
}
