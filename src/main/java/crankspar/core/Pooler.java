package crankspar.core;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Keeps what is owed: requests, their attempts and their deadlines. It feeds the decision module
 * with what happens and carries out what the module wants through small ports. It knows no wire: a
 * front's queries and answers pass through unread. Nothing here routes, retries or judges a member.
 *
 * @param <Q> a front's queries
 * @param <A> its answers
 */
public final class Pooler<Q, A> implements Router.Actions {
  private static final Logger LOG = Logger.getLogger(Pooler.class.getName());

  /** Share of the slack after a deadline at which the core answers by itself: a last guard. */
  private static final double LAST = 0.5;

  private final Router.Settings settings;
  private final Ports.Time time;
  private final Ports.Discovery discovery;
  private final Counters counters;
  private final Router module;
  private final PendingRequests<Q, A> requests = new PendingRequests<>();
  private final DatabaseClock databaseClock = new DatabaseClock();
  private final Turns turns;
  private final RequestStats stats;
  private final Attempts<Q, A> attempts;
  private final Prober<A> prober;
  private Ports.Audit audit;
  private Ports.SharedSessionMarks sessions;
  private Function<Q, String> naming = query -> null;
  private RequestLog log = RequestLog.NONE;
  private Ports.Peers peers = message -> {};
  private double lastAnswer = Double.POSITIVE_INFINITY;

  public Pooler(
      Router.Settings settings,
      Ports.Time time,
      Ports.Backends<Q, A> backends,
      Ports.Discovery discovery,
      Counters counters,
      BiFunction<Router.Settings, Router.Actions, Router> maker) {
    this.settings = settings;
    this.time = time;
    this.discovery = discovery;
    this.counters = counters;
    stats = new RequestStats(settings.classes().size());
    var notes = new Notes(time, counters, databaseClock, this::foundAhead);
    turns = new Turns(time, counters);
    prober = new Prober<>(time, backends, counters, notes, settings.limits().connectTimeout());
    attempts =
        new Attempts<>(
            this, settings.limits(), time, backends, counters, stats, notes, databaseClock);
    module = maker.apply(settings, this);
  }

  public void start(List<Member> known) {
    event(
        () -> {
          module.onStart(now());
          module.onMembers(now(), ListKind.OLD_COPY, known);
        });
  }

  public void membersChanged(ListKind kind, List<Member> members) {
    event(() -> module.onMembers(now(), kind, members));
  }

  public void watchLost() {
    event(() -> module.onWatchLost(now()));
  }

  /** Whatever is taken from now on is answered by this time: the process ends after it. */
  public void setShutdownDeadline(double time) {
    lastAnswer = time;
  }

  /** The time given to {@link #setShutdownDeadline}, else infinite. */
  public double shutdownDeadline() {
    return lastAnswer;
  }

  /** Takes a request; its reply is called exactly once unless {@link #clientLeft} comes first. */
  public String submit(Ports.ClientRequest<Q> asked, Ports.Reply<A> reply) {
    String id = requests.nextId();
    counters.add("taken");
    double now = now();
    double deadline = Math.max(now, Math.min(asked.deadline(), lastAnswer));
    Ports.ClientRequest<Q> ask = asked.withDeadline(deadline);
    String name = naming.apply(ask.query());
    var pending =
        new PendingRequest<>(
            ask, settings.classes().get(ask.requestClass()), reply, now, name == null ? id : name);
    requests.add(id, pending);
    reply.accepted(id);
    double mark =
        sessions != null && pending.freshness() == Freshness.SESSION
            ? sessions.laterOf(ask.session(), ask.mark())
            : ask.mark();
    double age = databaseClock.age(mark, now);
    event(
        () ->
            module.onRequest(
                now,
                new Router.Request(
                    id, ask.requestClass(), deadline - now, ask.session(), age, ask.group())));
    time.after(
        deadline - now + settings.guarantees().answerSlack() * LAST,
        () -> {
          if (unanswered(pending)) {
            counters.add("overdue");
            log("failed", pending, () -> "deadline");
            event(() -> module.onClientGone(now(), id));
            answer(id, pending, pending.failed("deadline"));
          }
        });
    return id;
  }

  /** The client has left: nothing is owed any more. */
  public void clientLeft(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (pending != null && !pending.over) {
      counters.add("gone");
      log("closed", pending, () -> "its client has left");
      audit(pending, Ports.Audit.Answer.CLIENT_LEFT);
      event(() -> module.onClientGone(now(), id));
      conclude(id, pending);
      attempts.callOff(pending);
    }
  }

  public int unansweredCount() {
    return requests.unanswered();
  }

  public RequestStats stats() {
    return stats;
  }

  /** The listed members that the module keeps work from. */
  public java.util.Set<String> avoided() {
    return module.avoided();
  }

  /**
   * The client waits for the answer that says it is called off: nothing further is sent, what is
   * out is ended. A begun one goes on.
   */
  public void cancelledByClient(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (unanswered(pending)) {
      counters.add("cancelled");
      event(() -> module.onClientGone(now(), id));
      attempts.callOff(pending);
      answer(id, pending, pending.failed("canceled by its client"));
    }
  }

  /**
   * The client has left, and its answer is kept for who asks again: what has been written is
   * awaited, nothing further begins.
   */
  public void clientLeftKeepingAnswer(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (unanswered(pending)) {
      pending.left = true;
      pending.out.stream().filter(a -> !a.written).toList().forEach(attempts::callOff);
      endIfLeft(id, pending);
    }
  }

  /** Whether it is owed an answer of which nothing has come; {@code pending} may be null. */
  private boolean unanswered(PendingRequest<Q, A> pending) {
    return pending != null && !pending.over && pending.begun == null;
  }

  void endIfLeft(String id, PendingRequest<Q, A> pending) {
    if (pending.left && pending.out.isEmpty()) {
      cancelledByClient(id);
    }
  }

  /** The process ends: what was taken from then on (ms; nought: all) has its answer now. */
  public void failUnanswered(double takenFrom) {
    requests.eachUnanswered(
        (id, pending) -> {
          if (pending.taken < takenFrom || takenFrom > 0 && pending.begun != null) {
            return;
          }
          event(() -> module.onClientGone(now(), id));
          answer(id, pending, pending.failed("this pooler ends"));
          if (pending.begun != null && pending.out.contains(pending.begun)) {
            attempts.callOff(pending.begun);
          }
        });
  }

  private void event(Runnable what) {
    turns.take(what);
  }

  /** Tells the module, behind what it is hearing now. */
  void event(Consumer<Router> what) {
    turns.take(() -> what.accept(module));
  }

  public double now() {
    return time.now();
  } // the clock that all deadlines are on

  // ---- What the module wants.
  @Override
  public void send(String request, String member, double timeout) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (pending != null) {
      attempts.send(request, pending, member, timeout, turns.began());
    }
  }

  void log(String event, PendingRequest<Q, A> pending, Supplier<String> details) {
    log.write(event, pending.name, () -> details.get() + pending.told(now()));
  }

  @Override
  public void refuse(String request, double retryIn) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (unanswered(pending)) {
      log(
          "refused",
          pending,
          () -> "by routing, to be tried again in " + Math.round(retryIn) + " ms");
      answer(request, pending, new FinalAnswer.Refused<>(retryIn));
    }
  }

  @Override
  public void fail(String request) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (unanswered(pending)) {
      log("failed", pending, () -> "given up by routing");
      answer(request, pending, pending.failed("given up"));
    }
  }

  void answer(String id, PendingRequest<Q, A> pending, FinalAnswer<A> answer) {
    conclude(id, pending);
    stats.answered(pending.ask.requestClass(), answer);
    audit(pending, Ports.Audit.Answer.of(answer));
    counters.add(
        "answered_" + answer.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
    pending.reply.answer(answer);
  }

  private void conclude(String id, PendingRequest<Q, A> pending) {
    requests.concluded(pending);
    // Behind what the module is yet to hear: a send that it asks for meanwhile still gets its
    // outcome.
    event(() -> requests.forgetIfOver(id, pending));
  }

  private void audit(PendingRequest<Q, A> pending, Ports.Audit.Answer how) {
    if (audit != null) {
      audit.answered(pending.name, how, pending.ask.requestClass(), now());
    }
  }

  /** A front has read a request and does not take it: what became of it. */
  public void auditNotTaken(Q query, int requestClass, Ports.Audit.Answer how) {
    String name = naming.apply(query);
    if (audit != null && name != null) {
      audit.answered(name, how, requestClass, now());
    }
  }

  void forgetIfOver(String id, PendingRequest<Q, A> pending) {
    requests.forgetIfOver(id, pending);
  }

  @Override
  public void cancel(String request, int number) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (pending != null) {
      attempts.cancel(pending, number);
    }
  }

  @Override
  public void setTimer(double delay, long cookie) {
    time.after(delay, () -> event(() -> module.onTimer(now(), cookie)));
  }

  @Override
  public void probe(String member) {
    prober.probe(this, member);
  }

  /** From now on others may probe for this core. */
  public void setSharedProber(Ports.SharedProber probes) {
    prober.others(probes);
  }

  /** A probe's result, whoever made it; {@code elapsed} is how old it is at most (ms). */
  public void probeCompleted(
      String member, boolean ok, double elapsed, Role role, double position) {
    double ours = databaseClock.ours(position);
    Role told = ok ? role : Role.UNKNOWN;
    event(() -> module.onProbe(now(), new Router.ProbeResult(member, ok, elapsed, told, ours)));
  }

  /** How far (ms) the databases' clock is ahead of ours, as far as that is known. */
  public double databaseClockAhead() {
    return databaseClock.ahead();
  }

  private void foundAhead() {
    double ahead = databaseClock.ahead();
    LOG.warning("the databases' clock is " + Math.round(ahead) + " ms ahead of this process's");
    event(() -> module.onDatabaseClock(now(), ahead));
  }

  /** Probes at once over this core's connections, and tells what came of it, once. */
  public void probeNow(String member, Ports.ProbeListener told) {
    prober.now(member, told);
  }

  /** From now on sessions' marks are shared with other processes of this pooler. */
  public void setSharedSessionMarks(Ports.SharedSessionMarks sessions) {
    this.sessions = sessions;
    attempts.sessions(sessions);
  }

  /** From now on what is sent and answered is kept there. */
  public void setAudit(Ports.Audit audit) {
    this.audit = audit;
    attempts.audit(audit);
  }

  /** This process has stood still: what its module takes for a member's silence was its own. */
  public void stalled() {
    event(() -> module.onStall(now()));
  }

  /** Gives a query's own name, by which logs and the audit know it, or null where it has none. */
  public void setRequestNaming(Function<Q, String> naming) {
    this.naming = naming;
  }

  /** A front closes a client's connection with this request owed, or null where none is. */
  public void connectionClosing(String request, String why) {
    log.write("connection closed", request, () -> why);
  }

  /** From now on refusals, retries and closes are told there. */
  public void log(RequestLog log) {
    this.log = log;
  }

  /** From now on the module's messages go this way. */
  public void setPeers(Ports.Peers peers) {
    this.peers = peers;
  }

  @Override
  public void broadcast(byte[] message) {
    peers.broadcast(message);
  }

  /** A message from another pooler, as it came. */
  public void peerMessageReceived(byte[] message) {
    event(() -> module.onPeerMessage(now(), message));
  }

  /** The module's counts since the start. */
  public Map<String, Long> moduleCounters() {
    return module.counters();
  }

  @Override
  public void watchDiscovery(boolean on) {
    discovery.watch(on);
  }

  @Override
  public void log(String text) {
    LOG.info(text);
  }
}
