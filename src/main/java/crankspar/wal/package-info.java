/**
 * The one way in which this program makes something durable: whatever is acknowledged to a client
 * or an operator is on disk first.
 *
 * <p>{@link crankspar.wal.CommitQueue} decides when something is written and when it may be
 * acknowledged (no I/O, stepped with events). {@link crankspar.wal.CommitDriver} carries that out:
 * steps on the loop, writes on a thread of their own, one at a time. What is written goes through
 * the {@link crankspar.wal.Disk} port, so that tests can put a disk in its place that loses, tears
 * and reorders: small state is replaced as a whole ({@link crankspar.wal.Disk#replace}), records
 * are appended to a {@link crankspar.wal.RecordLog}, with {@link crankspar.wal.LogWriter} as its
 * driver. Two processes of one pooler share both while one replaces the other, under a lock that
 * the kernel frees when its holder dies.
 *
 * <p>Nothing here knows what the bytes mean.
 */
package crankspar.wal;
