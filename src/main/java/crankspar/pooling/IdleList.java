package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Which idle connection is used next, and which are kept: without sockets, clocks or chance of its
 * own.
 */
final class IdleList {
  /**
   * One idle connection: since when it is open, since when idle (ms), and its own jitter from 0 to
   * 1.
   */
  interface IdleConnection {
    double openedAt();

    double idleSince();

    double jitter();
  }

  /**
   * Lifetimes differ by up to this share either way: connections opened together do not end
   * together.
   */
  static final double LIFETIME_JITTER = 0.1;

  private IdleList() {}

  /**
   * The one nearest to a client's state, of these the one used last: its caches are warm and the
   * others may age.
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
   * The idle ones to be closed now. Past its lifetime one goes in any case, past its idle time
   * beyond the least.
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

  /** Whether a connection is past its lifetime, which is its own. */
  static boolean pastLifetime(IdleConnection connection, Setup.PoolLimits limits, double now) {
    return now - connection.openedAt()
        > limits.maxLifetime() * (1 - LIFETIME_JITTER + 2 * LIFETIME_JITTER * connection.jitter());
  }
}
