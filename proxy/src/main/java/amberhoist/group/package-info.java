/**
 * The consensus group in which the instances of a fleet agree on the policy: a Raft node by the MicroRaft library, its
 * state machine and its durable log. Transport, executor, storage and clock are passed in
 * ({@code docs/design/policy.md}). No class of this package is loaded where no group is configured.
 */
package amberhoist.group;
