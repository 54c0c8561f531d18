package crankspar.policy;

import java.util.Map;
import java.util.TreeMap;

/**
 * Slow start: a member that has just started or come back gets few requests at first, by the sum of
 * all instances. See {@link SlowStartBudget} for what they share without telling each other.
 */
abstract class SlowStart extends RoutingState {
  /**
   * A member heard again within this time (ms) cannot have restarted in between, so its cache is no
   * colder.
   */
  static final double MIN_RESTART_MS = 2000;

  /**
   * Share of what a cold member bears that is sent to it; the rest is for chance, for tokens saved
   * before a burst and for members that warm up sooner than they have to.
   */
  static final double COLD_SHARE = 0.7;

  /**
   * Most load of a cold member, as a multiple of what its group bears for the same capacity. Above
   * one, so that a group without warm members recovers.
   */
  static final double MAX_COLD_LOAD = 1.6;

  /** Windows of the rule for which a token may be saved. */
  static final double TOKEN_LIFETIME_WINDOWS = 2;

  /** Mean requests that a request may cost however small a cold member's budget is. */
  static final double MAX_COLD_COST = 2;

  /** A longer request may be this share of what a cold member with one core would bear. */
  static final double MAX_COLD_READ_SHARE = 0.3;

  /** Work of a probe, in mean requests. */
  static final double PROBE_WORK = 0.25;

  final RequestCost cost;
  private final double tokenLifetime;
  private final double coldLoad;
  private long starts;
  private long returns;
  private long denied;
  private long sent;
  private long probes;
  private double work;

  SlowStart(Settings settings, Actions actions) {
    super(settings, actions);
    cost = new RequestCost(settings.classes());
    Guarantees rules = settings.guarantees();
    tokenLifetime = TOKEN_LIFETIME_WINDOWS * rules.fall();
    coldLoad = Math.min(MAX_COLD_LOAD, COLD_SHARE * rules.fallMultiple());
  }

  boolean isCold(MemberState db) {
    return db.lost || now - db.coldSince < settings.guarantees().rampTime();
  }

  /** The part of its full capacity that a member has at least. */
  double capacity(MemberState db) {
    if (!isCold(db)) {
      return 1;
    }
    Guarantees rules = settings.guarantees();
    double warmth = db.lost ? 0 : Math.max(0, now - db.coldSince) / rules.rampTime();
    return rules.initialColdShare() + (1 - rules.initialColdShare()) * warmth;
  }

  @Override
  void markCold(MemberState db, double since) {
    if (now - since < settings.guarantees().rampTime()) {
      starts++;
      begin(db, since, "has started");
    }
  }

  private void begin(MemberState db, double since, String why) {
    db.coldSince = since;
    db.cold = true;
    db.slowStart.reset(now, random.nextDouble());
    db.firstRequestSeen = false;
    db.refilledAt = now;
    actions.log("member %s %s, cold: capacity %.2f".formatted(db.id, why, capacity(db)));
  }

  /** A member that no longer answers may come back cold. */
  void markLost(MemberState db) {
    if (!db.lost) {
      db.lost = true;
      db.slowStart.reset(now, random.nextDouble());
      actions.log("member " + db.id + " is lost");
    }
  }

  /**
   * Handles a sign of life from a lost member: unless it was seen within {@link #MIN_RESTART_MS},
   * it may have restarted and be cold.
   */
  void markAlive(MemberState db) {
    if (db.lost && now - db.lastSeen() > MIN_RESTART_MS) {
      returns++;
      db.lost = false;
      begin(db, now, "is back");
      db.limit = Math.min(1, db.limit);
    }
    db.lost = false;
  }

  /** Notes which members have become warm since the last call. */
  void noteWarm() {
    for (MemberState db : memberStates.values()) {
      if (db.cold && !isCold(db)) {
        db.cold = false;
        actions.log(
            "member %s is warm: work of %.1f mean requests sent while cold, %d tokens earned, %d lost"
                .formatted(
                    db.id, db.slowStart.work(), db.slowStart.granted(), db.slowStart.expired()));
      }
    }
  }

  /**
   * Earns tokens from an answer: work that a member has done. A cold member may get the same load
   * for its capacity as its group bears, times {@link #coldLoad}. One answer earns one mean request
   * at the most, since the cost of its class is an upper estimate.
   */
  void earnFromAnswer(MemberState from, RequestClass kind, double elapsed) {
    if (!isCold(from)) {
      cost.answered(kind, elapsed);
    }
    Group g = groups.get(from.entry.group());
    double work = Math.min(1, cost.of(kind));
    for (MemberState db : g.members) {
      if (isCold(db)) {
        double relative = Math.min(1, capacity(db) / capacity(from));
        earn(db, work * relative * coldLoad / g.members.size());
      }
    }
  }

  /**
   * Earns what needs no answer, when a request arrives: the first one as though one had been
   * answered, and over time as though each member served one mean request after the other, each
   * within its target latency. All instances share the latter.
   */
  void earnOnArrival(Group g, RequestClass kind) {
    cost.arrived(kind);
    for (MemberState db : g.members) {
      if (!isCold(db)) {
        continue;
      }
      double load = capacity(db) * coldLoad;
      double elapsed = Math.min(tokenLifetime, now - db.refilledAt);
      db.refilledAt = now;
      earn(db, load * elapsed / cost.meanTarget() / settings.instanceCount());
      if (!db.firstRequestSeen) {
        db.firstRequestSeen = true;
        earn(db, Math.min(1, coldLoad) * capacity(db) / g.members.size());
      }
    }
  }

  private void earn(MemberState db, double tokens) {
    db.slowStart.earn(now, tokens);
  }

  /** Whether a member's slow start lets it take this request now. */
  boolean slowStartAdmits(MemberState db, RoutedRequest w) {
    if (!isCold(db)) {
      return true;
    }
    boolean admitted = db.slowStart.hasToken(now) && (w.primaryOnly() || bears(db, w));
    denied += admitted ? 0 : 1;
    return admitted;
  }

  /**
   * Whether a request is short enough for a cold member: not much more than a mean one, or a small
   * part of its budget.
   */
  boolean bears(MemberState db, RoutedRequest w) {
    Guarantees rules = settings.guarantees();
    return !isCold(db)
        || cost.of(w.requestClass) <= MAX_COLD_COST
        || cost.workMs(w.requestClass)
            <= MAX_COLD_READ_SHARE * rules.fallMultiple() * capacity(db) * rules.fall();
  }

  void spendOnSend(MemberState db, RequestClass kind) {
    if (isCold(db)) {
      spend(db, cost.of(kind));
      sent++;
    }
  }

  /** Whether a cold member may be probed; a probe is work for it too. */
  boolean spendOnProbe(MemberState db) {
    if (!isCold(db)) {
      return true;
    }
    if (!db.slowStart.hasToken(now)) {
      return false;
    }
    spend(db, PROBE_WORK);
    probes++;
    return true;
  }

  private void spend(MemberState db, double mean) {
    db.slowStart.spend(now, mean);
    work += mean;
  }

  /** Minimum interval (ms) between probes of a cold member that reads wait for: one for a token. */
  double coldProbeInterval(MemberState db) {
    return isCold(db) ? tokenLifetime : 0;
  }

  @Override
  SlowStartBudget newBudget() {
    return new SlowStartBudget(tokenLifetime);
  }

  @Override
  public Map<String, Long> counters() {
    var all = new TreeMap<String, Long>();
    all.put("slow_start_starts", starts);
    all.put("slow_start_returns", returns);
    all.put("slow_start_sent", sent);
    all.put("slow_start_probes", probes);
    all.put("slow_start_work", Math.round(work));
    all.put("slow_start_denied", denied);
    return all;
  }
}
