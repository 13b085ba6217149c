package amberhoist.net;

import amberhoist.net.Connection.Role;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tracks which connections hold file descriptors and evicts some when descriptors run short, so that clients that stay
 * idle or never close do not take the descriptors that other clients need. From its open request on, a client counts
 * twice, since it will need a provider connection as well. Only connections that are owed no answer are evicted: first
 * the oldest of those to which everything is written, then the client that has been idle longest before its open
 * request, and last the oldest for which bytes or a reset are still to be sent.
 */
public final class DescriptorBudget {
  private static final int SPARE_DESCRIPTORS = 16;
  private static final int MIN_REJECTION_DESCRIPTORS = 8; // beyond the limit if need be, out of the process's own

  /** Clients that have not sent their open request yet, longest idle first. */
  private final Set<Connection> pendingClients = new LinkedHashSet<>();

  /** Connections being ended whose peer has not ended its side yet, oldest first. */
  private final Set<Connection> finishing = new LinkedHashSet<>();

  private final Consumer<Connection> evict;
  private int clients;
  private int providers;
  private int maxDescriptors;

  /** Creates a budget; {@code evict} must close the connection, which removes it from this budget. */
  public DescriptorBudget(Consumer<Connection> evict) {
    this.evict = evict;
  }

  /** Sets the maximum number of descriptors; connections served beyond it are kept. */
  public void setLimit(int newMaximum) {
    maxDescriptors = newMaximum;
  }

  /** A connection has been accepted. */
  void onAccepted(Connection connection) {
    pendingClients.add(connection);
  }

  /** A client has sent bytes before its open request; makes idle clients be evicted before slow ones. */
  void onInput(Connection connection) {
    if (pendingClients.remove(connection)) {
      pendingClients.add(connection);
    }
  }

  /** A connection now serves an invocation: a client after its open request, or a connection to a provider. */
  void onAssigned(Connection connection) {
    pendingClients.remove(connection);
    count(connection, 1);
  }

  /** A connection is being ended and is held until its peer ends it too. */
  void onFinishing(Connection connection) {
    if (!pendingClients.remove(connection)) {
      count(connection, -1);
    }
    finishing.add(connection);
  }

  /** A connection has been closed. */
  void onClosed(Connection connection) {
    if (!finishing.remove(connection) && !pendingClients.remove(connection)) {
      count(connection, -1);
    }
  }

  private void count(Connection connection, int delta) {
    if (connection.role == Role.PROVIDER) {
      providers += delta;
    } else {
      clients += delta;
    }
  }

  /**
   * Evicts connections until one more client can be accepted. Where the connections being served leave no room, because
   * the limit was lowered under them, a few clients at a time are accepted all the same, to be rejected: a client that
   * is not accepted would get neither an answer nor a close.
   */
  void makeRoomForClient() {
    evictUnserved(Math.max(maxDescriptors - descriptorsServed(), MIN_REJECTION_DESCRIPTORS) - 1);
  }

  /**
   * Evicts connections until the others and those being served are within the limit.
   *
   * @return false, and none is evicted, if those being served alone exceed it
   */
  public boolean makeRoom() {
    if (isExceeded()) {
      return false;
    }
    evictUnserved(maxDescriptors - descriptorsServed());
    return true;
  }

  private void evictUnserved(int maxUnserved) {
    while (pendingClients.size() + finishing.size() > maxUnserved) {
      evict.accept(nextEvicted());
    }
  }

  private Connection nextEvicted() {
    for (Connection connection : finishing) {
      if (connection.queuedBytes == 0 && !connection.resetWhenWritten) {
        return connection;
      }
    }
    return (pendingClients.isEmpty() ? finishing : pendingClients).iterator().next();
  }

  /** Whether the connections being served alone need more descriptors than the limit allows. */
  public boolean isExceeded() {
    return descriptorsServed() > maxDescriptors;
  }

  /** Whether the connections being served leave too few descriptors to accept and answer further clients. */
  public boolean isNearlyExhausted() {
    return descriptorsServed() + SPARE_DESCRIPTORS > maxDescriptors;
  }

  /** The number of descriptors held, including those reserved for the provider connections of clients. */
  public int held() {
    return pendingClients.size() + finishing.size() + descriptorsServed();
  }

  private int descriptorsServed() {
    return clients + Math.max(clients, providers);
  }
}
