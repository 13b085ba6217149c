/** Simulation of a group: real members under faults in virtual time, and a checker of their histories. */
package amberhoist.lab.group;
