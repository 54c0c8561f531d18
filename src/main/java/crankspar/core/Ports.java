package crankspar.core;

import crankspar.Router.Role;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The interfaces between the core and its surroundings. They are independent of any wire protocol.
 */
public interface Ports {
  /**
   * A clock in Unix ms that never goes backwards, and timers that run on the event loop thread,
   * which owns all state.
   */
  interface Time {
    double now();

    void after(double ms, Runnable what);

    /**
     * Like {@link #after}, for work that may become pointless before. A timer that was cancelled
     * keeps nothing of its work reachable.
     */
    default Timer timer(double ms, Runnable what) {
      var pending = new Runnable[] {what};
      after(
          ms,
          () -> {
            if (pending[0] != null) {
              pending[0].run();
            }
          });
      return () -> pending[0] = null;
    }

    /**
     * Like {@link #after}, but time during which this process was stalled does not count. For
     * timeouts on a peer's silence: otherwise a peer would be declared dead although it answered
     * while this process could not read.
     */
    default void afterExcludingStalls(double ms, Runnable what) {
      after(ms, what);
    }
  }

  /** Work that is due later; call on the event loop thread. */
  interface Timer {
    /** Takes the work back if it has not run yet. */
    void cancel();
  }

  /** An attempt in flight. */
  interface Call {
    /**
     * Abandons the attempt by closing its connection and returns how far it had come. The
     * listener's {@code ended} is not called after this.
     */
    AttemptProgress abandon();
  }

  /** Receives the events of one attempt, each at most once. */
  interface AttemptListener<A> {
    /**
     * Whether the attempt's result is still wanted. Called right before the attempt is written; if
     * false, it is not written. Otherwise an attempt could be sent for a client that disconnected
     * while a connection was being opened, or while this process was late.
     */
    default boolean stillWanted() {
      return true;
    }

    /** The last byte of the request has been written. */
    default void written() {}

    /**
     * An answer too long to buffer has begun: it is forwarded as it arrives, and its end is
     * reported by {@link #ended} like that of any other. Returns false if nobody waits for it any
     * more.
     */
    default boolean answerBegan(A answer) {
      return false;
    }

    /**
     * The member has answered, and the connection stays reserved for the client because its
     * transaction continues. Like {@link #answerBegan}, but the outcome is reported to the routing
     * module now, whatever the request's class: the time that a client takes between two statements
     * says nothing about its member.
     */
    default boolean answeredInTransaction(A answer, AttemptEnd.MemberReport note) {
      return false;
    }

    void ended(AttemptEnd<A> end);
  }

  /** Receives the one final answer to a request. */
  interface Reply<A> {
    /**
     * The request has been accepted and has this id in {@link Pooler#clientLeft} and {@link
     * Pooler#cancelledByClient}. Called before any routing decision is made: otherwise a cancel
     * that arrives during the decision would find no request to cancel.
     */
    default void accepted(String request) {}

    /**
     * Whether the client is still connected, judged by what its connection holds at this moment.
     * Called right before an attempt is written; the implementation may report the client as gone
     * within this call.
     */
    default boolean clientConnected() {
      return true;
    }

    /**
     * Whether the answer is kept for a repeat of the request. If so, attempts in flight are awaited
     * even after the client has left.
     */
    default boolean keepsAnswer() {
      return false;
    }

    /**
     * The answer has begun, and the rest follows as the server sends it; the final answer tells how
     * it ended.
     */
    default void answerBegan(A answer) {
      throw new UnsupportedOperationException("this reply does not accept streamed answers");
    }

    void answer(FinalAnswer<A> answer);
  }

  /**
   * Sends attempts to members. An attempt's end may be reported before {@code send} has returned.
   */
  interface Backends<Q, A> {
    /**
     * Sends the query once, completely or not at all, and waits for its answer until {@code
     * deadline}. A connection that is established after {@code connectBy} is too late to be used.
     * Both are absolute times of the core's clock (ms), so that a stall of this process on the way
     * does not extend them.
     */
    Call send(
        String member, Q query, double deadline, double connectBy, AttemptListener<A> listener);

    Call probe(String member, Consumer<AttemptEnd<A>> end);
  }

  /** Probes members on behalf of several cores, so that not each of them has to. */
  interface SharedProber {
    /**
     * Whether this member is probed on behalf of {@code core}; if so, the results arrive through
     * {@link Pooler#probeCompleted}.
     */
    boolean handles(Pooler<?, ?> core, String member);
  }

  /**
   * Cancel requests that arrived at a process of this pooler other than the one that has the
   * session.
   */
  interface SharedCancels {
    /** Publishes a cancel key that matches no session of this process to the other processes. */
    void add(long key);

    /**
     * Passes on each key that was added since the last call, including those of this process.
     * Returns false if some were overwritten before they could be read.
     */
    boolean takeNew(LongConsumer told);
  }

  /** Ids of requests that may have run, shared by the processes of one pooler. */
  interface SentIds {
    /** Called right before the first attempt of a request is written. */
    void add(String id);

    /** Called once it is known that the request has not run. */
    void remove(String id);

    boolean contains(String id);
  }

  /** Sends messages to all other poolers; each may arrive late or never. */
  interface Peers {
    void broadcast(byte[] message);
  }

  /** Receives the result of a probe; {@code position} is in Unix ms, or NaN. */
  interface ProbeListener {
    void probeCompleted(boolean ok, double elapsed, Role role, double position);
  }

  /**
   * Commit positions of sessions that have written through other processes of this pooler. Not in
   * the request path if there is no such process.
   */
  interface SharedSessionMarks {
    /**
     * A write of this session was committed at {@code commit} (Unix ms, or NaN). Called before the
     * client receives its answer.
     */
    void writeCommitted(String session, double commit);

    /** The position (Unix ms) that a read of this session must reach, or NaN. */
    double requiredPosition(String session);

    /** The later of {@code mark} (or NaN) and the position that the session requires. */
    default double laterOf(String session, double mark) {
      double need = requiredPosition(session);
      return Double.isNaN(need) || mark > need ? mark : need;
    }
  }

  /**
   * Records what was sent under which stand, a numbered version of the state that the pooler acts
   * on; see the package {@code audit}. Not in the request path if there is no audit.
   */
  interface Audit {
    enum Answer {
      SERVED,
      REFUSED,
      FAILED,
      /** The client left before the request was answered. */
      CLIENT_LEFT,
      /**
       * The request was read but not accepted, because its client had left or cancelled it: nothing
       * was sent.
       */
      NOT_TAKEN;

      static Answer of(FinalAnswer<?> answer) {
        return answer instanceof FinalAnswer.Served
            ? SERVED
            : answer instanceof FinalAnswer.Refused ? REFUSED : FAILED;
      }
    }

    /** The last byte of an attempt has been written; it counts under the current stand. */
    void sent(String request, String member, int requestClass, double now);

    void answered(String request, Answer how, int requestClass, double now);

    /**
     * The role and position that an answer reported for its member; {@code position} is in Unix ms,
     * or NaN.
     */
    void role(String member, Role role, double position);
  }

  /**
   * The source of the list of members. A lost watch is reported through {@link Pooler#watchLost}.
   */
  interface Discovery {
    void watch(boolean on);
  }

  /**
   * A request that a front has read, to be answered by {@code deadline} (ms of the core's clock).
   * {@code mark} is the position (Unix ms) that a read of the session must reach, or NaN.
   */
  record ClientRequest<Q>(
      int requestClass, double deadline, String session, double mark, int group, Q query) {
    /** Returns this request with another deadline. */
    ClientRequest<Q> withDeadline(double time) {
      return new ClientRequest<>(requestClass, time, session, mark, group, query);
    }
  }
}
