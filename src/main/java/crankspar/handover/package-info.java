/**
 * What the processes of one pooler share while one replaces the other, beyond operators' drains
 * (package {@code store}). Both are bounded rings in a mapped file that both processes write and
 * read; they decide nothing.
 *
 * <ul>
 *   <li>{@link crankspar.handover.SessionRing}: the positions that sessions have to see, where the
 *       deployment has poolers remember them. A position reaches the policy with its request, as
 *       one that the request carries would.
 *   <li>{@link crankspar.handover.CancelRing}: cancels that reached the process which does not have
 *       the request.
 * </ul>
 */
package crankspar.handover;
