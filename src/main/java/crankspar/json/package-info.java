/**
 * JSON of any shape, as maps and lists: for every package that reads or writes it, and on none of
 * them.
 */
package crankspar.json;
