/** Reads loads and delays out of the LOAD lines of providers. */
package amberhoist.core.load;
