/** Measures how the cost of parts of the proxy grows with size, and fits a line to the measured points. */
package amberhoist.lab.slope;
