/** The relay of lines between a client and a provider, without I/O and clock: its ends, and what is owed after them. */
package amberhoist.relay;
