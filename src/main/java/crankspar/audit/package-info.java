/**
 * Which pooler acted on which version of what, and what a pooler does that stays behind the others.
 *
 * <p>{@link crankspar.audit.Stands} numbers what a pooler acts on: its build, configuration, list,
 * drain marks and primaries. {@link crankspar.audit.Ledger} keeps by stand what was sent where;
 * {@link crankspar.audit.LedgerCodec} its bytes. {@link crankspar.audit.Standing} decides whether
 * this pooler is current, behind, or has to shut itself out, and {@link crankspar.audit.Gossip} to
 * whom a {@link crankspar.audit.Digest} is told and when; none of these does I/O, reads a clock or
 * draws by chance. {@link crankspar.audit.Auditor} drives them in the daemon: it hears the core's
 * sends, discovery and peers, and carries out what they decide. {@link crankspar.audit.Findings}
 * compares what several poolers tell.
 *
 * <p>A request's way: the core sends an attempt, the auditor notes it under the present stand's
 * number, and the final answer the same way. Nothing here chooses a database: a pooler that is shut
 * out tells the module that all members drain.
 */
package crankspar.audit;
