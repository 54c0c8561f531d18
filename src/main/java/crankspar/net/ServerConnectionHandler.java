package crankspar.net;

import crankspar.core.AttemptProgress;
import crankspar.core.Ports;
import java.util.function.BooleanSupplier;

/**
 * A protocol state machine for one connection to a server, which carries one request at a time. The
 * end of a request is reported exactly once; a connection that breaks while idle just ends.
 */
public interface ServerConnectionHandler<Q, A> extends ConnectionHandler {
  /** Receives the notifications that a request may be carried and that the connection is gone. */
  interface Owner {
    /** The handshake is complete or, after a request, {@link #settle} is. */
    void ready();

    void gone(String why);
  }

  void owner(Owner owner);

  /** Encodes the request for a server that is to answer within {@code left} ms. */
  byte[] encode(Q query, double left);

  /**
   * Writes the encoded request; called only when ready and idle. Encoding is a separate step so
   * that only the write follows the last check. Returns false if {@code current} was no longer true
   * right before the write: nothing was written, and the connection is still ready and idle.
   */
  boolean carry(
      Q query, byte[] encoded, BooleanSupplier current, Ports.AttemptListener<A> listener);

  /** How far the current request has come. */
  AttemptProgress reach();

  /**
   * Whether the previous request was answered completely, and another may follow on this
   * connection.
   */
  boolean reusable();

  /**
   * Verifies that nothing more of the previous answer is to come, then reports that it is ready.
   * Otherwise a duplicate of an answer would be taken for the answer to the next request.
   */
  void settle();
}
