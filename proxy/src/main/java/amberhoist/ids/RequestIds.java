package amberhoist.ids;

import amberhoist.ids.IdTable.Key;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether the id of an open request may be used: by one connection at a time, and not again once its request
 * may have run, whether its client is still there or has left. A request that was never forwarded, or that each
 * provider has turned away, has not run, so that its id is free again. Times are those of the {@link IdTable}.
 * Confined to one thread.
 */
public final class RequestIds {
  /** Whether an id may be used. */
  public enum Admission {
    GRANTED,
    /** A connection with this id is open in this process. */
    IN_USE,
    /** A request with this id may have run, or is open in another process. */
    USED
  }

  private static final class OpenId {
    final long connectionId;
    final Key key; // null for a connection that was open before: its line starts nothing
    int possibleRuns; // attempts that were forwarded and not turned away

    OpenId(long connectionId, Key key) {
      this.connectionId = connectionId;
      this.key = key;
    }
  }

  private final Map<String, OpenId> open = new HashMap<>();
  private final IdTable table;

  /** Creates a registry on this table. */
  public RequestIds(IdTable table) {
    this.table = table;
  }

  /**
   * A client connection has sent an open request.
   *
   * @param isHandover whether the connection was open at a provider before, so that forwarding the line runs nothing
   */
  public Admission begin(String id, long connectionId, boolean isHandover, long now) {
    if (open.containsKey(id)) {
      return Admission.IN_USE;
    }
    Key key = isHandover ? null : Key.of(id);
    if (key != null && !table.claim(key, now)) {
      return Admission.USED;
    }
    open.put(id, new OpenId(connectionId, key));
    return Admission.GRANTED;
  }

  /** The request is forwarded to a provider: it may run from now on. */
  public void onForwarded(String id) {
    OpenId found = open.get(id);
    if (found != null) {
      found.possibleRuns++;
    }
  }

  /** The provider that the request was forwarded to last has turned it away: it has not run there. */
  public void onTurnedAway(String id) {
    OpenId found = open.get(id);
    if (found != null && found.possibleRuns > 0) {
      found.possibleRuns--;
    }
  }

  /** The client connection ends; does nothing if it does not hold the id. */
  public void end(String id, long connectionId, long now) {
    OpenId found = open.get(id);
    if (found == null || found.connectionId != connectionId) {
      return;
    }
    open.remove(id);
    if (found.key != null && found.possibleRuns > 0) {
      table.renew(found.key, now);
    } else if (found.key != null) {
      table.release(found.key);
    }
  }
}
