/**
 * What a fleet has agreed on: the state that every member of the replicated store comes to by
 * applying the same commands in the same order. It is the part of that store that decides; the
 * order itself (consensus), the disk and the wire are not here.
 *
 * <p>{@link crankspar.store.agreed.Book} is stepped with commands ({@link
 * crankspar.store.agreed.Command}) and answers each with a {@link crankspar.store.agreed.Result}.
 * It knows no clock, chance, thread or file: time enters as a command ({@code Expire}) that whoever
 * leads proposes, and that a renewal which came first makes void. So members that apply the same
 * commands hold the same book, to the last entry of {@link crankspar.store.agreed.Book#pages},
 * which is also how a copy is given to a member that is far behind.
 *
 * <p>A write's way: it comes with its client's number, so that a repeat over a lost answer gets the
 * recorded answer; its conditions are looked at; its operations are done all or none under one new
 * revision; watchers hear of that revision once. Every table is bounded, and what finds no room is
 * refused with a {@link crankspar.store.agreed.Refusal} of its own code.
 */
package crankspar.store.agreed;
