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
 * Tracks client requests, their attempts and deadlines. It passes events to the routing module and
 * carries out its decisions through {@link Ports}. Independent of the wire protocol: a front's
 * queries and answers pass through unread. Nothing here routes, retries or judges a member.
 *
 * @param <Q> a front's queries
 * @param <A> its answers
 */
public final class Pooler<Q, A> implements Router.Actions {
  private static final Logger LOG = Logger.getLogger(Pooler.class.getName());

  /** Share of the answer slack after which the core itself answers if the module has not. */
  private static final double LAST_RESORT_SHARE = 0.5;

  private final Router.Settings settings;
  private final Ports.Time time;
  private final Ports.Discovery discovery;
  private final Counters counters;
  private final Router module;
  private final PendingRequests<Q, A> requests = new PendingRequests<>();
  private final DatabaseClock databaseClock = new DatabaseClock();
  private final EventQueue eventQueue;
  private final RequestStats stats;
  private final Attempts<Q, A> attempts;
  private final Prober<A> prober;
  private Ports.Audit audit;
  private Ports.SharedSessionMarks sessions;
  private Function<Q, String> requestNaming = query -> null;
  private RequestLog log = RequestLog.NONE;
  private Ports.Peers peers = message -> {};
  private double shutdownDeadline = Double.POSITIVE_INFINITY;

  public Pooler(
      Router.Settings settings,
      Ports.Time time,
      Ports.Backends<Q, A> backends,
      Ports.Discovery discovery,
      Counters counters,
      BiFunction<Router.Settings, Router.Actions, Router> moduleFactory) {
    this.settings = settings;
    this.time = time;
    this.discovery = discovery;
    this.counters = counters;
    stats = new RequestStats(settings.classes().size());
    var validator = new MemberReportValidator(time, counters, databaseClock, this::onClockAhead);
    eventQueue = new EventQueue(time, counters);
    prober = new Prober<>(time, backends, counters, validator, settings.limits().connectTimeout());
    attempts =
        new Attempts<>(
            this, settings.limits(), time, backends, counters, stats, validator, databaseClock);
    module = moduleFactory.apply(settings, this);
  }

  public void start(List<Member> known) {
    post(
        () -> {
          module.onStart(now());
          module.onMembers(now(), ListKind.OLD_COPY, known);
        });
  }

  public void membersChanged(ListKind kind, List<Member> members) {
    post(() -> module.onMembers(now(), kind, members));
  }

  public void watchLost() {
    post(() -> module.onWatchLost(now()));
  }

  /** Caps all further deadlines at this time, because the process ends after it. */
  public void setShutdownDeadline(double time) {
    shutdownDeadline = time;
  }

  /** The time given to {@link #setShutdownDeadline}, or infinity. */
  public double shutdownDeadline() {
    return shutdownDeadline;
  }

  /** Accepts a request; its reply is called exactly once unless {@link #clientLeft} is first. */
  public String submit(Ports.ClientRequest<Q> submitted, Ports.Reply<A> reply) {
    String id = requests.nextId();
    counters.add("taken");
    double now = now();
    double deadline = Math.max(now, Math.min(submitted.deadline(), shutdownDeadline));
    Ports.ClientRequest<Q> req = submitted.withDeadline(deadline);
    String name = requestNaming.apply(req.query());
    var pending =
        new PendingRequest<>(
            req, settings.classes().get(req.requestClass()), reply, now, name == null ? id : name);
    requests.add(id, pending);
    reply.accepted(id);
    double mark =
        sessions != null && pending.freshness() == Freshness.SESSION
            ? sessions.laterOf(req.session(), req.mark())
            : req.mark();
    double age = databaseClock.age(mark, now);
    post(
        () ->
            module.onRequest(
                now,
                new Router.Request(
                    id, req.requestClass(), deadline - now, req.session(), age, req.group())));
    time.after(
        deadline - now + settings.guarantees().answerSlack() * LAST_RESORT_SHARE,
        () -> {
          if (unanswered(pending)) {
            counters.add("overdue");
            log("failed", pending, () -> "deadline");
            post(() -> module.onClientGone(now(), id));
            answer(id, pending, pending.failed("deadline"));
          }
        });
    return id;
  }

  /** The client has left and no longer waits for an answer. */
  public void clientLeft(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (pending != null && !pending.concluded) {
      counters.add("gone");
      log("closed", pending, () -> "the client disconnected");
      auditAnswer(pending, Ports.Audit.Answer.CLIENT_LEFT);
      post(() -> module.onClientGone(now(), id));
      conclude(id, pending);
      attempts.abort(pending);
    }
  }

  public int unansweredCount() {
    return requests.unanswered();
  }

  public RequestStats stats() {
    return stats;
  }

  /** The listed members that the module currently sends no work to. */
  public java.util.Set<String> avoided() {
    return module.avoided();
  }

  /**
   * The client has cancelled the request and waits for the answer that confirms this. Nothing
   * further is sent, and attempts in flight are ended. An answer that has begun continues.
   */
  public void cancelledByClient(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (unanswered(pending)) {
      counters.add("cancelled");
      post(() -> module.onClientGone(now(), id));
      attempts.abort(pending);
      answer(id, pending, pending.failed("canceled by its client"));
    }
  }

  /** The client has left, and the answer is kept for a repeat: only written attempts go on. */
  public void clientLeftKeepingAnswer(String id) {
    PendingRequest<Q, A> pending = requests.get(id);
    if (unanswered(pending)) {
      pending.clientLeft = true;
      pending.inFlight.stream().filter(a -> !a.written).toList().forEach(attempts::abort);
      cancelIfClientLeft(id, pending);
    }
  }

  /** Whether nothing of the answer has arrived yet; {@code pending} may be null. */
  private boolean unanswered(PendingRequest<Q, A> pending) {
    return pending != null && !pending.concluded && pending.answering == null;
  }

  void cancelIfClientLeft(String id, PendingRequest<Q, A> pending) {
    if (pending.clientLeft && pending.inFlight.isEmpty()) {
      cancelledByClient(id);
    }
  }

  /** Fails the requests accepted from this time on (ms; 0: all), because the process ends. */
  public void failUnanswered(double since) {
    requests.forEachUnanswered(
        (id, pending) -> {
          if (pending.acceptedAt < since || since > 0 && pending.answering != null) {
            return;
          }
          post(() -> module.onClientGone(now(), id));
          answer(id, pending, pending.failed("this pooler ends"));
          if (pending.answering != null && pending.inFlight.contains(pending.answering)) {
            attempts.abort(pending.answering);
          }
        });
  }

  private void post(Runnable what) {
    eventQueue.post(what);
  }

  /** Queues an event for the module behind those that it is processing. */
  void post(Consumer<Router> what) {
    eventQueue.post(() -> what.accept(module));
  }

  /** The clock that all deadlines refer to. */
  public double now() {
    return time.now();
  }

  // ---- Actions of the module.
  @Override
  public void send(String request, String member, double timeout) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (pending != null) {
      attempts.send(request, pending, member, timeout, eventQueue.eventStart());
    }
  }

  void log(String event, PendingRequest<Q, A> pending, Supplier<String> details) {
    log.write(event, pending.name, () -> details.get() + pending.describe(now()));
  }

  @Override
  public void refuse(String request, double retryIn) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (unanswered(pending)) {
      log(
          "refused",
          pending,
          () -> "by the routing module, retry in " + Math.round(retryIn) + " ms");
      answer(request, pending, new FinalAnswer.Refused<>(retryIn));
    }
  }

  @Override
  public void fail(String request) {
    PendingRequest<Q, A> pending = requests.get(request);
    if (unanswered(pending)) {
      log("failed", pending, () -> "given up by the routing module");
      answer(request, pending, pending.failed("given up"));
    }
  }

  void answer(String id, PendingRequest<Q, A> pending, FinalAnswer<A> answer) {
    conclude(id, pending);
    stats.answered(pending.request.requestClass(), answer);
    auditAnswer(pending, Ports.Audit.Answer.of(answer));
    counters.add(
        "answered_" + answer.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
    pending.reply.answer(answer);
  }

  private void conclude(String id, PendingRequest<Q, A> pending) {
    requests.markConcluded(pending);
    // Queued behind pending module events: a send that the module requests meanwhile still gets
    // its outcome.
    post(() -> requests.removeIfFinished(id, pending));
  }

  private void auditAnswer(PendingRequest<Q, A> pending, Ports.Audit.Answer how) {
    if (audit != null) {
      audit.answered(pending.name, how, pending.request.requestClass(), now());
    }
  }

  /** Records in the audit what became of a request that a front has read but not accepted. */
  public void auditNotTaken(Q query, int requestClass, Ports.Audit.Answer how) {
    String name = requestNaming.apply(query);
    if (audit != null && name != null) {
      audit.answered(name, how, requestClass, now());
    }
  }

  void removeIfFinished(String id, PendingRequest<Q, A> pending) {
    requests.removeIfFinished(id, pending);
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
    time.after(delay, () -> post(() -> module.onTimer(now(), cookie)));
  }

  @Override
  public void probe(String member) {
    prober.probe(this, member);
  }

  /** Lets another component probe members on behalf of this core. */
  public void setSharedProber(Ports.SharedProber sharedProber) {
    prober.sharedProber(sharedProber);
  }

  /** The result of a probe, whoever sent it; {@code elapsed} is its maximum age (ms). */
  public void probeCompleted(
      String member, boolean ok, double elapsed, Role role, double position) {
    double local = databaseClock.toLocal(position);
    Role reported = ok ? role : Role.UNKNOWN;
    post(() -> module.onProbe(now(), new Router.ProbeResult(member, ok, elapsed, reported, local)));
  }

  /** How far (ms) the databases' clock is known to be ahead of this process's. */
  public double databaseClockAhead() {
    return databaseClock.aheadMs();
  }

  private void onClockAhead() {
    double ahead = databaseClock.aheadMs();
    LOG.warning("the databases' clock is " + Math.round(ahead) + " ms ahead of this process's");
    post(() -> module.onDatabaseClock(now(), ahead));
  }

  /** Probes a member at once over this core's connections and reports the result once. */
  public void probeNow(String member, Ports.ProbeListener listener) {
    prober.probeNow(member, listener);
  }

  /** Shares the positions of sessions' writes with the other processes of this pooler. */
  public void setSharedSessionMarks(Ports.SharedSessionMarks sessions) {
    this.sessions = sessions;
    attempts.setSharedSessionMarks(sessions);
  }

  /** Records in this audit what is sent and answered. */
  public void setAudit(Ports.Audit audit) {
    this.audit = audit;
    attempts.setAudit(audit);
  }

  /** This process was stalled: a silence that the module would attribute to members was its own. */
  public void stalled() {
    post(() -> module.onStall(now()));
  }

  /** Sets how a query's own id is found for logs and audit; null means it has none. */
  public void setRequestNaming(Function<Q, String> requestNaming) {
    this.requestNaming = requestNaming;
  }

  /** Logs a closed client connection; {@code request} is the unanswered one, or null. */
  public void connectionClosing(String request, String why) {
    log.write("connection closed", request, () -> why);
  }

  /** Sets the log for refusals, retries and closed connections. */
  public void log(RequestLog log) {
    this.log = log;
  }

  /** Sets the transport for the module's messages to other poolers. */
  public void setPeers(Ports.Peers peers) {
    this.peers = peers;
  }

  @Override
  public void broadcast(byte[] message) {
    peers.broadcast(message);
  }

  /** Passes a message from another pooler to the module, unparsed. */
  public void peerMessageReceived(byte[] message) {
    post(() -> module.onPeerMessage(now(), message));
  }

  /** The module's counters since the start. */
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
