package crankspar.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/** The state that a pool keeps for one server. */
final class PooledMember<Q, A> {
  InetSocketAddress address;

  /** Since when the member drains or is removed (ms); infinity while it accepts work. */
  double goneAt = Double.POSITIVE_INFINITY;

  /** Idle connections, most recently used first. */
  final ArrayDeque<PooledConnection<Q, A>> idle = new ArrayDeque<>();

  /** Connections being established, each for a request that is not written yet. */
  final Set<PooledConnection<Q, A>> dialled = new HashSet<>();

  /** Whether new work may be sent to the member at {@code now}. */
  boolean takesWork(double now) {
    return goneAt > now;
  }
}
