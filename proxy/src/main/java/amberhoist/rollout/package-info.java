/** What a change of policy is and when it holds ({@code docs/design/policy.md}): no I/O, no clock. */
package amberhoist.rollout;
