/**
 * Distribution of the fleet's policy from a few controllers to thousands of proxies. The controllers agree on a change
 * with {@link amberhoist.group} (see {@code controller}); each is a {@link amberhoist.distribution.Distributor} that
 * serves documents and short leases to its {@link amberhoist.distribution.Subscriber}s. The package does no I/O and
 * reads no clock: every call is passed the time, in microseconds of the caller's own monotonic clock. Package
 * {@code wire} encodes the messages. Design: {@code docs/design/distribution.md}.
 */
package amberhoist.distribution;
