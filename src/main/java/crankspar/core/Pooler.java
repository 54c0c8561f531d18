package crankspar.core;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
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
  private final Withdrawals<Q, A> withdrawals;
  private final Prober<A> prober;
  private Ports.SharedSessionMarks sessions;
  private final RequestAudit<Q> audit;
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
    audit = new RequestAudit<>(time);
    this.discovery = discovery;
    this.counters = counters;
    stats = new RequestStats(settings.classes().size());
    var validator = new MemberReportValidator(time, counters, databaseClock, this::onClockAhead);
    eventQueue = new EventQueue(time, counters);
    prober = new Prober<>(time, backends, counters, validator, settings.limits().connectTimeout());
    attempts =
        new Attempts<>(
            this, settings.limits(), time, backends, counters, stats, validator, databaseClock);
    withdrawals = new Withdrawals<>(this, requests, attempts, counters);
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
    var pending =
        new PendingRequest<>(
            req,
            settings.classes().get(req.requestClass()),
            reply,
            now,
            audit.name(req.query(), id));
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
    if (!pending.concluded) {
      double wait = deadline - now + settings.guarantees().answerSlack() * LAST_RESORT_SHARE;
      pending.deadlineTimer = time.timer(wait, () -> deadlinePassed(id, pending));
    }
    return id;
  }

  private void deadlinePassed(String id, PendingRequest<Q, A> pending) {
    if (unanswered(pending)) {
      counters.add("overdue");
      log("failed", pending, () -> "deadline");
      post(() -> module.onClientGone(now(), id));
      answer(id, pending, pending.failed("deadline"));
    }
  }

  /** The client has left and no longer waits for an answer. */
  public void clientLeft(String id) {
    withdrawals.clientLeft(id);
  }

  public int unansweredCount() {
    return requests.unanswered();
  }

  public RequestStats stats() {
    return stats;
  }

  /** The listed members that the module currently sends no work to. */
  public Set<String> avoided() {
    return module.avoided();
  }

  /**
   * The client has cancelled the request and waits for the answer that confirms this. Nothing
   * further is sent, and attempts in flight are ended. An answer that has begun continues.
   */
  public void cancelledByClient(String id) {
    withdrawals.cancelled(id);
  }

  /** A front finds right before an attempt that it may not be sent; its client is told. */
  public void refusedByFront(String id, String why) {
    withdrawals.refused(id, why);
  }

  /** The client has left, and the answer is kept for a repeat: only written attempts go on. */
  public void clientLeftKeepingAnswer(String id) {
    withdrawals.clientLeftKeepingAnswer(id);
  }

  /** Whether nothing of the answer has arrived yet; {@code pending} may be null. */
  static boolean unanswered(PendingRequest<?, ?> pending) {
    return pending != null && !pending.concluded && pending.answering == null;
  }

  void cancelIfClientLeft(String id, PendingRequest<Q, A> pending) {
    withdrawals.cancelIfClientLeft(id, pending);
  }

  /** Fails the requests accepted from this time on (ms; 0: all), because the process ends. */
  public void failUnanswered(double since) {
    withdrawals.failUnanswered(since);
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
    audit.answered(pending, Ports.Audit.Answer.of(answer));
    counters.add("answered_" + answer.getClass().getSimpleName().toLowerCase(Locale.ROOT));
    pending.reply.answer(answer);
  }

  void concludeLeft(String id, PendingRequest<Q, A> pending) {
    audit.answered(pending, Ports.Audit.Answer.CLIENT_LEFT);
    conclude(id, pending);
  }

  private void conclude(String id, PendingRequest<Q, A> pending) {
    pending.deadlineTimer.cancel();
    requests.markConcluded(pending);
    // Queued behind pending module events: a send that the module requests meanwhile still gets
    // its outcome.
    post(() -> requests.removeIfFinished(id, pending));
  }

  /** Records in the audit what became of a request that a front has read but not accepted. */
  public void auditNotTaken(Q query, int requestClass, Ports.Audit.Answer how) {
    audit.notTaken(query, requestClass, how);
  }

  /** Whether {@link #auditNotTaken} records anything. */
  public boolean audited() {
    return audit.on();
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
  public void setAudit(Ports.Audit recorder) {
    audit.audit(recorder);
    attempts.setAudit(recorder);
  }

  /** This process was stalled: a silence that the module would attribute to members was its own. */
  public void stalled() {
    post(() -> module.onStall(now()));
  }

  /** Sets how a query's own id is found for logs and audit; null means it has none. */
  public void setRequestNaming(Function<Q, String> requestNaming) {
    audit.naming(requestNaming);
  }

  /** Logs a closed client connection; {@code request} is the unanswered one, or null. */
  public void connectionClosing(String request, String why) {
    log.write("connection closed", request, () -> why);
  }

  /** Sets the log for refusals, retries and closed connections. */
  public void log(RequestLog requestLog) {
    log = requestLog;
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
