/**
 * The store: a small map of versioned values, with what operators asked for among them. {@link
 * crankspar.store.Store} holds it on the loop; {@link crankspar.store.Commits} takes changes that
 * somebody waits for.
 *
 * <p>A change is acknowledged once it is on disk, where a file keeps its key: {@link
 * crankspar.store.LocalStateFile} drives that by {@link crankspar.wal}, {@code StateFile} is the
 * file, in two copies, and {@code EntryMerge} what two processes of one pooler make of it together.
 * {@link crankspar.store.Replication} pulls other nodes' changes; nothing here routes a request.
 */
package crankspar.store;
