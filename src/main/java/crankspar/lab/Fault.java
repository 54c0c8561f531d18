package crankspar.lab;

/**
 * What goes wrong on a stand-in's connection: asked at each message that has come, and before each
 * answer.
 */
public interface Fault {
  /** What is done instead of going on. */
  enum Act {
    NONE,
    /** The connection ends at once; what of an answer is unsent is lost. */
    CUT,
    /** The same, told to the peer by a reset. */
    RESET,
    /** Nothing more is read or said, and the connection stays open. */
    STALL
  }

  Fault NONE = new Fault() {};

  /** A whole message is here; nothing of it has been done. */
  default Act received(int connection, char type, String text) {
    return Act.NONE;
  }

  /**
   * The statement's or message's answer is ready, and none of it sent: a tag, or the message's
   * letter.
   */
  default Act answering(int connection, char type, String tag) {
    return Act.NONE;
  }

  /** It was cut in the midst of a message, as {@link #bytes} had asked. */
  default void cut() {}

  /** How many bytes of one message are taken before the connection is cut; 0 takes all. */
  default int bytes(int connection, char type) {
    return 0;
  }
}
