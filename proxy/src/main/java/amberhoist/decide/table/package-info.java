/** Tables of the decision module whose keys come from clients. */
package amberhoist.decide.table;
