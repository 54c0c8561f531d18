package crankspar.core;

/**
 * Ends requests for a reason of their client's or of this process: nothing further is sent for
 * them, and the routing module forgets them. An answer that has begun continues.
 */
final class Withdrawals<Q, A> {
  private final Pooler<Q, A> core;
  private final PendingRequests<Q, A> requests;
  private final Attempts<Q, A> attempts;
  private final Counters counters;

  Withdrawals(
      Pooler<Q, A> core,
      PendingRequests<Q, A> requests,
      Attempts<Q, A> attempts,
      Counters counters) {
    this.core = core;
    this.requests = requests;
    this.attempts = attempts;
    this.counters = counters;
  }

  /** The client has left and no longer waits for an answer. */
  void clientLeft(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (pending != null && !pending.concluded) {
      counters.add("gone");
      core.log("closed", pending, () -> "the client disconnected");
      forget(id);
      core.concludeLeft(id, pending);
      attempts.abort(pending);
    }
  }

  /** The client waits for the answer that confirms its cancel. */
  void cancelled(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (Pooler.unanswered(pending)) {
      counters.add("cancelled");
      forget(id);
      attempts.abort(pending);
      core.answer(id, pending, pending.failed("canceled by its client"));
    }
  }

  /** The front refuses it after all: what was not sent has no effect. */
  void refused(String id, String why) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (Pooler.unanswered(pending)) {
      counters.add("refused_by_front");
      core.log("refused", pending, () -> why);
      forget(id);
      attempts.abort(pending);
      core.answer(
          id, pending, pending.mayHaveRun ? pending.failed(why) : new FinalAnswer.Refused<>(0));
    }
  }

  /** The client has left, and the answer is kept for a repeat: only written attempts go on. */
  void clientLeftKeepingAnswer(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (Pooler.unanswered(pending)) {
      pending.clientLeft = true;
      pending.inFlight.stream().filter(a -> !a.written).toList().forEach(attempts::abort);
      cancelIfClientLeft(id, pending);
    }
  }

  void cancelIfClientLeft(String id, PendingRequest<Q, A> pending) {
    if (pending.clientLeft && pending.inFlight.isEmpty()) {
      cancelled(id);
    }
  }

  /** Fails the requests accepted from this time on (ms; 0: all), because the process ends. */
  void failUnanswered(double since) {
    requests.forEachUnanswered(
        (id, pending) -> {
          if (pending.acceptedAt < since || since > 0 && pending.answering != null) {
            return;
          }
          forget(id);
          core.answer(id, pending, pending.failed("this pooler ends"));
          if (pending.answering != null && pending.inFlight.contains(pending.answering)) {
            attempts.abort(pending.answering);
          }
        });
  }

  private void forget(String id) {
    core.post(module -> module.onClientGone(core.now(), id));
  }
}
