package amberhoist.core;

import java.util.Set;

/**
 * Limits of the deployment that only the proxy applies. Times are in microseconds.
 *
 * @param dial timeout for connecting to a provider
 * @param longest the longest time that a client waits for its answer
 * @param types the known classes; empty if any is accepted
 * @param tenants the known tenants; empty if any is accepted
 */
public record Limits(long dial, long longest, Set<String> types, Set<String> tenants) {
  boolean names(Arrival request) {
    return (types.isEmpty() || types.contains(request.type()))
        && (tenants.isEmpty() || request.tenant() != null && tenants.contains(request.tenant()));
  }
}
