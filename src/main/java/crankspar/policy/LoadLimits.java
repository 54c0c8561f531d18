package crankspar.policy;

/** Limits the load on each member: requests in flight, trials and probes. */
abstract class LoadLimits extends SlowStart {
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

  /** Cap on the latency ratio assumed for a member that has not been measured for a long time. */
  static final double STALE_LATENCY_RATIO = 0.5;

  /**
   * Share of the primary's limit that is open to reads no replica can take; the rest is kept for
   * writes.
   */
  static final double SPILL_SHARE = 0.6;

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
    if (now < db.backoffUntil || !slowStartAdmits(db, w)) {
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
        && slowStartAdmits(db, w)
        && (!largeFleet
            || w.admissionDraw < db.share); // trials of many instances can keep an overload going
  }

  /** Adds the tokens for probes that one arriving request earns. */
  void refillProbeTokens() {
    probeTokens =
        Math.min(
            MAX_TOKENS, probeTokens + PROBE_COST / Math.max(PROBE_COST, settings.prices().probe()));
    double price = Math.max(POSITION_PROBE_COST, settings.prices().probe());
    positionProbeTokens = Math.min(MAX_TOKENS, positionProbeTokens + POSITION_PROBE_COST / price);
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

  void probe(MemberState db) {
    if (settings.limits().probes() && db.usable && probeTokens >= 1 && spendOnProbe(db)) {
      probeTokens--;
      db.lastProbed = now;
      actions.probe(db.id);
    }
  }
}
