/**
 * Sockets and the one thread that owns all state.
 *
 * <p>{@link crankspar.net.EventLoop} is that thread. Its turn has a fixed order ({@link
 * crankspar.net.ReadinessPhase}): whatever the sockets hold is taken in first, news before clients
 * before servers, and only then timers and work run, until the next poll is due. A connection's
 * {@link crankspar.net.ConnectionHandler} is fed bytes and knows no socket but through {@link
 * crankspar.net.Connection}; it is carried by a {@link crankspar.net.SocketConnection}. {@link
 * crankspar.net.Clients} holds a front's client connections within their bounds, {@link
 * crankspar.net.Pool} the connections to servers. {@link crankspar.net.MemoryBudget} counts what
 * all peers together make the process hold, and says who gives way.
 *
 * <p>Decisions are in {@link crankspar.net.TaskQueue} (what runs next), {@link
 * crankspar.net.StallDetector} (whether the process stood still) and {@link crankspar.net.LoopLag}
 * (the figure that operators read); none of them knows a socket or a clock. Nothing here routes,
 * retries or judges a server.
 */
package crankspar.net;
