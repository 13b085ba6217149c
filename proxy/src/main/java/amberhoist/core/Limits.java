package amberhoist.core;

import java.util.Set;

/**
 * Figures of the deployment that only the proxy needs, in microseconds.
 *
 * @param dial a provider connection not standing by then could not connect
 * @param longest the longest time that a client waits
 * @param types the classes that the settings name; none means any
 * @param tenants the tenants that they name; none means any
 */
public record Limits(long dial, long longest, Set<String> types, Set<String> tenants) {
  boolean names(Arrival arrival) {
    return (types.isEmpty() || types.contains(arrival.type()))
        && (tenants.isEmpty() || arrival.tenant() != null && tenants.contains(arrival.tenant()));
  }
}
