package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Selects which idle connection is used next and which are closed. The functions are pure: they use
 * no sockets, clock or random numbers of their own.
 */
final class IdleList {
  /**
   * An idle connection: when it was opened, since when it is idle (both ms), and its random
   * lifetime jitter from 0 to 1.
   */
  interface IdleConnection {
    double openedAt();

    double idleSince();

    double jitter();
  }

  /**
   * Lifetimes vary by up to this fraction in either direction, so that connections that were opened
   * together are not closed together.
   */
  static final double LIFETIME_JITTER = 0.1;

  private IdleList() {}

  /**
   * Returns the connection that is closest to the client's state; among equals, the most recently
   * used one: its caches are warm, and the others can reach their idle timeout.
   */
  static <T extends IdleConnection> T choose(List<T> idle, ToIntFunction<T> distance) {
    T best = null;
    int bestDistance = Integer.MAX_VALUE;
    for (T candidate : idle) {
      int candidateDistance = distance.applyAsInt(candidate);
      if (best == null
          || candidateDistance < bestDistance
          || candidateDistance == bestDistance && candidate.idleSince() > best.idleSince()) {
        best = candidate;
        bestDistance = candidateDistance;
      }
    }
    return best;
  }

  /**
   * Returns the idle connections to close now: each one past its lifetime, and those past the idle
   * timeout as long as more than {@code minIdle} connections remain.
   */
  static <T extends IdleConnection> List<T> expired(
      List<T> idle, Setup.PoolLimits limits, int open, double now) {
    var expired = new ArrayList<T>();
    int remaining = open;
    for (T connection : idle) {
      if (pastLifetime(connection, limits, now)
          || remaining > limits.minIdle() && now - connection.idleSince() > limits.idleTimeout()) {
        expired.add(connection);
        remaining--;
      }
    }
    return expired;
  }

  /** Whether a connection is past its maximum lifetime, adjusted by its own jitter. */
  static boolean pastLifetime(IdleConnection connection, Setup.PoolLimits limits, double now) {
    return now - connection.openedAt()
        > limits.maxLifetime() * (1 - LIFETIME_JITTER + 2 * LIFETIME_JITTER * connection.jitter());
  }
}
