package crankspar.policy;

/**
 * Limits the load on each member: requests in flight, slow start of a cold member, trials and
 * probes.
 */
abstract class LoadLimits extends RoutingState {
  /**
   * Interval (ms) at which zones are sorted by the lowest latency of the last {@code
   * WINDOW_PERIODS} periods.
   */
  static final double PERIOD_MS = 1000;

  /**
   * Interval (ms) at which queues, silent members and trials are checked when no other event
   * arrives.
   */
  static final double TICK_MS = 20;

  /**
   * With unknown load: latency, as a share of the target, above which an answer lowers a member's
   * share; other answers raise it up to {@link #MAX_SHARE}.
   */
  static final double LATE_RATIO = 0.8;

  static final double SHARE_DOWN = 0.7;
  static final double SHARE_UP = 0.05;
  static final double MAX_SHARE = 1.15;
  static final double MAX_LIMIT = 64; // upper bound of the limit on requests in flight

  /** Smallest weight of a new sample in a member's moving averages. */
  static final double MIN_SAMPLE_WEIGHT = 0.1;

  /**
   * A member is silent once this many mean answer times have passed without an answer (probability
   * of a false alarm: e^-6).
   */
  static final double OVERDUE_LIMIT = 6;

  /**
   * A member heard again within this time (ms) cannot have restarted in between, so its cache is no
   * colder.
   */
  static final double MIN_RESTART_MS = 2000;

  /** Cap on the latency ratio assumed for a member that has not been measured for a long time. */
  static final double STALE_LATENCY_RATIO = 0.5;

  /**
   * Share of the primary's limit that is open to reads no replica can take; the rest is kept for
   * writes.
   */
  static final double SPILL_SHARE = 0.6;

  /**
   * Share of the load permitted on a cold member that is sent to it; {@link #MAX_COLD_TOKENS} caps
   * the saved tokens.
   */
  static final double COLD_SHARE = 0.4;

  static final double MAX_COLD_TOKENS = 1.5;

  /** Share of a request's value that probes may cost, at their configured price. */
  static final double PROBE_COST = 0.005;

  /**
   * The same for a probe that a read waits for: one per request, or as many as this share pays for.
   */
  static final double POSITION_PROBE_COST = 0.05;

  LoadLimits(Settings settings, Actions actions) {
    super(settings, actions);
  }

  /**
   * Whether a member may take this request, by its in-flight limit and its slow-start budget. In a
   * large fleet the own requests in flight say nothing about load: until peers report theirs, each
   * request carries one random draw, and a member admits the share of requests that its answer
   * times allow.
   */
  boolean admits(MemberState db, RoutedRequest w, boolean spill) {
    if (now < db.backoffUntil || isCold(db) && db.coldTokens < 1) {
      return false;
    }
    if (loadUnknown) {
      return w.admissionDraw < (db.wasPrimary ? 2 * db.share : db.share) - (spill ? 1 : 0);
    }
    while (!db.abandonedUntil.isEmpty() && db.abandonedUntil.peek() <= now) {
      db.abandonedUntil.poll();
    }
    return db.inFlight() + db.abandonedUntil.size()
        < Math.max(1, db.limit * (spill ? SPILL_SHARE : 1));
  }

  boolean trialDue(MemberState db, RoutedRequest w) {
    return now >= Math.max(db.nextTrialAt, db.backoffUntil)
        && (!isCold(db) || db.coldTokens >= 1)
        && (!largeFleet
            || w.admissionDraw < db.share); // trials of many instances can keep an overload going
  }

  /**
   * Adds the tokens that one arriving request earns. An even share of its group's arrivals is a
   * load that a warm member can take; a cold one gets a fraction of that. Fractions accumulate, so
   * any number of instances together keep the budget without knowing the request rate or the fleet
   * size.
   */
  void refillTokens(Group g) {
    probeTokens =
        Math.min(
            MAX_TOKENS, probeTokens + PROBE_COST / Math.max(PROBE_COST, settings.prices().probe()));
    double price = Math.max(POSITION_PROBE_COST, settings.prices().probe());
    positionProbeTokens = Math.min(MAX_TOKENS, positionProbeTokens + POSITION_PROBE_COST / price);
    Guarantees rules = settings.guarantees();
    for (MemberState db : g.members) {
      if (isCold(db)) {
        double warmth = db.lost ? 0 : Math.max(0, now - db.coldSince) / rules.rampTime();
        double capacity = rules.initialColdShare() + (1 - rules.initialColdShare()) * warmth;
        double share = Math.min(1, COLD_SHARE * rules.fallMultiple()) * capacity / g.members.size();
        db.coldTokens = Math.min(MAX_COLD_TOKENS, db.coldTokens + share);
      }
    }
  }

  boolean isCold(MemberState db) {
    return db.lost || now - db.coldSince < settings.guarantees().rampTime();
  }

  /**
   * Adapts a member's limit and share: raises them while answers come well within the target
   * latency, lowers them otherwise.
   */
  void recordLatency(MemberState db, double elapsed, double aim) {
    double ratio = elapsed / aim;
    db.latencyRatio += sampleWeight(db) * (Math.min(ratio, 2) - db.latencyRatio);
    db.lastMeasured = now;
    if (db.latencyRatio > OVERLOAD_RATIO) {
      reduceLimit(db);
    } else if (db.inFlight() + 1 >= db.limit * 0.7) {
      db.limit = Math.min(MAX_LIMIT, db.limit + 1 / db.limit);
    }
    db.share =
        ratio > LATE_RATIO ? db.share * SHARE_DOWN : Math.min(MAX_SHARE, db.share + SHARE_UP);
  }

  /**
   * Lowers the share further with each consecutive unanswered attempt in the group: one is a lost
   * answer, many are an overload.
   */
  void reduceShare(MemberState db, Group g) {
    db.share *= Math.pow(SHARE_DOWN, Math.min(OVERDUE_LIMIT, ++g.timeouts));
  }

  /** Gives rare samples more weight, so that old data keeps no limit low. */
  double sampleWeight(MemberState db) {
    return Math.max(MIN_SAMPLE_WEIGHT, Math.min(0.5, (now - db.lastMeasured) / PERIOD_MS));
  }

  /**
   * Caps an old latency ratio. Otherwise a member whose last answers were late would get no
   * requests, and nothing would show its recovery. With the capped ratio a read is still worth
   * sending; after one more late answer it is not.
   */
  void capStaleLatency(MemberState db) {
    if (now - db.lastMeasured > MAX_BACKOFF_MS * fleetScale) {
      db.latencyRatio = Math.min(db.latencyRatio, STALE_LATENCY_RATIO);
    }
  }

  void reduceLimit(MemberState db) {
    if (now - db.limitCutAt > TICK_MS * 5) {
      db.limitCutAt = now;
      db.limit = Math.max(minLimit, db.limit * 0.8);
    }
  }

  /**
   * Handles a sign of life from a lost member: unless it was seen within {@link #MIN_RESTART_MS},
   * it may have restarted and be cold.
   */
  void markAlive(MemberState db) {
    if (db.lost && now - db.lastSeen() > MIN_RESTART_MS) {
      db.coldSince = now;
      db.limit = Math.min(1, db.limit);
    }
    db.lost = false;
  }

  void probe(MemberState db) {
    if (settings.limits().probes() && db.usable && probeTokens >= 1) {
      probeTokens--;
      db.lastProbed = now;
      actions.probe(db.id);
    }
  }
}
