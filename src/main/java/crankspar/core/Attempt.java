package crankspar.core;

import crankspar.Router.Freshness;

/** One sending of a request to one member, from the module's word to its end. */
final class Attempt<Q, A> implements Ports.AttemptListener<A> {
  private final Attempts<Q, A> attempts;
  final String request;
  final PendingRequest<Q, A> owed;
  final int number;
  final String member;
  final double sent;

  /** When the decision to send began (ms). */
  final double decided;

  Ports.Call call;
  boolean ended, written, told;

  Attempt(
      Attempts<Q, A> attempts,
      String request,
      PendingRequest<Q, A> owed,
      String member,
      double now,
      double decided) {
    this.attempts = attempts;
    this.request = request;
    this.owed = owed;
    this.member = member;
    sent = now;
    this.decided = decided;
    number = owed.sent++;
  }

  @Override
  public boolean stillWanted() {
    return attempts.wanted(this);
  }

  /** Told by the wire or, where an answer overtakes that, known from how it ended. */
  @Override
  public void written() {
    if (!written) {
      written = true;
      attempts.written(this);
    }
  }

  @Override
  public boolean answerBegan(A answer) {
    return began(answer, owed.freshness() == Freshness.WRITE ? null : AttemptEnd.MemberState.NONE);
  }

  @Override
  public boolean answeredInTransaction(A answer, AttemptEnd.MemberState note) {
    return began(answer, attempts.plausible(note));
  }

  /**
   * From its first bytes on an answer belongs to its client: no time-out, no other attempt, no
   * other answer. A read's member has done its work by then, and slow readers must not make it look
   * silent; a write's outcome waits for the note behind its answer.
   */
  private boolean began(A answer, AttemptEnd.MemberState tell) {
    if (ended || owed.over || owed.begun != null) {
      return false;
    }
    written();
    owed.begun = this;
    owed.reply.answerBegan(answer);
    attempts.begun(this, tell);
    return true;
  }

  @Override
  public void ended(AttemptEnd<A> end) {
    attempts.ended(this, end);
  }
}
