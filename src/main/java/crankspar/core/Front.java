package crankspar.core;

/** What a daemon asks of each of its fronts, whatever they speak. Called on the loop. */
public interface Front {
  /** A stop has begun: idle connections are worth more, as no new ones are sent here. */
  void stopping();

  /**
   * Whether who asks for its health is told to go elsewhere, where the front's protocol has such a
   * question.
   */
  default void reportUnavailable(boolean on) {}

  /** Takes no new connections, and closes each that it has between two requests. */
  void drain();

  /** The end of a drain. */
  void resume();

  /** Whether no client's connection is open any more: all that was written has left. */
  boolean closed();
}
