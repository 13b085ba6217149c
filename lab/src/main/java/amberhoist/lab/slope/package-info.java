/** What parts of the program cost by size: measured points, a line through them, and how far it may be carried. */
package amberhoist.lab.slope;
