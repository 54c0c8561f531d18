package crankspar.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The decisions of one proxy. Its types, events and actions stand in Router.java.
 *
 * <p>The ordinary path: zones are sorted by the latency this instance measured; a read goes to the
 * nearest zone with a replica whose known log position meets the read's need, else to the next
 * zone, else to the primary. Writes and fresh reads go to the member last named primary. Everything
 * else here keeps that path sound when the world is not: it waits in line, in the proxy, rather
 * than pile up on a member.
 */
public final class Balance extends Outcomes {
  /** Mean answers' time that must be left for a send to be worth while. */
  static final double SLACK = 1.5;

  /**
   * A read never sent is refused after this share of its time, if then only late worth is left at
   * most.
   */
  static final double HOLD = 0.49;

  /** As OWED, where peers have heard it since, or cannot tell: it is slow, or the way is cut. */
  static final double OWED_MOST = 18;

  /** Nothing came for this share of the oldest one's aim, too: a crowd is slow, not silent. */
  static final double SILENT_SHARE = 0.5;

  /** A trial's answer is owed this often before its request is sent elsewhere. */
  static final double TRIAL_OWED = 1.5;

  /** Share of a key's time that is used, as a resend travels and waits. */
  static final double KEY_SHARE = 0.9;

  /** Requests looked at in one walk through a line. */
  static final int SCAN = 48;

  public Balance(Settings settings, Actions actions) {
    super(settings, actions);
  }

  @Override
  public void onStart(double at) {
    now = at;
    if (settings.watchDiscovery()) {
      actions.watchDiscovery(true);
    }
    after(PERIOD, this::everyPeriod);
  }

  @Override
  public void onTimer(double at, long cookie) {
    now = at;
    Optional.ofNullable(timers.remove(cookie)).ifPresent(Runnable::run);
  }

  /**
   * Asks again with a doubling, jittered wait, well within the time after which lists count as
   * told.
   */
  @Override
  public void onWatchLost(double at) {
    now = at;
    double wait = askGap * (0.5 + random.nextDouble());
    double most = Math.min(ASK_MOST, settings.guarantees().maxDiscoveryGap() / 4);
    askGap = Math.min(2 * askGap, Math.max(ASK_FIRST, most));
    after(wait, () -> actions.watchDiscovery(true));
  }

  @Override
  public void onMembers(double at, ListKind kind, List<Member> members) {
    now = at;
    if (kind != ListKind.OLD_COPY) {
      askGap = ASK_FIRST;
    }
    if (kind != ListKind.CHANGES) {
      dbs.values()
          .forEach(
              db -> {
                db.listed = false;
                db.usable &= settings.guarantees().softRemoval();
              });
    }
    for (Member m : members) {
      learn(m);
    }
    new ArrayList<>(dbs.values()).forEach(this::forget);
    groups.values().forEach(this::pump);
  }

  @Override
  public void onRequest(double at, Request r) {
    now = at;
    var w = new Work(r);
    works.put(r.id(), w);
    earn(w.group);
    w.group.line.add(w);
    after(w.end - now, () -> giveUp(w));
    if (w.kind.repeat() == Repeat.SAFE
        && !w.primaryOnly()
        && !stalls(w)
        && (w.kind.lateValueShare() == 0 || HOLD * r.ttl() >= w.kind.targetLatency())) {
      after(
          HOLD * r.ttl(),
          () -> {
            if (w.tries == 0) {
              giveUp(w);
            }
          });
    }
    if (!ticking) {
      ticking = true;
      after(TICK, this::tick);
    }
    pump(w.group);
  }

  /** Sends what can be sent, in order of rank and aim. */
  @Override
  void pump(Group g) {
    if (g == null || g.line.isEmpty()) {
      return;
    }
    for (Work w : g.line.stream().limit(SCAN).toList()) {
      if (w.done || now < w.notBefore) {
        continue;
      }
      if (hopeless(w)) {
        giveUp(w);
        continue;
      }
      Db db = choose(w);
      if (db != null) {
        send(w, db);
      }
    }
  }

  /** Too little time is left for a mean answer of the group's best member. */
  boolean hopeless(Work w) {
    double best =
        w.group.members.stream().filter(m -> m.usable).mapToDouble(m -> m.strain).min().orElse(0);
    return w.out.isEmpty() && w.end - now < SLACK * best * w.kind.targetLatency();
  }

  /** Every send passes here: the guards for the rules. */
  boolean send(Work w, Db db) {
    boolean again = w.mayHaveRun || !w.out.isEmpty();
    boolean wrongPlace = !db.usable || db.entry.group() != w.request.group();
    boolean tooLate = w.done || w.tries >= settings.limits().maxAttempts() || now >= w.end;
    boolean copy =
        !w.out.isEmpty()
            && (!settings.limits().hedging() || w.out.stream().anyMatch(a -> a.db == db));
    boolean stale = strict && w.rank > 0 && db.position < need(w) && !db.wasPrimary;
    if (wrongPlace || tooLate || copy || stale || again && (!repeatable(w) || extra < 1)) {
      return false;
    }
    extra -= again ? 1 : 0;
    var a = new Attempt(w, db);
    a.trial = db.silent || db.erring();
    if (a.trial) {
      db.trialAt = now + db.trialGap;
      db.trialGap = Math.min(WAIT_MOST * scale, db.trialGap * 1.5);
    }
    if (w.kind.freshness() == Freshness.WRITE && believed(w.group) != db) {
      w.group.scout = a;
    }
    w.risk = again ? w.risk : now;
    w.out.add(a);
    db.out.add(a);
    db.credit -= cold(db) ? 1 : 0;
    w.group.line.remove(w);
    actions.send(w.request.id(), db.id, w.kind.lateValueShare() > 0 ? 0 : w.end - now);
    return true;
  }

  /**
   * Whether a request that may have run may be sent again: safe ones, and keyed ones while known.
   */
  boolean repeatable(Work w) {
    return w.kind.repeat() == Repeat.SAFE
        || w.kind.repeat() == Repeat.KEYED && now - w.risk < KEY_SHARE * w.kind.keyTtl();
  }

  @Override
  public void onOutcome(double at, Outcome o) {
    now = at;
    Work w = works.get(o.request());
    Db db = dbs.get(o.member());
    Attempt a =
        w == null
            ? null
            : w.out.stream().filter(x -> x.number == o.number()).findFirst().orElse(null);
    if (db == null || a == null) {
      return;
    }
    w.out.remove(a);
    db.out.remove(a);
    if (w.group.scout == a) {
      w.group.scout = null;
    }
    judge(db, a, o);
    forget(db);
    if (!o.status().neverRan) {
      w.mayHaveRun = true;
    } else if (!w.mayHaveRun && w.out.isEmpty()) {
      w.risk = Double.POSITIVE_INFINITY;
    }
    if (o.requestDone() || w.done) {
      finish(w);
    } else {
      goOn(w, db, o.status());
    }
    pump(w.group);
  }

  void goOn(Work w, Db db, Status status) {
    if (w.kind.repeat() == Repeat.SAFE || status != Status.ERROR) {
      w.avoid.add(db);
    } else {
      w.notBefore = now + TICK;
    }
    if (!w.out.isEmpty()) {
      return; // another copy is still out
    }
    if (now >= w.end
        || w.mayHaveRun && !repeatable(w)
        || w.tries >= settings.limits().maxAttempts()) {
      giveUp(w);
      return;
    }
    if (w.avoid.size() >= w.group.members.size()) {
      w.avoid.clear();
      w.notBefore = now + TICK;
    }
    w.group.line.add(w);
  }

  void giveUp(Work w) {
    if (w.done) {
      return;
    }
    boolean harmless =
        w.kind.repeat() == Repeat.SAFE
            || !w.mayHaveRun && w.out.isEmpty()
            || w.kind.repeat() == Repeat.KEYED && w.kind.dedupScope() == DedupScope.ALL;
    finish(w);
    if (harmless) {
      actions.refuse(w.request.id(), settings.limits().maxRetryAfter());
    } else {
      actions.fail(w.request.id());
    }
  }

  /** The request is over; attempts still out are called off, and awaited for their news. */
  void finish(Work w) {
    if (!w.done) {
      w.done = true;
      w.group.line.remove(w);
      w.out.forEach(this::cancel);
    }
    if (w.out.isEmpty()) {
      works.remove(w.request.id());
    }
    if (w.group.members.isEmpty() && w.group.line.isEmpty()) {
      groups.remove(w.request.group(), w.group); // one that only a request has named
    }
  }

  void cancel(Attempt a) {
    if (settings.limits().cancellation() && !a.cancelled) {
      a.given = a.cancelled = true;
      actions.cancel(a.work.request.id(), a.number);
    }
  }

  @Override
  public void onClientGone(double at, String request) {
    now = at;
    Optional.ofNullable(works.get(request)).ifPresent(this::finish);
  }

  @Override
  public Set<String> avoided() {
    return dbs.values().stream()
        .filter(db -> db.listed && (!db.usable || db.silent || db.erring()))
        .map(db -> db.id)
        .collect(Collectors.toSet());
  }

  void tick() {
    for (Db db : dbs.values()) {
      if (!db.out.isEmpty()) {
        watchFor(db);
      }
    }
    groups.values().forEach(this::pump);
    ticking = !works.isEmpty();
    if (ticking) {
      after(TICK, this::tick);
    }
  }

  @Override
  public void onStall(double at) {
    now = at;
    awake = at;
  }

  /** How long nothing has come of an attempt while this process could hear it. */
  double quiet(Attempt a) {
    return now - Math.max(awake, Math.max(a.sent, a.db.heard));
  }

  void watchFor(Db db) {
    double owed = db.owed;
    Attempt oldest = db.out.get(0);
    boolean quiet = quiet(oldest) > SILENT_SHARE * oldest.work.kind.targetLatency();
    for (Attempt a : new ArrayList<>(db.out)) {
      double one = quiet(a) / Math.max(TICK, db.strain * a.work.kind.targetLatency());
      owed += one;
      if (a.trial && one > TRIAL_OWED) {
        rescue(a, false);
      }
    }
    if (owed > (sparse || db.told > oldest.sent ? OWED_MOST : OWED) && quiet && !db.silent) {
      fallSilent(db);
    }
  }

  /**
   * Guards against a hang, a cut link, a vanished machine: only trials, and what is out moves on.
   */
  @Override
  void fallSilent(Db db) {
    if (!db.silent) {
      db.silent = true;
      db.trialAt = now + db.trialGap;
      probe(db);
    }
    Group g = groups.get(db.entry.group());
    g.scout = g.scout != null && g.scout.db == db ? null : g.scout;
    new ArrayList<>(db.out).forEach(a -> rescue(a, false));
  }

  /**
   * Sends work elsewhere, beside the first copy or in its place; the primary's only to a new one.
   */
  @Override
  void rescue(Attempt a, boolean newPrimary) {
    Work w = a.work;
    if (w.done || a.given || w.primaryOnly() != newPrimary || w.out.size() > 1 || !repeatable(w)) {
      return;
    }
    w.avoid.add(a.db);
    if (settings.limits().hedging()) {
      a.given = true;
      w.group.line.add(w);
    } else {
      cancel(a);
    }
  }
}
