package amberhoist.upgrade;

import java.util.Optional;
import java.util.Set;

/**
 * What this process has applied of the shared record. A change is due because it has not been applied yet, whichever
 * read or update of the record has brought it; two readings of the record are never compared with each other. Does no
 * I/O; confined to one thread.
 */
final class AppliedRecord {
  private Set<String> suspensions; // null before the first record

  /** Returns the suspended providers if they are to be applied, and counts them as applied from then on. */
  Optional<Set<String>> takeSuspensions(UpgradeRecord record) {
    if (record.suspended().equals(suspensions)) {
      return Optional.empty();
    }
    suspensions = record.suspended();
    return Optional.of(suspensions);
  }
}
