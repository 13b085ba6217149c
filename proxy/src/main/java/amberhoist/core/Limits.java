package amberhoist.core;

import java.util.Set;

/**
 * Limits of the deployment that only the proxy applies. Times are in microseconds.
 *
 * @param connectTimeoutMicros timeout for connecting to a provider
 * @param maxClientWaitMicros the maximum time that a client waits for its answer
 * @param classes the known classes; empty if any is accepted
 * @param tenants the known tenants; empty if any is accepted
 */
public record Limits(long connectTimeoutMicros, long maxClientWaitMicros, Set<String> classes, Set<String> tenants) {
  boolean allows(InvocationRequest request) {
    return (classes.isEmpty() || classes.contains(request.type()))
        && (tenants.isEmpty() || request.tenant() != null && tenants.contains(request.tenant()));
  }
}
