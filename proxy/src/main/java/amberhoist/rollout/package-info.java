/**
 * The state of the fleet's policy and the rules by which a change comes into force ({@code docs/design/policy.md}): no
 * I/O, no clock.
 */
package amberhoist.rollout;
