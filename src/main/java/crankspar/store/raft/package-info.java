/**
 * The agreed book's members under MicroRaft, which decides the one order of commands: votes, log, snapshots, who leads. This
 * package fits its ports to ours and decides nothing of its own. Only where a store is set up is a class of it loaded.
 *
 * <p>{@link crankspar.store.raft.BookMachine} applies what is committed. The disk ({@code RaftStore}) and the wire
 * ({@code Transport}) are handed in: in the simulation they are models with faults of their own.
 */
package crankspar.store.raft;
