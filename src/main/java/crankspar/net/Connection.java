package crankspar.net;

import java.util.function.BooleanSupplier;

/** The operations of a {@link ConnectionHandler} on its connection. Confined to the event loop. */
public interface Connection {
  /**
   * Queues bytes for sending. {@code written}, which may be null, runs once the operating system
   * has accepted the last of them, within this call or later.
   */
  void write(byte[] bytes, int length, Runnable written);

  default void write(byte[] bytes) {
    write(bytes, bytes.length, null);
  }

  /**
   * Like {@link #write}, if {@code current} is still true right before the system call. Otherwise
   * returns false, and nothing has been written. For a connection that has nothing queued.
   */
  default boolean writeIf(BooleanSupplier current, byte[] bytes, Runnable written) {
    if (!current.getAsBoolean()) {
      return false;
    }
    write(bytes, bytes.length, written);
    return true;
  }

  /** Whether some written bytes have not been sent yet. */
  default boolean unsent() {
    return unsentBytes() > 0;
  }

  /** Written bytes that have not been sent yet. */
  default int unsentBytes() {
    return 0;
  }

  /**
   * Turns reading from the peer on or off; it is off while what the peer sends cannot be passed on
   * (backpressure).
   */
  default void reading(boolean on) {}

  /**
   * Reads what has arrived so far, including a close, before a decision is made for the peer. The
   * handler is called within this call.
   */
  default void readNow() {}

  /**
   * Like {@link #readNow}, until the socket is empty.
   *
   * @return false if reading is off by then: more may wait, and behind it the peer's close
   */
  default boolean readAll() {
    readNow();
    return true;
  }

  /**
   * The earliest time (ms of the loop's clock) at which the bytes being delivered may have arrived;
   * infinity if that is not known to be before now.
   */
  default double earliestArrival() {
    return Double.POSITIVE_INFINITY;
  }

  /** Closes the sending side once everything queued has been sent, and still reads briefly. */
  void finish();

  /** Closes the connection at once; no further events reach the handler. */
  void close();

  /** Like {@link #close}, but the peer receives a TCP reset instead of an orderly close. */
  default void reset() {
    close();
  }
}
