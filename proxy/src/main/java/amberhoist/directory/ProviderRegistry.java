package amberhoist.directory;

import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The providers of the directory's latest update, and their addresses. Confined to the event loop's thread. */
public final class ProviderRegistry {
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final Map<String, Server> listedProviders = new TreeMap<>();
  private long revision;

  /**
   * Applies an update. A snapshot replaces all known providers, except those whose entry in it could not be read.
   *
   * @return the entries of the update; for a snapshot also the previous entries that are kept
   */
  public List<Server> update(DirectoryUpdate update) {
    revision++;
    List<Server> entries = new ArrayList<>(update.providers());
    if (update.snapshot()) {
      addresses.keySet().retainAll(update.unreadable());
      listedProviders.keySet().retainAll(update.unreadable());
      entries.addAll(listedProviders.values());
    }
    addresses.putAll(update.addresses());
    for (Server server : update.providers()) {
      if (server.state() == ServerState.GONE) {
        listedProviders.remove(server.name());
      } else {
        listedProviders.put(server.name(), server);
      }
    }
    return entries;
  }

  /** The number of updates that have been applied. */
  public long revision() {
    return revision;
  }

  /** The address of a provider, or null if it is not known. */
  public InetSocketAddress addressOf(String provider) {
    return addresses.get(provider);
  }

  /** The providers that have not left, in order of their names. */
  public List<Server> listedProviders() {
    return new ArrayList<>(listedProviders.values());
  }
}
