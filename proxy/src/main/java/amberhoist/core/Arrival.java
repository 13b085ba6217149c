package amberhoist.core;

/**
 * What a front tells the core of an invocation that has arrived, whatever protocol it came in.
 *
 * @param type the class
 * @param tenant the account, null where there is none
 * @param key the flow's key
 * @param group the client or the group it belongs to, null where there is none
 * @param waitMillis how long the client waits for its answer
 * @param hint the guess at the load, microseconds of work a second, 0 where there is none
 * @param retry marked as a retry
 * @param returning the client's connection was moved or broke
 * @param provider where the connection already stands, null for a new one
 */
public record Arrival(String type, String tenant, String key, String group, long waitMillis, double hint,
    boolean retry, boolean returning, String provider) {}
