package amberhoist.directory;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Where providers are to be reached from here, as the directory told last. It belongs to the loop's thread. */
public final class AddressBook {
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();

  /** Takes up news; replaces all that was known when {@code whole}. */
  public void update(Map<String, InetSocketAddress> news, boolean whole) {
    if (whole) {
      addresses.clear();
    }
    addresses.putAll(news);
  }

  /** The address of a provider, or null when none is known. */
  public InetSocketAddress of(String provider) {
    return addresses.get(provider);
  }
}
