/**
 * PostgreSQL session and transaction pooling: a front on the same core and under the same routing
 * rules as the others.
 *
 * <p>The package owns clients with session state (options, prepared statements), server connections
 * that many clients share, and the queues in which transactions wait for a connection slot. It
 * never chooses a member, never retries by itself and never judges a member's health: a transaction
 * is one request to the decision module, through {@link crankspar.core.Pooler}.
 *
 * <p>The path of a transaction: {@link crankspar.pooling.Client} collects its opening batch (up to
 * Sync, or one simple query). {@link crankspar.pooling.Route} determines its class, group and
 * session mark. {@link crankspar.pooling.AdmissionQueue} grants it a slot. The core asks the
 * module, which names a member. {@link crankspar.pooling.ServerConnections} takes a connection to
 * that member, and {@link crankspar.pooling.StateDiff} applies the client's state to it. {@link
 * crankspar.pooling.Exchange} decides which messages are forwarded in each direction. When the
 * server reports that it is idle again, the transaction has ended and the connection is released.
 *
 * <p>Pure logic, without sockets, clocks or random numbers of its own: {@code Sql}, {@code
 * SessionState}, {@code StateDiff}, {@code Pins}, {@code AdmissionQueue}, {@code Progress}, {@code
 * Exchange} with {@code StatementNames}, {@code BatchState} and {@code ServerReplies}, {@code
 * ReleaseAction}, {@code Route}, {@code IdleList}. I/O: {@code Client} and {@code Server} (state
 * machines of one connection each), {@code Lease} (a client's use of a server connection), {@code
 * ServerConnections}, {@code PoolingFront}. {@code Console} implements the admin commands.
 */
package crankspar.pooling;
