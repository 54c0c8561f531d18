package crankspar.net;

/** A client's connection handler, as {@link Clients} sees it. */
public interface ClientConnectionHandler extends ConnectionHandler {
  /** What a connection is doing; the earlier ones are the first to go when there is no room. */
  enum Standing {
    /** Ended from this side, and still read for a moment. */
    LEAVING,
    /** Nothing whole has come. */
    NEW,
    /** Greeted, and it has asked for nothing yet. */
    STARTED,
    /** Between two requests. */
    IDLE,
    /** A part of a message has come. */
    HALF,
    /** An answer is owed. */
    BUSY
  }

  Standing standing();

  /** Whether a byte of what is not whole yet has come: it may be slow rather than silent. */
  boolean begun();

  /** Counts whole messages, so that a standing that lasts is told from one that comes again. */
  long progress();

  /**
   * Whether an answer has been written that its client has not taken whole: a close would lose it.
   */
  boolean unsent();

  /** Takes in what has come by now, before it is judged by what it has sent. */
  void readNow();

  /** Tells the client why it is ended, in the words of its protocol, and ends it. */
  void turnAway(String why);

  /**
   * Ends it gently if it is between two requests: what crosses this its client sends once more
   * elsewhere.
   */
  void closeIfIdle();

  /** Ends it at once, without a word. */
  void drop();
}
