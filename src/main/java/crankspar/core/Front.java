package crankspar.core;

/**
 * Lifecycle operations that the daemon calls on each front, whatever its protocol. Called on the
 * event loop.
 */
public interface Front {
  /** A shutdown has begun. Idle connections become more valuable, as no new ones arrive here. */
  void stopping();

  /**
   * Sets whether health checks are answered as unavailable, if the front's protocol has health
   * checks, so that clients go elsewhere.
   */
  default void reportUnavailable(boolean on) {}

  /** Accepts no new connections, and closes each open one between two requests. */
  void drain();

  /** Ends a drain. */
  void resume();

  /** Whether all client connections are closed and everything written has been sent. */
  boolean closed();
}
