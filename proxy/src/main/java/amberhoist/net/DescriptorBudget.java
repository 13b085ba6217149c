package amberhoist.net;

import amberhoist.net.Connection.Role;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Who holds descriptors, and who has to give one up. Guards against clients that connect and say nothing, or
 * never close, taking the descriptors that usual clients need: a client counts twice from its first line on,
 * for the provider connection that it will want, and while that does not fit, one that nothing is owed goes: the
 * oldest that has been answered, else the one that has been silent longest.
 */
public final class DescriptorBudget {
  private static final int SPARE = 16;

  private final Set<Connection> fresh = new LinkedHashSet<>(); // no whole first line yet, the longest silent first
  private final Set<Connection> ending = new LinkedHashSet<>(); // answered; the peer has not ended its side
  private final Consumer<Connection> evict;
  private int clients;
  private int providers;
  private int most;

  /** A descriptors that ends connections in this way; they leave it on that occasion. */
  public DescriptorBudget(Consumer<Connection> evict) {
    this.evict = evict;
  }

  /** Holds so many at most from now on; those served above that are not cut off. */
  public void limit(int descriptors) {
    most = descriptors;
  }

  /** An accepted connection. */
  void arrived(Connection c) {
    fresh.add(c);
  }

  /** Bytes have come from one that has not asked yet. Guards against slow clients going before a crowd of idle ones. */
  void heard(Connection c) {
    if (fresh.remove(c)) {
      fresh.add(c);
    }
  }

  /** A connection now belongs to an invocation: a client after its first line, or one to a provider. */
  void taken(Connection c) {
    fresh.remove(c);
    count(c, 1);
  }

  /** A connection is being ended, and is held until its peer ends it too. */
  void ends(Connection c) {
    if (!fresh.remove(c)) {
      count(c, -1);
    }
    ending.add(c);
  }

  /** A connection is closed. */
  void left(Connection c) {
    if (!ending.remove(c) && !fresh.remove(c)) {
      count(c, -1);
    }
  }

  private void count(Connection c, int by) {
    if (c.role == Role.PROVIDER) {
      providers += by;
    } else {
      clients += by;
    }
  }

  /** Makes room for so many descriptors more, as far as that goes; whether there is room now. */
  public boolean room(int wanted) {
    while (held() + wanted > most) {
      Iterator<Connection> oldest = (ending.isEmpty() ? fresh : ending).iterator();
      if (!oldest.hasNext()) {
        return false;
      }
      evict.accept(oldest.next());
    }
    return true;
  }

  /** Whether those that are served leave too little to accept and answer others with. */
  public boolean crowded() {
    return served() + SPARE > most;
  }

  /** How many descriptors are held, with those that clients will want. */
  public int held() {
    return fresh.size() + ending.size() + served();
  }

  private int served() {
    return clients + Math.max(clients, providers);
  }
}
