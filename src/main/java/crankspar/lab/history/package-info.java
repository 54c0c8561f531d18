/**
 * Histories of calls that overlapped, and whether some order of them explains what each was
 * answered.
 */
package crankspar.lab.history;
