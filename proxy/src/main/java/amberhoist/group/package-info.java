/**
 * Agreement among the instances of a fleet: members, the durable log, one member. Decisions only: sockets, files,
 * threads and clock come from outside ({@code docs/design/policy.md}). Nothing of it is loaded where no group is
 * configured.
 */
package amberhoist.group;
