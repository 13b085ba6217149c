/**
 * The fleet's controllers, which are members of the consensus group or replicas of its state, and the messages between
 * them. Each is the {@link amberhoist.distribution.Distributor} for a part of the proxies.
 */
package amberhoist.distribution.controller;
