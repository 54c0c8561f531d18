package crankspar.core;

import crankspar.Router.Freshness;
import crankspar.Router.Repeat;
import crankspar.Router.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request that waits for its final answer, or has attempts in flight. */
final class PendingRequest<Q, A> {
  /**
   * Maximum time (ms) between the routing decision and the write of a bounded-staleness read. The
   * module checks the replica's position at the decision; the data ages while a connection is
   * opened, and a read sent later than this could be answered from data past its bound.
   */
  private static final double MAX_AGEING_MS = 40;

  final Ports.ClientRequest<Q> request;
  final RequestClass requestClass;
  final Ports.Reply<A> reply;
  final double acceptedAt;
  final double deadline;
  final String name;
  int attemptsStarted;

  /** Answers it at its deadline if nothing else has. */
  Ports.Timer deadlineTimer = () -> {};

  boolean mayHaveRun, concluded;

  /** The client has left, and the answer is kept for a repeat: no further attempts are started. */
  boolean clientLeft;

  /**
   * When the module requested the earliest attempt that is in flight or may have run (ms), or
   * infinity. The window in which a keyed write may be repeated starts then.
   */
  double keyWindowStart = Double.POSITIVE_INFINITY;

  /** Attempts in flight: one, or two if the settings allow hedged requests. */
  final List<Attempt<Q, A>> inFlight = new ArrayList<>(1);

  /** The attempt whose answer has begun; answers of other attempts are ignored from then on. */
  Attempt<Q, A> answering;

  PendingRequest(
      Ports.ClientRequest<Q> request,
      RequestClass requestClass,
      Ports.Reply<A> reply,
      double now,
      String name) {
    this.name = name;
    this.request = request;
    this.requestClass = requestClass;
    this.reply = reply;
    acceptedAt = now;
    deadline = request.deadline();
  }

  Freshness freshness() {
    return requestClass.freshness();
  }

  /** The answer if nothing more is tried. */
  FinalAnswer.Failed<A> failed(String why) {
    return new FinalAnswer.Failed<>(mayHaveRun || !inFlight.isEmpty(), why);
  }

  /** The request's state for the log. */
  String describe(double now) {
    return ", class "
        + requestClass.name()
        + ", "
        + Math.round(now - acceptedAt)
        + " ms since it was accepted, "
        + Math.round(deadline - now)
        + " ms left, "
        + attemptsStarted
        + " attempts";
  }

  /**
   * By when the next attempt's connection must be established (ms). Without this limit a keyed
   * repeat could be requested within its window and written after it, when the server no longer
   * discards duplicates.
   */
  double connectBy(double now) {
    return freshness() == Freshness.BOUNDED
        ? now + MAX_AGEING_MS
        : requestClass.repeat() == Repeat.KEYED
            ? keyWindowStart + requestClass.keyTtl()
            : Double.POSITIVE_INFINITY;
  }

  /** Whether the data may have passed its staleness bound since the decision to send (ms). */
  boolean mayBeStale(double decidedAt, double now) {
    return freshness() == Freshness.BOUNDED && now - decidedAt > MAX_AGEING_MS;
  }

  /** Whether another attempt may be sent now. */
  boolean maySend(double now) {
    return !concluded && !clientLeft && answering == null && now < deadline && now < connectBy(now);
  }

  void attemptStarted(Attempt<Q, A> a) {
    inFlight.add(a);
    keyWindowStart = Math.min(keyWindowStart, a.startedAt);
  }

  void attemptEnded(Attempt<Q, A> a, boolean neverRan) {
    inFlight.remove(a);
    if (neverRan && !mayHaveRun && inFlight.isEmpty()) {
      keyWindowStart = Double.POSITIVE_INFINITY;
    }
  }
}
