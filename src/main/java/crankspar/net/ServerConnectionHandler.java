package crankspar.net;

import crankspar.core.AttemptProgress;
import crankspar.core.Ports;
import java.util.function.BooleanSupplier;

/**
 * A protocol state machine for one connection to a server, which carries one request at a time. Its
 * end is told exactly once; a connection that breaks while it carries nothing just ends.
 */
public interface ServerConnectionHandler<Q, A> extends ConnectionHandler {
  /**
   * What its pool is notified of: that a request may be carried, and that the connection is gone.
   */
  interface Owner {
    /** It is welcomed or, after a request, settled. */
    void ready();

    void gone(String why);
  }

  void owner(Owner owner);

  /** The request as it will be written, for a server that is to answer within {@code left} ms. */
  byte[] encode(Q query, double left);

  /**
   * Writes the request as it was encoded; called only when ready and idle. Encoding is a step of
   * its own so that nothing but the write stands behind the last check. False where {@code current}
   * was no longer true right before the write: nothing was written, and it is ready and idle still.
   */
  boolean carry(
      Q query, byte[] encoded, BooleanSupplier current, Ports.AttemptListener<A> listener);

  /** How far the request at hand has come. */
  AttemptProgress reach();

  /** Whether the request before was answered whole, and another may follow on this connection. */
  boolean reusable();

  /**
   * Makes sure that nothing of the answer before is still to come, then says that it is ready.
   * Guards against a second copy of an answer, which would pass for the next request's.
   */
  void settle();
}
