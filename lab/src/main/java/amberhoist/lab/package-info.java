/** The laboratory: stand-ins for what surrounds a proxy, and the tools that play with them. Not in service. */
package amberhoist.lab;
