/**
 * The agreed book's members under MicroRaft, which decides the one order of commands: votes, log,
 * snapshots, who leads. This package fits its ports to ours. Only where a store is set up is a
 * class of it loaded.
 *
 * <p>{@link crankspar.store.raft.BookMachine} applies what is committed; {@link
 * crankspar.store.raft.Tail} looks at a leader's entries before MicroRaft does, where that would
 * refuse them for ever. The disk ({@code RaftStore}) and the wire ({@code Transport}) are handed
 * in: in the simulation they are models with faults of their own.
 */
package crankspar.store.raft;
