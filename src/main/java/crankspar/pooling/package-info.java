/**
 * PostgreSQL pooling by session and by transaction: a front of its own on the same core, under the
 * same rules.
 *
 * <p>It owns clients that keep state (options, prepared statements), connections to servers that
 * many of them share, and the turns of those who wait. It never picks a member, never tries again
 * by itself and never judges a member: a transaction is one request to the decision module, through
 * {@link crankspar.core.Pooler}.
 *
 * <p>The way of one transaction: {@link crankspar.pooling.Client} collects its opening batch (up to
 * Sync, or one simple query); {@link crankspar.pooling.Route} tells its class, group and mark;
 * {@link crankspar.pooling.Places} gives the turn; the core asks the module, which names a member;
 * {@link crankspar.pooling.Servers} takes a connection there; {@link crankspar.pooling.StateDiff}
 * brings it to the client's state; {@link crankspar.pooling.Exchange} says what goes on of each
 * side's messages; when the server is idle again the transaction has ended, and the connection is
 * free.
 *
 * <p>Classes that decide, without sockets, clocks or chance of their own: {@code Sql}, {@code
 * SessionState}, {@code StateDiff}, {@code Pins}, {@code Places}, {@code Progress}, {@code
 * Exchange} with {@code StatementNames}, {@code BatchState} and {@code ServerReplies}, {@code
 * Release}, {@code Route}, {@code IdleList}. Classes that drive: {@code Client} and {@code Server}
 * (state machines of one connection each), {@code Lease} (a client's use of one), {@code Servers},
 * {@code PoolingFront}. {@code Console} words what operators ask.
 */
package crankspar.pooling;
