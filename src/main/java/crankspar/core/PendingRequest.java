package crankspar.core;

import crankspar.Router.Freshness;
import crankspar.Router.Repeat;
import crankspar.Router.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request that is owed its one final answer. */
final class PendingRequest<Q, A> {
  /**
   * A bounded read's data ages while its connection comes up, but the module judged it at once:
   * sent later than this (ms), it could be answered from data past its bound.
   */
  private static final double AGEING_MOST = 40;

  final Ports.ClientRequest<Q> ask;
  final RequestClass kind;
  final Ports.Reply<A> reply;
  final double taken;
  final double deadline;
  final String name;
  int sent;
  boolean mayHaveRun, over;

  /** Its client has left, and its answer is kept for a repeat: nothing further begins. */
  boolean left;

  /**
   * When the earliest attempt was asked for that is out or may have run (ms); a keyed repeat's
   * window runs from then.
   */
  double risk = Double.POSITIVE_INFINITY;

  /** Attempts that are out: one, or two where the settings allow second copies. */
  final List<Attempt<Q, A>> out = new ArrayList<>(1);

  /** Whose answer has begun: no other's counts from then on. */
  Attempt<Q, A> begun;

  PendingRequest(
      Ports.ClientRequest<Q> ask,
      RequestClass kind,
      Ports.Reply<A> reply,
      double now,
      String name) {
    this.name = name;
    this.ask = ask;
    this.kind = kind;
    this.reply = reply;
    taken = now;
    deadline = ask.deadline();
  }

  Freshness freshness() {
    return kind.freshness();
  }

  /** What it is answered with where nothing more is tried. */
  FinalAnswer.Failed<A> failed(String why) {
    return new FinalAnswer.Failed<>(mayHaveRun || !out.isEmpty(), why);
  }

  /** Its state in words, for the log. */
  String told(double now) {
    return ", class "
        + kind.name()
        + ", "
        + Math.round(now - taken)
        + " ms since it was taken, "
        + Math.round(deadline - now)
        + " ms left, "
        + sent
        + " attempts";
  }

  /**
   * By when the next attempt's connection has to be up (ms). Guards against a keyed repeat that was
   * asked for within its window and written after it, when nobody discards it any more.
   */
  double connectBy(double now) {
    return freshness() == Freshness.BOUNDED
        ? now + AGEING_MOST
        : kind.repeat() == Repeat.KEYED ? risk + kind.keyTtl() : Double.POSITIVE_INFINITY;
  }

  /** Whether its data may have passed its bound since the decision to send it (ms). */
  boolean aged(double decided, double now) {
    return freshness() == Freshness.BOUNDED && now - decided > AGEING_MOST;
  }

  /** Whether anything more may be sent for it now. */
  boolean open(double now) {
    return !over && !left && begun == null && now < deadline && now < connectBy(now);
  }

  void began(Attempt<Q, A> a) {
    out.add(a);
    risk = Math.min(risk, a.sent);
  }

  void ended(Attempt<Q, A> a, boolean neverRan) {
    out.remove(a);
    if (neverRan && !mayHaveRun && out.isEmpty()) {
      risk = Double.POSITIVE_INFINITY;
    }
  }
}
