package amberhoist.mgmt;

import java.util.List;

/**
 * A request to the management API.
 *
 * @param method the HTTP method, such as {@code GET}
 * @param path the segments of the path, percent-decoded, without the query
 */
public record ManagementRequest(String method, List<String> path) {}
