/**
 * A soak test of the ends of connections: a proxy process with stand-ins on loopback, seeded scripts of how each
 * connection ends, and a checker of what each side was owed.
 */
package amberhoist.lab.soak;
