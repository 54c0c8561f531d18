package crankspar.core;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.Outcome;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.List;
import java.util.Locale;

/**
 * The attempts of one core's requests: begins each where the module wants it, checks it once more
 * right before it is written, and tells the module its one outcome. A request's own state and its
 * final answer are {@link Pooler}'s.
 */
final class Attempts<Q, A> {
  private final Pooler<Q, A> core;
  private final Ports.Time time;
  private final Ports.Backends<Q, A> backends;
  private final Counters counters;
  private final RequestStats figures;
  private final Notes notes;
  private final DatabaseClock databaseClock;
  private final int mostTries;

  /** Attempts of one request that may be out at once. */
  private final int mostOut;

  private Ports.Audit audit;
  private Ports.SharedSessionMarks sessions;

  Attempts(
      Pooler<Q, A> core,
      Router.Limits limits,
      Ports.Time time,
      Ports.Backends<Q, A> backends,
      Counters counters,
      RequestStats figures,
      Notes notes,
      DatabaseClock databaseClock) {
    this.core = core;
    this.databaseClock = databaseClock;
    this.time = time;
    this.backends = backends;
    this.counters = counters;
    this.figures = figures;
    this.notes = notes;
    mostTries = limits.maxAttempts();
    mostOut = limits.hedging() ? 2 : 1;
  }

  void audit(Ports.Audit audit) {
    this.audit = audit;
  }

  void sessions(Ports.SharedSessionMarks sessions) {
    this.sessions = sessions;
  }

  // ---- Beginning.
  /** One that may not begin any more is told as moot. {@code decided} is when the module ran. */
  void send(
      String id, PendingRequest<Q, A> request, String member, double timeout, double decided) {
    var attempt = new Attempt<>(this, id, request, member, time.now(), decided);
    double deadline =
        Math.min(timeout > 0 ? attempt.sent + timeout : Double.MAX_VALUE, request.deadline);
    if (!mayBegin(attempt, deadline)) {
      end(attempt, Status.MOOT, AttemptEnd.MemberState.NONE);
      return;
    }
    double connectBy = request.connectBy(time.now());
    if (attempt.number > 0) {
      core.log("retried", request, () -> "attempt " + (attempt.number + 1) + " at " + member);
    }
    request.began(attempt);
    counters.add("sent");
    attempt.call = backends.send(member, request.ask.query(), deadline, connectBy, attempt);
    if (!attempt.ended) {
      time.after(deadline - time.now(), () -> timeOut(attempt));
    }
  }

  private boolean mayBegin(Attempt<Q, A> attempt, double deadline) {
    PendingRequest<Q, A> request = attempt.owed;
    return request.open(time.now())
        && deadline > time.now()
        && request.out.size() < mostOut
        && attempt.number < mostTries;
  }

  /** The last check, right before an attempt is written: its client is there, and time is left. */
  boolean wanted(Attempt<Q, A> attempt) {
    PendingRequest<Q, A> request = attempt.owed;
    if (!attempt.ended && !request.over && !request.reply.clientConnected()) {
      if (request.reply.keepsAnswer()) {
        core.clientLeftKeepingAnswer(attempt.request);
      } else {
        core.clientLeft(attempt.request);
      }
    }
    return !attempt.ended && request.open(time.now()) && !request.aged(attempt.decided, time.now());
  }

  /** Its last byte has left. */
  void written(Attempt<Q, A> attempt) {
    figures.written();
    if (audit != null) {
      audit.sent(attempt.owed.name, attempt.member, attempt.owed.ask.requestClass(), time.now());
    }
  }

  /** Its answer has begun; {@code tell} is what the module hears now, null for its end only. */
  void begun(Attempt<Q, A> attempt, AttemptEnd.MemberState tell) {
    counters.add("begun");
    if (tell != null) {
      attempt.told = true;
      core.event(module -> module.onOutcome(time.now(), outcome(attempt, Status.OK, true, tell)));
    }
  }

  AttemptEnd.MemberState plausible(AttemptEnd.MemberState note) {
    return notes.plausible(note);
  }

  // ---- Ending.
  void ended(Attempt<Q, A> attempt, AttemptEnd<A> end) {
    if (attempt.ended) {
      return;
    }
    if (end.written()) {
      attempt.written();
    }
    PendingRequest<Q, A> request = attempt.owed;
    if (request.begun == attempt && !request.over && !(end instanceof AttemptEnd.Served)) {
      counters.add("begun_broken");
      core.answer(attempt.request, request, new FinalAnswer.Failed<>(true, "the answer broke off"));
    }
    AttemptEnd.MemberState note = notes.plausible(end.memberState());
    if (end instanceof AttemptEnd.Served<A> served) {
      served(attempt, served, note);
    } else {
      core.log(
          "attempt " + (attempt.number + 1) + " ended", request, () -> attempt.member + " " + end);
    }
    request.mayHaveRun |= end.uncertain();
    end(attempt, end.status(), note);
  }

  private void served(
      Attempt<Q, A> attempt, AttemptEnd.Served<A> served, AttemptEnd.MemberState note) {
    PendingRequest<Q, A> request = attempt.owed;
    if (sessions != null && request.freshness() == Freshness.WRITE) {
      sessions.writeCommitted(request.ask.session(), note.position());
    }
    if (!request.over && (request.begun == null || request.begun == attempt)) {
      core.answer(attempt.request, request, new FinalAnswer.Served<>(served.answer(), note));
    }
  }

  private void timeOut(Attempt<Q, A> attempt) {
    if (attempt.ended || attempt.owed.begun == attempt) {
      return;
    }
    boolean mayHaveRun = abandon(attempt);
    end(attempt, mayHaveRun ? Status.TIMEOUT : Status.MOOT, AttemptEnd.MemberState.NONE);
  }

  /** Gives it up by ending its connection; whether it may have run. */
  private boolean abandon(Attempt<Q, A> attempt) {
    if (attempt.call == null || !attempt.call.abandon().mayHaveRun()) {
      return false;
    }
    attempt.owed.mayHaveRun = true;
    attempt.written();
    return true;
  }

  void cancel(PendingRequest<Q, A> request, int number) {
    request.out.stream()
        .filter(a -> a.number == number && request.begun != a)
        .findFirst()
        .ifPresent(this::callOff);
  }

  /** All that are out. */
  void callOff(PendingRequest<Q, A> request) {
    List.copyOf(request.out).forEach(this::callOff);
  }

  void callOff(Attempt<Q, A> attempt) {
    abandon(attempt);
    end(attempt, Status.CANCELLED, AttemptEnd.MemberState.NONE);
  }

  private void end(Attempt<Q, A> attempt, Status status, AttemptEnd.MemberState note) {
    attempt.ended = true;
    PendingRequest<Q, A> request = attempt.owed;
    if (audit != null && note.role() != Role.UNKNOWN) {
      audit.role(attempt.member, note.role(), note.position());
    }
    request.ended(attempt, status.neverRan);
    counters.add("sent_" + status.name().toLowerCase(Locale.ROOT));
    core.event(
        module -> {
          if (!attempt.told) {
            module.onOutcome(time.now(), outcome(attempt, status, request.over, note));
          }
          core.forgetIfOver(attempt.request, request);
        });
    core.endIfLeft(attempt.request, request);
  }

  private Outcome outcome(
      Attempt<Q, A> attempt, Status status, boolean over, AttemptEnd.MemberState note) {
    return new Outcome(
        attempt.request,
        attempt.number,
        attempt.member,
        status,
        time.now() - attempt.sent,
        over,
        note.role(),
        databaseClock.ours(note.position()));
  }
}
