/**
 * Scale tests of the control plane in virtual time: real controllers, distributors and subscribers under faults, with
 * control-plane-only proxies, which relay no traffic. A checker verifies the rules, and mutants test the checker.
 */
package amberhoist.lab.scale;
