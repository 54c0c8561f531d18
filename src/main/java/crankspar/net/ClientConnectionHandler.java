package crankspar.net;

/** The handler of a client connection, as seen by {@link Clients}. */
public interface ClientConnectionHandler extends ConnectionHandler {
  /**
   * What a connection is doing. When there is no room, connections in the states listed first are
   * closed first.
   */
  enum Standing {
    /** Closed from this side, and still read briefly. */
    LEAVING,
    /** No complete message has arrived. */
    NEW,
    /** The greeting has been exchanged, and no request has arrived. */
    STARTED,
    /** Between two requests. */
    IDLE,
    /** Requests wait until the client reads the answers before them. */
    UNREAD,
    /** Part of a message has arrived. */
    HALF,
    /** A request is waiting for its answer. */
    BUSY
  }

  Standing standing();

  /**
   * Whether part of an incomplete message has arrived: the client may be slow rather than silent.
   */
  boolean begun();

  /**
   * The number of complete messages so far, which distinguishes a state that lasts from one that
   * recurs.
   */
  long progress();

  /**
   * Whether an answer has been written that the client has not received completely; closing the
   * connection would lose it.
   */
  boolean unsent();

  /** Reads what has arrived so far, before the connection is judged by what it has sent. */
  void readNow();

  /** Tells the client the reason in its protocol, and closes the connection. */
  void turnAway(String why);

  /**
   * Closes the connection gracefully if it is between two requests; a request that the client sends
   * at the same time is resent by the client elsewhere.
   */
  void closeIfIdle();

  /** Closes the connection at once without notifying the client. */
  void drop();
}
