package crankspar.core;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.Outcome;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.List;
import java.util.Locale;

/**
 * Runs the attempts of one core's requests: starts each at the member that the module chose, checks
 * it once more right before it is written, and reports its single outcome to the module. The state
 * of a request and its final answer belong to {@link Pooler}.
 */
final class Attempts<Q, A> {
  private final Pooler<Q, A> core;
  private final Ports.Time time;
  private final Ports.Backends<Q, A> backends;
  private final Counters counters;
  private final RequestStats stats;
  private final MemberReportValidator validator;
  private final DatabaseClock databaseClock;
  private final int maxAttempts;

  /** Maximum number of attempts of one request in flight at once. */
  private final int maxInFlight;

  private Ports.Audit audit;
  private Ports.SharedSessionMarks sessionMarks;

  Attempts(
      Pooler<Q, A> core,
      Router.Limits limits,
      Ports.Time time,
      Ports.Backends<Q, A> backends,
      Counters counters,
      RequestStats stats,
      MemberReportValidator validator,
      DatabaseClock databaseClock) {
    this.core = core;
    this.databaseClock = databaseClock;
    this.time = time;
    this.backends = backends;
    this.counters = counters;
    this.stats = stats;
    this.validator = validator;
    maxAttempts = limits.maxAttempts();
    maxInFlight = limits.hedging() ? 2 : 1;
  }

  void setAudit(Ports.Audit audit) {
    this.audit = audit;
  }

  void setSharedSessionMarks(Ports.SharedSessionMarks sessions) {
    this.sessionMarks = sessions;
  }

  // ---- Start of an attempt.
  /**
   * Starts an attempt, or reports it as {@code MOOT} if it may not be started any more. {@code
   * decidedAt} is when the module made the decision.
   */
  void send(
      String id, PendingRequest<Q, A> request, String member, double timeout, double decidedAt) {
    var attempt = new Attempt<>(this, id, request, member, time.now(), decidedAt);
    double deadline =
        Math.min(timeout > 0 ? attempt.startedAt + timeout : Double.MAX_VALUE, request.deadline);
    if (!maySend(attempt, deadline)) {
      end(attempt, Status.MOOT, AttemptEnd.MemberReport.NONE);
      return;
    }
    double connectBy = request.connectBy(time.now());
    if (attempt.number > 0) {
      core.log("retried", request, () -> "attempt " + (attempt.number + 1) + " at " + member);
    }
    request.attemptStarted(attempt);
    counters.add("sent");
    attempt.call = backends.send(member, request.request.query(), deadline, connectBy, attempt);
    if (!attempt.ended) {
      attempt.timeout = time.timer(deadline - time.now(), () -> onTimeout(attempt));
    }
  }

  private boolean maySend(Attempt<Q, A> attempt, double deadline) {
    PendingRequest<Q, A> request = attempt.pending;
    return request.maySend(time.now())
        && deadline > time.now()
        && request.inFlight.size() < maxInFlight
        && attempt.number < maxAttempts;
  }

  /**
   * The last check right before an attempt is written: its client is connected, and time is left.
   */
  boolean stillWanted(Attempt<Q, A> attempt) {
    PendingRequest<Q, A> request = attempt.pending;
    if (!attempt.ended && !request.concluded && !request.reply.clientConnected()) {
      if (request.reply.keepsAnswer()) {
        core.clientLeftKeepingAnswer(attempt.requestId);
      } else {
        core.clientLeft(attempt.requestId);
      }
    }
    return !attempt.ended
        && request.maySend(time.now())
        && !request.mayBeStale(attempt.decidedAt, time.now());
  }

  /** The last byte of the attempt has been written. */
  void written(Attempt<Q, A> attempt) {
    stats.written();
    if (audit != null) {
      audit.sent(
          attempt.pending.name, attempt.member, attempt.pending.request.requestClass(), time.now());
    }
  }

  /**
   * The attempt's answer has begun. {@code state} is reported to the module now; if null, the
   * module receives the outcome only at the end.
   */
  void answerBegan(Attempt<Q, A> attempt, AttemptEnd.MemberReport state) {
    counters.add("begun");
    if (state != null) {
      attempt.reported = true;
      core.post(module -> module.onOutcome(time.now(), outcome(attempt, Status.OK, true, state)));
    }
  }

  AttemptEnd.MemberReport validate(AttemptEnd.MemberReport note) {
    return validator.validate(note);
  }

  // ---- End of an attempt.
  void ended(Attempt<Q, A> attempt, AttemptEnd<A> end) {
    if (attempt.ended) {
      return;
    }
    if (end.written()) {
      attempt.written();
    }
    PendingRequest<Q, A> request = attempt.pending;
    if (request.answering == attempt && !request.concluded && !(end instanceof AttemptEnd.Served)) {
      counters.add("begun_broken");
      core.answer(
          attempt.requestId, request, new FinalAnswer.Failed<>(true, "the answer broke off"));
    }
    AttemptEnd.MemberReport state = validator.validate(end.memberReport());
    if (end instanceof AttemptEnd.Served<A> served) {
      served(attempt, served, state);
    } else {
      core.log(
          "attempt " + (attempt.number + 1) + " ended", request, () -> attempt.member + " " + end);
    }
    request.mayHaveRun |= end.uncertain();
    end(attempt, end.status(), state);
  }

  private void served(
      Attempt<Q, A> attempt, AttemptEnd.Served<A> served, AttemptEnd.MemberReport state) {
    PendingRequest<Q, A> request = attempt.pending;
    if (sessionMarks != null && request.freshness() == Freshness.WRITE) {
      sessionMarks.writeCommitted(request.request.session(), state.position());
    }
    if (!request.concluded && (request.answering == null || request.answering == attempt)) {
      core.answer(attempt.requestId, request, new FinalAnswer.Served<>(served.answer(), state));
    }
  }

  private void onTimeout(Attempt<Q, A> attempt) {
    if (attempt.ended || attempt.pending.answering == attempt) {
      return;
    }
    boolean mayHaveRun = abandon(attempt);
    end(attempt, mayHaveRun ? Status.TIMEOUT : Status.MOOT, AttemptEnd.MemberReport.NONE);
  }

  /** Abandons the attempt by closing its connection; returns whether it may have run. */
  private boolean abandon(Attempt<Q, A> attempt) {
    if (attempt.call == null || !attempt.call.abandon().mayHaveRun()) {
      return false;
    }
    attempt.pending.mayHaveRun = true;
    attempt.written();
    return true;
  }

  void cancel(PendingRequest<Q, A> request, int number) {
    request.inFlight.stream()
        .filter(a -> a.number == number && request.answering != a)
        .findFirst()
        .ifPresent(this::abort);
  }

  /** Ends all attempts of the request that are in flight. */
  void abort(PendingRequest<Q, A> request) {
    List.copyOf(request.inFlight).forEach(this::abort);
  }

  void abort(Attempt<Q, A> attempt) {
    abandon(attempt);
    end(attempt, Status.CANCELLED, AttemptEnd.MemberReport.NONE);
  }

  private void end(Attempt<Q, A> attempt, Status status, AttemptEnd.MemberReport state) {
    attempt.ended = true;
    attempt.timeout.cancel();
    PendingRequest<Q, A> request = attempt.pending;
    if (audit != null && state.role() != Role.UNKNOWN) {
      audit.role(attempt.member, state.role(), state.position());
    }
    request.attemptEnded(attempt, status.neverRan);
    counters.add("sent_" + status.name().toLowerCase(Locale.ROOT));
    core.post(
        module -> {
          if (!attempt.reported) {
            module.onOutcome(time.now(), outcome(attempt, status, request.concluded, state));
          }
          core.removeIfFinished(attempt.requestId, request);
        });
    core.cancelIfClientLeft(attempt.requestId, request);
  }

  private Outcome outcome(
      Attempt<Q, A> attempt, Status status, boolean over, AttemptEnd.MemberReport state) {
    return new Outcome(
        attempt.requestId,
        attempt.number,
        attempt.member,
        status,
        time.now() - attempt.startedAt,
        over,
        state.role(),
        databaseClock.toLocal(state.position()));
  }
}
