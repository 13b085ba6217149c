/** The group of proxies in virtual time: the real members under faults, their histories, and a checker of these. */
package amberhoist.lab.group;
