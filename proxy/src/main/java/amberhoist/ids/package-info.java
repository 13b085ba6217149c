/**
 * The ids of open requests: which are in use and which may have run, in this process and in others of the same proxy.
 * Decisions only, without I/O and clock.
 */
package amberhoist.ids;
