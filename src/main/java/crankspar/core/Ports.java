package crankspar.core;

import crankspar.Router.Role;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** What the core needs of the world and offers to it: small interfaces that know no wire. */
public interface Ports {
  /** Time as Unix ms that never goes back, and timers on the thread that owns all state. */
  interface Time {
    double now();

    void after(double ms, Runnable what);

    /**
     * As {@link #after}, where the time that this process stood still does not count: for time-outs
     * on a peer's silence. Guards against a peer that is held for dead because its answer could not
     * be heard.
     */
    default void afterExcludingStalls(double ms, Runnable what) {
      after(ms, what);
    }
  }

  /** An attempt that is out. */
  interface Call {
    /**
     * Gives it up by ending its connection; tells how far it had come. No end is told after this.
     */
    AttemptProgress abandon();
  }

  /** What an attempt tells of itself, each thing once at most. */
  interface AttemptListener<A> {
    /**
     * Whether somebody still waits for it; asked right before it is written, and a no means that it
     * is not. Guards against an attempt for a client that left while a connection came up, or while
     * this process was late.
     */
    default boolean stillWanted() {
      return true;
    }

    /** Its last byte has left. */
    default void written() {}

    /**
     * An answer too long to hold has begun: it is passed on as it comes, and its end is told as any
     * other. False where nobody waits for it any more.
     */
    default boolean answerBegan(A answer) {
      return false;
    }

    /**
     * Its member has answered, and the connection stays its client's: a transaction that goes on.
     * As {@link #answerBegan}, but the module hears of it now, whatever its class: how long a
     * client takes between two statements says nothing of its member.
     */
    default boolean answeredInTransaction(A answer, AttemptEnd.MemberState note) {
      return false;
    }

    void ended(AttemptEnd<A> end);
  }

  /** Where a request's one final answer goes. */
  interface Reply<A> {
    /**
     * The request is taken and has this name in {@link Pooler#clientLeft} and {@link
     * Pooler#cancelledByClient}; called before anything is decided on it. Guards against a cancel
     * that comes within the decision and finds no name to cancel.
     */
    default void accepted(String request) {}

    /**
     * Whether its client is still there, by what its connection holds at this moment. Asked right
     * before an attempt begins; a client that has left may be told of as gone within this call.
     */
    default boolean clientConnected() {
      return true;
    }

    /**
     * Whether the answer is kept for who asks again: what is out when its client has left is
     * awaited then.
     */
    default boolean keepsAnswer() {
      return false;
    }

    /**
     * The answer has begun, and the rest comes as the server gives it; the final answer tells how
     * it ended.
     */
    default void answerBegan(A answer) {
      throw new UnsupportedOperationException("answers are taken whole here");
    }

    void answer(FinalAnswer<A> answer);
  }

  /** Where attempts go. An end may be told before {@code send} has returned. */
  interface Backends<Q, A> {
    /**
     * Sends once, whole, or not at all; it is waited for until {@code deadline}. A connection that
     * comes up after {@code connectBy} is too late for it. Both are times of the core's clock (ms):
     * a process that stands still on the way adds nothing to them.
     */
    Call send(
        String member, Q query, double deadline, double connectBy, AttemptListener<A> listener);

    Call probe(String member, Consumer<AttemptEnd<A>> end);
  }

  /** Who probes for several, so that not each has to. */
  interface SharedProber {
    /**
     * Whether this member's probes are taken care of: its results come by {@link
     * Pooler#probeCompleted}.
     */
    boolean handles(Pooler<?, ?> core, String member);
  }

  /** Cancels that reached another process of this pooler than the one that has the request. */
  interface SharedCancels {
    /** Tells the others of one whose key names nobody here. */
    void add(long key);

    /**
     * Hands over each that was added since the last call, also those of this process; false where
     * some were overwritten before they could be read.
     */
    boolean takeNew(LongConsumer told);
  }

  /** The way to the other poolers: each message to all of them, late or never. */
  interface Peers {
    void broadcast(byte[] message);
  }

  /** What a probe found; {@code position} is Unix ms or NaN. */
  interface ProbeListener {
    void probeCompleted(boolean ok, double elapsed, Role role, double position);
  }

  /**
   * What sessions have written through other processes of this pooler; off the path where there is
   * none.
   */
  interface SharedSessionMarks {
    /**
     * A write of this session was committed at {@code commit} (Unix ms, or NaN); told before its
     * client is.
     */
    void writeCommitted(String session, double commit);

    /** The position (Unix ms) that a read of this session must see, or NaN. */
    double requiredPosition(String session);

    /** The later of this mark (or NaN) and what the session needs. */
    default double laterOf(String session, double mark) {
      double need = requiredPosition(session);
      return Double.isNaN(need) || mark > need ? mark : need;
    }
  }

  /**
   * Who keeps what was sent under which stand; see the package {@code audit}. Off the path of a
   * request where there is none.
   */
  interface Audit {
    enum Answer {
      SERVED,
      REFUSED,
      FAILED,
      /** Its client left before it was answered. */
      CLIENT_LEFT,
      /** It was read and not taken, as its client had left or cancelled it: nothing was sent. */
      NOT_TAKEN;

      static Answer of(FinalAnswer<?> answer) {
        return answer instanceof FinalAnswer.Served
            ? SERVED
            : answer instanceof FinalAnswer.Refused ? REFUSED : FAILED;
      }
    }

    /** An attempt's last byte has left; it counts under the present stand. */
    void sent(String request, String member, int requestClass, double now);

    void answered(String request, Answer how, int requestClass, double now);

    /** What an answer told of its member; {@code position} is Unix ms or NaN. */
    void role(String member, Role role, double position);
  }

  /** The list of members: ends of a watch come back through {@link Pooler#watchLost}. */
  interface Discovery {
    void watch(boolean on);
  }

  /**
   * What a front has taken, to be answered by {@code deadline} (ms of the core's clock). The mark
   * is the position (Unix ms) that a session's read must see, or NaN.
   */
  record ClientRequest<Q>(
      int requestClass, double deadline, String session, double mark, int group, Q query) {
    /** The same, to be answered by then. */
    ClientRequest<Q> withDeadline(double time) {
      return new ClientRequest<>(requestClass, time, session, mark, group, query);
    }
  }
}
