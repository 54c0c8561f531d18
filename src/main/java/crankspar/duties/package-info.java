/**
 * Periodic work that all poolers need and one can do for all: probing each league database. {@link
 * crankspar.duties.Duties} decides who probes what and when, {@link crankspar.duties.Node} joins it
 * with {@code membership} into one state machine that takes and gives datagrams; neither knows a
 * socket, a clock or chance of its own, and the model in {@code lab} runs the very same classes.
 * {@link crankspar.duties.SharedProbes} drives them in the daemon. What a result means is the
 * module's to say.
 */
package crankspar.duties;
