package crankspar.net;

import java.nio.ByteBuffer;

/**
 * The protocol state of one connection. It receives bytes and accesses the socket only through
 * {@link Connection}. A handler of clients only decodes what it receives and leaves the work to a
 * later task, as the client's close may follow immediately.
 */
public interface ConnectionHandler {
  /** Ignores everything. */
  ConnectionHandler DEAF =
      new ConnectionHandler() {
        @Override
        public void opened(Connection connection) {}

        @Override
        public void received(ByteBuffer in) {
          in.position(in.limit());
        }

        @Override
        public void ended(String why) {}
      };

  void opened(Connection connection);

  /** Consumes all bytes of {@code in}. */
  void received(ByteBuffer in);

  /** The last of what had to wait has been sent: the peer reads again. */
  default void drained() {}

  /**
   * The peer has closed its sending side; called before {@link #ended}. An answer without a length
   * is completed by this, never by a broken connection.
   */
  default void finished() {}

  /**
   * The peer or the network closed the connection, or it could not be established. Called once, and
   * never after a close from this side.
   */
  void ended(String why);

  /** The connection is closed, from either side. Called once, as the last event. */
  default void closed() {}

  /**
   * Whether the connection carries change notifications, which are handled before anything else.
   */
  default boolean urgent() {
    return false;
  }
}
