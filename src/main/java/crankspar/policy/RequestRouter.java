package crankspar.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The routing policy of one proxy. Its types, events and actions are declared in Router.java.
 *
 * <p>Normally zones are sorted by the latency that this instance measured; a read goes to the
 * nearest zone with a replica whose known log position is fresh enough, else to the next zone, else
 * to the primary. Writes and fresh reads go to the member last reported as primary. The rest
 * handles faults and overload: requests wait in the proxy's queue and do not pile up on a member.
 */
public final class RequestRouter extends Outcomes {
  /** Mean answer times that must be left before the deadline for a send to be worthwhile. */
  static final double MIN_ANSWER_TIMES = 1.5;

  /**
   * A read that was never sent is refused after this share of its time to live, if at most the
   * value of a late answer is left.
   */
  static final double UNSENT_READ_SHARE = 0.49;

  /**
   * As {@link #OVERDUE_LIMIT}, where peers have heard the member since, or report nothing: the
   * member is slow, or only the link to it is cut.
   */
  static final double MAX_OVERDUE = 18;

  /**
   * A silent member must also have sent nothing for this share of the oldest attempt's target
   * latency: an overloaded member is slow, not silent.
   */
  static final double SILENT_SHARE = 0.5;

  /** Mean answer times after which an unanswered trial request is sent elsewhere. */
  static final double TRIAL_OVERDUE = 1.5;

  /** Share of a key's lifetime in which resends are allowed; they travel and wait too. */
  static final double KEY_TTL_SHARE = 0.9;

  /** Requests examined in one pass over a queue. */
  static final int MAX_QUEUE_SCAN = 48;

  public RequestRouter(Settings settings, Actions actions) {
    super(settings, actions);
  }

  @Override
  public void onStart(double at) {
    now = at;
    if (settings.watchDiscovery()) {
      actions.watchDiscovery(true);
    }
    schedule(PERIOD_MS, this::everyPeriod);
  }

  @Override
  public void onTimer(double at, long cookie) {
    now = at;
    Optional.ofNullable(timers.remove(cookie)).ifPresent(Runnable::run);
  }

  /**
   * Queries discovery again with exponential backoff and jitter, well within the time after which
   * an instance counts as informed.
   */
  @Override
  public void onWatchLost(double at) {
    now = at;
    double wait = watchRetryDelay * (0.5 + random.nextDouble());
    double most = Math.min(MAX_WATCH_RETRY_MS, settings.guarantees().maxDiscoveryGap() / 4);
    watchRetryDelay = Math.min(2 * watchRetryDelay, Math.max(INITIAL_WATCH_RETRY_MS, most));
    schedule(wait, () -> actions.watchDiscovery(true));
  }

  @Override
  public void onMembers(double at, ListKind kind, List<Member> members) {
    now = at;
    if (kind != ListKind.OLD_COPY) {
      watchRetryDelay = INITIAL_WATCH_RETRY_MS;
    }
    if (kind != ListKind.CHANGES) {
      memberStates
          .values()
          .forEach(
              db -> {
                db.listed = false;
                db.usable &= settings.guarantees().softRemoval();
              });
    }
    for (Member m : members) {
      updateMember(kind, m);
    }
    hasFullList |= kind == ListKind.FULL;
    new ArrayList<>(memberStates.values()).forEach(this::removeIfGone);
    dispatchAll();
  }

  @Override
  public void onRequest(double at, Request r) {
    now = at;
    var w = new RoutedRequest(r);
    requests.put(r.id(), w);
    refillProbeTokens();
    earnOnArrival(w.group, w.requestClass);
    w.group.queue.add(w);
    w.ownTimers.add(schedule(w.deadline - now, () -> giveUp(w)));
    if (w.requestClass.repeat() == Repeat.SAFE
        && !w.primaryOnly()
        && !delaysReplay(w)
        && (w.requestClass.lateValueShare() == 0
            || UNSENT_READ_SHARE * r.ttl() >= w.requestClass.targetLatency())) {
      w.ownTimers.add(schedule(UNSENT_READ_SHARE * r.ttl(), () -> giveUpUnsent(w)));
    }
    startTicking();
    dispatch(w.group);
  }

  /**
   * Sends every queued request that a member admits, in queue order, and gives up those that cannot
   * finish.
   */
  @Override
  void dispatch(Group g) {
    if (g == null || g.queue.isEmpty()) {
      return;
    }
    for (RoutedRequest w : g.queue.stream().limit(MAX_QUEUE_SCAN).toList()) {
      if (w.done || now < w.retryAt) {
        continue;
      }
      if (cannotFinish(w)) {
        giveUp(w);
        continue;
      }
      MemberState db = chooseMember(w);
      if (db != null) {
        send(w, db);
      }
    }
  }

  /** Whether too little time is left for a mean answer of the group's fastest member. */
  boolean cannotFinish(RoutedRequest w) {
    double best =
        w.group.members.stream()
            .filter(m -> m.usable)
            .mapToDouble(m -> m.latencyRatio)
            .min()
            .orElse(0);
    return w.attempts.isEmpty()
        && w.deadline - now < MIN_ANSWER_TIMES * best * w.requestClass.targetLatency();
  }

  /** Sends a request after checking every rule on attempts; no request is sent by another path. */
  boolean send(RoutedRequest w, MemberState db) {
    boolean again = w.mayHaveRun || !w.attempts.isEmpty();
    boolean wrongPlace = !db.usable || db.entry.group() != w.request.group();
    boolean tooLate =
        w.done || w.attemptCount >= settings.limits().maxAttempts() || now >= w.deadline;
    boolean copy =
        !w.attempts.isEmpty()
            && (!settings.limits().hedging() || w.attempts.stream().anyMatch(a -> a.db == db));
    boolean stale =
        answersStale && w.priority > 0 && db.position < minPosition(w) && !db.wasPrimary;
    if (wrongPlace || tooLate || copy || stale || again && (!repeatable(w) || retryTokens < 1)) {
      return false;
    }
    retryTokens -= again ? 1 : 0;
    var a = new Attempt(w, db);
    a.trial = db.silent || db.failing();
    if (a.trial) {
      db.nextTrialAt = now + db.trialInterval;
      db.trialInterval = Math.min(MAX_BACKOFF_MS * fleetScale, db.trialInterval * 1.5);
    }
    if (w.requestClass.freshness() == Freshness.WRITE && currentPrimary(w.group) != db) {
      w.group.searchAttempt = a;
    }
    w.mayHaveRunSince = again ? w.mayHaveRunSince : now;
    w.attempts.add(a);
    db.attempts.add(a);
    spendOnSend(db, w.requestClass);
    w.group.queue.remove(w);
    actions.send(w.request.id(), db.id, w.requestClass.lateValueShare() > 0 ? 0 : w.deadline - now);
    return true;
  }

  /** Whether a request may be repeated: safe ones always, keyed ones while their key is known. */
  boolean repeatable(RoutedRequest w) {
    return w.requestClass.repeat() == Repeat.SAFE
        || w.requestClass.repeat() == Repeat.KEYED
            && now - w.mayHaveRunSince < KEY_TTL_SHARE * w.requestClass.keyTtl();
  }

  @Override
  public void onOutcome(double at, Outcome o) {
    now = at;
    RoutedRequest w = requests.get(o.request());
    MemberState db = memberStates.get(o.member());
    Attempt a =
        w == null
            ? null
            : w.attempts.stream().filter(x -> x.number == o.number()).findFirst().orElse(null);
    if (db == null || a == null) {
      return;
    }
    w.attempts.remove(a);
    db.attempts.remove(a);
    if (w.group.searchAttempt == a) {
      w.group.searchAttempt = null;
    }
    evaluate(db, a, o);
    removeIfGone(db);
    if (!o.status().neverRan) {
      w.mayHaveRun = true;
    } else if (!w.mayHaveRun && w.attempts.isEmpty()) {
      w.mayHaveRunSince = Double.POSITIVE_INFINITY;
    }
    if (o.requestDone() || w.done) {
      finish(w);
    } else {
      retryOrGiveUp(w, db, o.status());
    }
    dispatch(w.group);
  }

  void retryOrGiveUp(RoutedRequest w, MemberState db, Status status) {
    if (w.requestClass.repeat() == Repeat.SAFE || status != Status.ERROR) {
      w.excluded.add(db);
    } else {
      w.retryAt = now + TICK_MS;
    }
    if (!w.attempts.isEmpty()) {
      return; // another copy is still in flight
    }
    if (now >= w.deadline
        || w.mayHaveRun && !repeatable(w)
        || w.attemptCount >= settings.limits().maxAttempts()) {
      giveUp(w);
      return;
    }
    if (w.excluded.size() >= w.group.members.size()) {
      w.excluded.clear();
      w.retryAt = now + TICK_MS;
    }
    w.group.queue.add(w);
  }

  private void giveUpUnsent(RoutedRequest w) {
    if (w.attemptCount == 0) {
      giveUp(w);
    }
  }

  void giveUp(RoutedRequest w) {
    if (w.done) {
      return;
    }
    boolean harmless =
        w.requestClass.repeat() == Repeat.SAFE
            || !w.mayHaveRun && w.attempts.isEmpty()
            || w.requestClass.repeat() == Repeat.KEYED
                && w.requestClass.dedupScope() == DedupScope.ALL;
    finish(w);
    if (harmless) {
      actions.refuse(w.request.id(), settings.limits().maxRetryAfter());
    } else {
      actions.fail(w.request.id());
    }
  }

  /** Closes a request: cancels its attempts in flight, whose outcomes still count for members. */
  private void startTicking() {
    if (!ticking && !requests.isEmpty()) {
      ticking = true;
      schedule(TICK_MS, this::tick);
    }
  }

  void finish(RoutedRequest w) {
    if (!w.done) {
      w.done = true;
      w.ownTimers.forEach(timers::remove);
      w.group.queue.remove(w);
      w.attempts.forEach(this::cancel);
    }
    if (w.attempts.isEmpty()) {
      requests.remove(w.request.id());
    }
    if (w.group.members.isEmpty() && w.group.queue.isEmpty()) {
      groups.remove(w.request.group(), w.group); // a group that was created only by a request
    }
  }

  void cancel(Attempt a) {
    if (settings.limits().cancellation() && !a.cancelled) {
      a.abandoned = a.cancelled = true;
      actions.cancel(a.request.request.id(), a.number);
    }
  }

  @Override
  public void onClientGone(double at, String request) {
    now = at;
    Optional.ofNullable(requests.get(request)).ifPresent(this::finish);
  }

  @Override
  public Set<String> avoided() {
    return memberStates.values().stream()
        .filter(db -> db.listed && (!db.usable || db.silent || db.failing()))
        .map(db -> db.id)
        .collect(Collectors.toSet());
  }

  void tick() {
    ticking = false; // first: what throws below ends this tick alone
    for (MemberState db : List.copyOf(memberStates.values())) {
      if (!db.attempts.isEmpty()) {
        checkSilence(db);
      }
    }
    dispatchAll();
    startTicking();
  }

  @Override
  public void onStall(double at) {
    now = at;
    stallEnd = at;
  }

  /** Time since the member of an attempt was last heard, not counting process stalls. */
  double silence(Attempt a) {
    return now - Math.max(stallEnd, Math.max(a.sentAt, a.db.lastHeard));
  }

  void checkSilence(MemberState db) {
    double owed = db.overdue;
    Attempt oldest = db.attempts.get(0);
    boolean quiet = silence(oldest) > SILENT_SHARE * oldest.request.requestClass.targetLatency();
    for (Attempt a : new ArrayList<>(db.attempts)) {
      double one =
          silence(a) / Math.max(TICK_MS, db.latencyRatio * a.request.requestClass.targetLatency());
      owed += one;
      if (a.trial && one > TRIAL_OVERDUE) {
        retryElsewhere(a, false);
      }
    }
    if (owed > (loadUnknown || db.lastPeerReport > oldest.sentAt ? MAX_OVERDUE : OVERDUE_LIMIT)
        && quiet
        && !db.silent) {
      markSilent(db);
    }
  }

  /**
   * Handles a hung database, a cut link or a vanished machine: the member gets trial requests only,
   * and its attempts in flight are retried elsewhere.
   */
  @Override
  void markSilent(MemberState db) {
    if (!db.silent) {
      db.silent = true;
      db.nextTrialAt = now + db.trialInterval;
      probe(db);
    }
    Group g = groups.get(db.entry.group());
    g.searchAttempt = g.searchAttempt != null && g.searchAttempt.db == db ? null : g.searchAttempt;
    new ArrayList<>(db.attempts).forEach(a -> retryElsewhere(a, false));
  }

  /**
   * Retries an attempt's request elsewhere, beside the first copy or in place of it; requests for
   * the primary only where a new primary is known.
   */
  @Override
  void retryElsewhere(Attempt a, boolean newPrimary) {
    RoutedRequest w = a.request;
    if (w.done
        || a.abandoned
        || w.primaryOnly() != newPrimary
        || w.attempts.size() > 1
        || !repeatable(w)) {
      return;
    }
    w.excluded.add(a.db);
    if (settings.limits().hedging()) {
      a.abandoned = true;
      w.group.queue.add(w);
    } else {
      cancel(a);
    }
  }
}
