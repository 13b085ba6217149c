package amberhoist.directory;

import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.State;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The providers as the directory told last, and where they are reached. It belongs to the loop's thread. */
public final class AddressBook {
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final Map<String, Server> listed = new TreeMap<>();

  /**
   * Takes up news; replaces all that was known when they are the whole list, but for what could not be read of it.
   *
   * @return the entries, of a whole list also those that stay as they were
   */
  public List<Server> update(News news) {
    List<Server> entries = new ArrayList<>(news.providers());
    if (news.whole()) {
      addresses.keySet().retainAll(news.unread());
      listed.keySet().retainAll(news.unread());
      entries.addAll(listed.values());
    }
    addresses.putAll(news.addresses());
    for (Server server : news.providers()) {
      if (server.state() == State.GONE) {
        listed.remove(server.name());
      } else {
        listed.put(server.name(), server);
      }
    }
    return entries;
  }

  /** The address of a provider, or null when none is known. */
  public InetSocketAddress of(String provider) {
    return addresses.get(provider);
  }

  /** The providers that have not left, by name. */
  public List<Server> listed() {
    return new ArrayList<>(listed.values());
  }
}
