package amberhoist.mgmt;

import java.util.List;

/**
 * One call of an operator, read whole.
 *
 * @param method such as {@code GET}
 * @param path the path's segments, percent-decoded; the query is left out
 */
public record Call(String method, List<String> path) {}
