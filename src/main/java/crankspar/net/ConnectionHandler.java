package crankspar.net;

import java.nio.ByteBuffer;

/**
 * A protocol's state for one connection: it is fed bytes and knows no socket but through {@link
 * Connection}. A handler of clients decodes what it is fed and leaves the work for a later task, as
 * the client's end may stand right behind it.
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

  /** Takes all the bytes. */
  void received(ByteBuffer in);

  /**
   * The peer has said that it sends no more, before {@link #ended}: an answer without a length ends
   * with this, never with a break.
   */
  default void finished() {}

  /** The peer or the network ended it, or it never came up: told once, never after an own close. */
  void ended(String why);

  /** The connection is closed, whoever closed it: told once, and last. */
  default void closed() {}

  /** Whether it brings news of what has changed, to be heard before anything else. */
  default boolean urgent() {
    return false;
  }
}
