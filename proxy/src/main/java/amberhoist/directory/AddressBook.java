package amberhoist.directory;

import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.State;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The providers of the directory's latest update, and their addresses. Confined to the event loop's thread. */
public final class AddressBook {
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final Map<String, Server> listed = new TreeMap<>();

  /**
   * Applies an update. A snapshot replaces all known providers, except those whose entry in it could not be read.
   *
   * @return the entries of the update; for a snapshot also the previous entries that are kept
   */
  public List<Server> update(News update) {
    List<Server> entries = new ArrayList<>(update.providers());
    if (update.whole()) {
      addresses.keySet().retainAll(update.unread());
      listed.keySet().retainAll(update.unread());
      entries.addAll(listed.values());
    }
    addresses.putAll(update.addresses());
    for (Server server : update.providers()) {
      if (server.state() == State.GONE) {
        listed.remove(server.name());
      } else {
        listed.put(server.name(), server);
      }
    }
    return entries;
  }

  /** The address of a provider, or null if it is not known. */
  public InetSocketAddress of(String provider) {
    return addresses.get(provider);
  }

  /** The providers that have not left, in order of their names. */
  public List<Server> listed() {
    return new ArrayList<>(listed.values());
  }
}
