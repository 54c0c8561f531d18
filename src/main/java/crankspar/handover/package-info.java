/**
 * What one process of a pooler leaves to the one that replaces it, beyond operators' marks (package
 * {@code store}): the positions that sessions have to see, where the deployment has poolers
 * remember them.
 *
 * <p>{@link crankspar.handover.SessionRing} is the whole of it: a bounded ring in a mapped file
 * that both processes write and read. It decides nothing; a mark reaches the module with its
 * request, as one that the request carries would.
 */
package crankspar.handover;
