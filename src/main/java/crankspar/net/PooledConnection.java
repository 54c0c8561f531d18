package crankspar.net;

import crankspar.core.AttemptEnd;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Ports;
import java.net.InetSocketAddress;

/**
 * One connection of a {@link Pool} with the request that it carries, from the dial to its close.
 * The last check before a write is here.
 */
final class PooledConnection<Q, A>
    implements ServerConnectionHandler.Owner, Ports.Call, Ports.AttemptListener<A> {
  /** A long answer may stand still for this long (ms): clients spend seconds reading. */
  private static final double STALL_MOST = 15_000;

  /** A check before a write that took longer (ms) is made again. */
  private static final double CHECK_MOST = 20;

  /** So many checks are made for one write, each in a turn of its own. */
  private static final int CHECKS_MOST = 5;

  private final EventLoop loop;
  private final Counters counters;
  private final PooledMember<Q, A> member;
  private final ServerConnectionHandler<Q, A> handler;
  private final double handshakeMost;
  private final Runnable whenClosed;
  private final InetSocketAddress address;
  private SocketConnection stream;
  private boolean up;
  private boolean settling;
  private boolean closed;
  private double idleSince;

  /** What was asked for may not be written on it if it comes up later (ms). */
  private double connectBy = Double.POSITIVE_INFINITY;

  /** Writes the request that it was opened for. */
  private Runnable first;

  /** The last check took too long, and the next one waits for its turn. */
  private boolean awaitingCheck;

  private Ports.AttemptListener<A> listener;

  /** A connect or a settling that takes longer than {@code handshakeMost} ms ends it. */
  PooledConnection(
      EventLoop loop,
      Counters counters,
      PooledMember<Q, A> member,
      ServerConnectionHandler<Q, A> handler,
      double handshakeMost,
      Runnable whenClosed) {
    this.loop = loop;
    this.counters = counters;
    this.member = member;
    this.handler = handler;
    this.handshakeMost = handshakeMost;
    this.whenClosed = whenClosed;
    address = member.address;
  }

  // ---- Coming up.
  void dial(double connectBy) {
    member.dialled.add(this);
    counters.add("server_connections_opened");
    handler.owner(this);
    stream = loop.connect(address, handler);
    loop.afterExcludingStalls(handshakeMost, () -> loseUnlessUp("no connection in time"));
    this.connectBy = connectBy;
    double within = connectBy - loop.now();
    if (within < handshakeMost) {
      loop.after(within, this::tooLateUnlessUp);
    }
  }

  private void loseUnlessUp(String why) {
    if (!up) {
      lose(why);
    }
  }

  private void tooLateUnlessUp() {
    if (!up) {
      tooLate();
    }
  }

  private void tooLate() {
    unsent("unsent_too_late", "no connection while its data was fresh");
  }

  @Override
  public void ready() {
    // Guards against stale reads: a loop held up may run this before its timer.
    if (!up && loop.now() > connectBy) {
      tooLate();
    }
    up = true;
    member.dialled.remove(this);
    if (closed) {
      return; // settled too late
    }
    if (settling) {
      settling = false;
      rest();
    } else if (first != null) {
      writeFirst();
    } else {
      rest();
    }
  }

  /**
   * What it was opened for can wait no longer; it goes on coming up, for the next. Guards against a
   * busy moment that was taken for a crash: the member had done nothing wrong, and the handshake
   * was paid for nothing.
   */
  private void unsent(String counter, String why) {
    first = null;
    Ports.AttemptListener<A> told = listener;
    listener = null;
    if (told != null) {
      counters.add(counter);
      told.ended(new AttemptEnd.Unsent<>(why));
    }
  }

  /**
   * Its member takes nothing new: what waits for this connection goes elsewhere; it is of no use.
   */
  void callBack() {
    if (!up && !closed) {
      drop();
      unsent("unsent_member_left", "its database takes nothing new");
    }
  }

  // ---- Writing.
  /** Writes the request, now or once it is up; it is waited for until {@code deadline} (ms). */
  void carry(Q query, double deadline, Ports.AttemptListener<A> told) {
    listener = told;
    first = () -> writeChecked(query, deadline, 1);
    if (up) {
      writeFirst();
    }
  }

  private void writeFirst() {
    Runnable write = first;
    first = null;
    write.run();
  }

  /**
   * Nothing but the write stands behind the check: a stop of the process before it is seen, and
   * both are repeated. The clock is read once more next to the system call, since a stop that comes
   * between the two is told to the server as time that is left. A repeat comes behind other work,
   * and there are few: a request that takes long to encode holds up nobody else.
   */
  private void writeChecked(Q query, double deadline, int check) {
    awaitingCheck = false;
    double began = loop.now();
    byte[] encoded = handler.encode(query, deadline - began);
    if (!mayWrite()) {
      giveBack("unsent_unwanted", Pool.UNWANTED);
    } else if (!handler.carry(query, encoded, () -> isRecent(began), this)) {
      checkAgain(query, deadline, check);
    }
  }

  private void checkAgain(Q query, double deadline, int check) {
    if (check == CHECKS_MOST) {
      giveBack("unsent_check_slow", "each check before its write took too long");
      return;
    }
    awaitingCheck = true;
    loop.run(
        () -> {
          if (awaitingCheck && !closed) {
            writeChecked(query, deadline, check + 1);
          }
        });
  }

  private boolean isRecent(double checkBegan) {
    boolean recent = loop.now() - checkBegan <= CHECK_MOST;
    if (!recent) {
      counters.add("sends_checked_again");
    }
    return recent;
  }

  /** What it was to carry is not sent; it serves the next. */
  private void giveBack(String counter, String why) {
    if (!closed) {
      rest();
      unsent(counter, why);
    }
  }

  /**
   * The last check before a write: nothing that waits in the sockets speaks against it, and
   * somebody waits for it still. It may end this very attempt.
   */
  private boolean mayWrite() {
    loop.refresh();
    return listener != null
        && listener.stillWanted()
        && !closed
        && listener != null
        && member.takesWork(loop.now());
  }

  @Override
  public void written() {
    if (listener != null) {
      listener.written();
    }
  }

  // ---- The answer.
  @Override
  public boolean answerBegan(A answer) {
    boolean wanted = listener != null && listener.answerBegan(answer);
    if (wanted) {
      watchFor(stream.received());
    }
    return wanted;
  }

  /** Guards against a long answer of which its server gives, or its client takes, nothing more. */
  private void watchFor(long seen) {
    loop.after(
        STALL_MOST,
        () -> {
          if (listener == null || closed) {
            return;
          }
          if (stream.received() == seen) {
            lose("a long answer stood still");
          } else {
            watchFor(stream.received());
          }
        });
  }

  @Override
  public void ended(AttemptEnd<A> how) {
    Ports.AttemptListener<A> told = listener;
    listener = null;
    if (!closed && handler.reusable()) {
      settle();
    }
    if (told != null) {
      told.ended(how);
    }
  }

  private void settle() {
    settling = true;
    handler.settle();
    loop.afterExcludingStalls(
        handshakeMost,
        () -> {
          if (settling) { // a server that hangs: its connection is of no use
            lose("not settled in time");
          }
        });
  }

  /** Its member may have left, or moved, while this was busy. */
  private void rest() {
    if (!member.takesWork(loop.now()) || !address.equals(member.address)) {
      drop();
      return;
    }
    idleSince = loop.now();
    member.idle.push(this);
  }

  /** Since when it rests (ms). */
  double idleSince() {
    return idleSince;
  }

  /** Whether it has ended, by what its socket holds now. */
  boolean hasEnded() {
    stream.readNow();
    return closed;
  }

  // ---- Ending.
  @Override
  public void gone(String why) {
    lose(why);
  }

  /** Ends it; what it carried gets its outcome by how far it had come. */
  private void lose(String why) {
    if (!closed) {
      AttemptProgress reach = reach();
      drop();
      ended(new AttemptEnd.Broken<>(reach, why));
    }
  }

  private AttemptProgress reach() {
    return up && !awaitingCheck ? handler.reach() : AttemptProgress.NOT_CONNECTED;
  }

  /** Closes it; what it carries hears nothing. */
  void drop() {
    closed = true;
    settling = false;
    whenClosed.run();
    member.idle.remove(this);
    member.dialled.remove(this);
    stream.close();
  }

  @Override
  public AttemptProgress abandon() {
    AttemptProgress reach = reach();
    listener = null;
    if (!closed) {
      drop();
    }
    return reach;
  }
}
