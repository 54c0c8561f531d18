package crankspar.core;

import crankspar.Router.Freshness;

/** One attempt of a request at one member, from the module's decision to its end. */
final class Attempt<Q, A> implements Ports.AttemptListener<A> {
  private final Attempts<Q, A> attempts;
  final String requestId;
  final PendingRequest<Q, A> pending;
  final int number;
  final String member;
  final double startedAt;

  /** When the module began the decision to send (ms). */
  final double decidedAt;

  Ports.Call call;
  Ports.Timer timeout = () -> {};
  boolean ended, written, reported;

  Attempt(
      Attempts<Q, A> attempts,
      String request,
      PendingRequest<Q, A> pending,
      String member,
      double now,
      double decidedAt) {
    this.attempts = attempts;
    this.requestId = request;
    this.pending = pending;
    this.member = member;
    startedAt = now;
    this.decidedAt = decidedAt;
    number = pending.attemptsStarted++;
  }

  @Override
  public boolean stillWanted() {
    return attempts.stillWanted(this);
  }

  /**
   * Called when the connection reports the write, or when an answer arrives before that report and
   * implies it.
   */
  @Override
  public void written() {
    if (!written) {
      written = true;
      attempts.written(this);
    }
  }

  @Override
  public boolean answerBegan(A answer) {
    return began(
        answer, pending.freshness() == Freshness.WRITE ? null : AttemptEnd.MemberReport.NONE);
  }

  @Override
  public boolean answeredInTransaction(A answer, AttemptEnd.MemberReport state) {
    return began(answer, attempts.validate(state));
  }

  /**
   * Binds the answer to its client from its first bytes on: no timeout, other attempt or other
   * answer applies any more. For a read, the member has done its work by then, and a slowly reading
   * client must not make it look silent. A write's outcome is reported only with the member state
   * that follows its answer.
   */
  private boolean began(A answer, AttemptEnd.MemberReport tell) {
    if (ended || pending.concluded || pending.answering != null) {
      return false;
    }
    written();
    pending.answering = this;
    pending.reply.answerBegan(answer);
    attempts.answerBegan(this, tell);
    return true;
  }

  @Override
  public void ended(AttemptEnd<A> end) {
    attempts.ended(this, end);
  }
}
