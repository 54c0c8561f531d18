package crankspar.net;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Ports;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A pool of connections to servers. It sends each request once, to the member it is given: a
 * request whose connection cannot be established, or ends, gets that as its outcome.
 */
public final class Pool<Q, A> implements Ports.Backends<Q, A>, MemberAddresses {
  static final String UNWANTED = "nobody waits for it any more, or its database takes nothing new";

  /** Share of the server's idle timeout after which idle connections are closed. */
  private static final double IDLE_SHARE = 0.5;

  private static final double SWEEP_MS = 1000;

  /**
   * A removed member's entry is deleted after this time (ms), when none of its attempts are in
   * flight any more.
   */
  private static final double FORGET_MS = 60_000;

  private final EventLoop loop;
  private final Counters counters;
  private final Supplier<ServerConnectionHandler<Q, A>> dialect;
  private final Q probe;
  private final double handshakeMost;
  private final double idleMost;
  private final int most;
  private final Map<String, PooledMember<Q, A>> members = new HashMap<>();
  private int open;

  /**
   * A connection that takes longer than {@code handshakeMost} ms to establish is abandoned; servers
   * close connections idle for {@code connIdle} ms; at most {@code most} may be open at once.
   */
  public Pool(
      EventLoop loop,
      Counters counters,
      Supplier<ServerConnectionHandler<Q, A>> dialect,
      Q probe,
      double handshakeMost,
      double connIdle,
      int most) {
    this.loop = loop;
    this.counters = counters;
    this.dialect = dialect;
    this.probe = probe;
    this.handshakeMost = handshakeMost;
    this.idleMost = connIdle * IDLE_SHARE;
    this.most = most;
    loop.after(SWEEP_MS, this::sweep);
  }

  // ---- Members.
  /** Sets a member's address; a new address makes its old connections useless. */
  @Override
  public void locate(String id, InetSocketAddress address) {
    PooledMember<Q, A> member = members.computeIfAbsent(id, k -> new PooledMember<>());
    if (!address.equals(member.address)) {
      List.copyOf(member.idle).forEach(PooledConnection::drop);
      member.address = address;
    }
    member.goneAt = Double.POSITIVE_INFINITY;
  }

  /**
   * A member that drains or is removed keeps no idle connections and, after a while, no entry.
   * Requests waiting for a connection to it are not written: on a busy loop that connection was
   * established after the grace period that the rules give. Their end is reported at once, so the
   * module has to know the member's state by then.
   */
  @Override
  public void forget(String id) {
    PooledMember<Q, A> member = members.get(id);
    if (member != null) {
      member.goneAt = loop.now();
      List.copyOf(member.idle).forEach(PooledConnection::drop);
      List.copyOf(member.dialled).forEach(PooledConnection::callBack);
    }
  }

  // ---- Requests.
  @Override
  public Ports.Call send(
      String id, Q query, double deadline, double connectBy, Ports.AttemptListener<A> listener) {
    PooledMember<Q, A> member = members.get(id);
    if (member == null) {
      return refuse(listener, "no address is known");
    }
    PooledConnection<Q, A> idle = idle(member);
    if (idle != null) {
      idle.carry(query, deadline, listener);
      return idle;
    }
    loop.refresh();
    if (!listener.stillWanted() || !member.takesWork(loop.now())) {
      counters.add("unsent_unwanted");
      listener.ended(new AttemptEnd.Unsent<>(UNWANTED));
      return () -> AttemptProgress.NOT_CONNECTED;
    }
    if (open >= most && !closeOldest()) {
      return refuse(listener, "no socket is left");
    }
    PooledConnection<Q, A> dialled = connection(member);
    dialled.carry(query, deadline, listener);
    dialled.dial(connectBy);
    return dialled;
  }

  private PooledConnection<Q, A> connection(PooledMember<Q, A> member) {
    open++;
    return new PooledConnection<>(
        loop, counters, member, dialect.get(), handshakeMost, () -> open--);
  }

  /** Returns an idle connection whose socket shows no close, or null. */
  private PooledConnection<Q, A> idle(PooledMember<Q, A> member) {
    PooledConnection<Q, A> connection = member.idle.poll();
    while (connection != null && connection.hasEnded()) {
      connection = member.idle.poll();
    }
    return connection;
  }

  private Ports.Call refuse(Ports.AttemptListener<A> listener, String why) {
    listener.ended(new AttemptEnd.Broken<>(AttemptProgress.NOT_CONNECTED, why));
    return () -> AttemptProgress.NOT_CONNECTED;
  }

  @Override
  public Ports.Call probe(String member, Consumer<AttemptEnd<A>> end) {
    double deadline = loop.now() + handshakeMost;
    return send(member, probe, deadline, deadline, end::accept);
  }

  // ---- Idle connections.
  /**
   * Closes the connection that has been idle longest, to free a socket for a member that needs one.
   */
  private boolean closeOldest() {
    PooledConnection<Q, A> oldest = null;
    for (PooledMember<Q, A> member : members.values()) {
      PooledConnection<Q, A> last = member.idle.peekLast();
      if (last != null && (oldest == null || last.idleSince() < oldest.idleSince())) {
        oldest = last;
      }
    }
    if (oldest != null) {
      oldest.drop();
    }
    return oldest != null;
  }

  private void sweep() {
    double now = loop.now();
    members.values().removeIf(m -> now - m.goneAt > FORGET_MS);
    for (PooledMember<Q, A> member : members.values()) {
      while (!member.idle.isEmpty() && now - member.idle.peekLast().idleSince() > idleMost) {
        member.idle.peekLast().drop();
      }
    }
    loop.after(SWEEP_MS, this::sweep);
  }
}
