/** The lab: stub peers, simulations and measurements for testing a proxy. Not used in production. */
package amberhoist.lab;
