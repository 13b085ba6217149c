package amberhoist.core;

/**
 * A client's request for a connection, as a front hands it to the core, whatever protocol it came in.
 *
 * @param type the class of the request
 * @param tenant the account, null if there is none
 * @param key the affinity key of the flow
 * @param group the client or the group it belongs to, null if there is none
 * @param waitMillis how long the client waits for its answer
 * @param loadHint the expected load in microseconds of work per second, 0 if unknown
 * @param isRetry whether the client marked this as a retry
 * @param isReturning whether the client's connection was moved or broke
 * @param handoverProvider the provider that already has the connection, null for a new connection
 */
public record InvocationRequest(String type, String tenant, String key, String group, long waitMillis, double loadHint,
    boolean isRetry, boolean isReturning, String handoverProvider) {}
